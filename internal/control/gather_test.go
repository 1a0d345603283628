package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
)

func changeOf(id string, seq uint64) registry.Change {
	return registry.Change{Instance: registry.Instance{ID: id, Seq: seq}, Changed: true}
}

func TestChangesAreGatheredOncePerInstance(t *testing.T) {
	var gathered gatheredChanges
	gathered.add(changeOf("a", 1))
	gathered.add(changeOf("b", 1))
	gathered.add(changeOf("a", 2))
	assert.DeepEqual(t, gathered.take(), []registry.Change{changeOf("a", 2), changeOf("b", 1)})
	assert.Equal(t, len(gathered.take()), 0)
	gathered.add(changeOf("b", 3))
	assert.DeepEqual(t, gathered.take(), []registry.Change{changeOf("b", 3)})
}
