package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
)

func changeOf(id string, seq uint64) registry.Change {
	return registry.Change{Instance: registry.Instance{ID: id, Seq: seq}, Changed: true}
}

func TestPendingChangesKeepTheLatestPerInstance(t *testing.T) {
	var pending pendingChanges
	pending.add(changeOf("a", 1))
	pending.add(changeOf("b", 1))
	pending.add(changeOf("a", 2))
	assert.DeepEqual(t, pending.takeAll(), []registry.Change{changeOf("a", 2), changeOf("b", 1)})
	assert.Equal(t, len(pending.takeAll()), 0)
	pending.add(changeOf("b", 3))
	assert.DeepEqual(t, pending.takeAll(), []registry.Change{changeOf("b", 3)})
}
