package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/config"
)

func TestDiffContainsOnlyChanges(t *testing.T) {
	before := `{"generation":1,"routes":[{"name":"a","x":1},{"name":"b"},{"name":"c"}],"limits":{"x":1}}`
	after := `{"generation":2,"routes":[{"name":"a","x":2},{"name":"c"},{"name":"d"}],"limits":{"x":1}}`
	patch, ok := config.Diff([]byte(before), []byte(after))
	assert.Assert(t, ok)
	assert.Equal(t, string(patch), `{"generation":2,"upsert":{"routes":[{"name":"a","x":2},{"name":"d"}]},"delete":{"routes":["b"]}}`)
	assert.Equal(t, mustPatch(t, before, string(patch)), after)
}

func TestDiffReplacesNonListMembers(t *testing.T) {
	patch, ok := config.Diff([]byte(`{"generation":1,"limits":{"x":1}}`), []byte(`{"generation":2,"limits":{"x":2},"more":[{"name":"n"}]}`))
	assert.Assert(t, ok)
	assert.Equal(t, string(patch), `{"generation":2,"upsert":{"limits":{"x":2},"more":[{"name":"n"}]}}`)
}

// The size of a patch depends on the number of changed items, not on the size of the document.
func TestDiffOfALargeDocumentIsSmall(t *testing.T) {
	before := largeDocument(1000)
	after := strings.Replace(string(before), `"/path500/"`, `"/moved500/"`, 1)
	after = strings.Replace(after, `{"generation":1,`, `{"generation":2,`, 1)
	patch, ok := config.Diff(before, []byte(after))
	assert.Assert(t, ok)
	assert.Assert(t, len(patch) < 500, "%d bytes of %d", len(patch), len(after))
	assert.Equal(t, mustPatch(t, string(before), string(patch)), after)
}

func TestDiffFailsWithoutExactPatch(t *testing.T) {
	before := `{"generation":1,"routes":[{"name":"a"},{"name":"b"}]}`
	for name, after := range map[string]string{
		"items in another order":    `{"generation":2,"routes":[{"name":"b"},{"name":"a"}]}`,
		"an item in the middle":     `{"generation":2,"routes":[{"name":"a"},{"name":"c"},{"name":"b"}]}`,
		"space between the items":   `{"generation":2,"routes":[{"name":"a"}, {"name":"b"}]}`,
		"a member gone":             `{"generation":2}`,
		"members in another order":  `{"routes":[{"name":"a"},{"name":"b"}],"generation":2}`,
		"no generation":             `{"routes":[{"name":"a"},{"name":"b"}]}`,
		"an item without a name":    `{"generation":2,"routes":[{}]}`,
		"a list that becomes a map": `{"generation":2,"routes":{}}`,
		"no JSON":                   `{`,
	} {
		_, ok := config.Diff([]byte(before), []byte(after))
		assert.Assert(t, !ok, name)
	}
	_, ok := config.Diff(nil, []byte(before))
	assert.Assert(t, !ok, "empty old document")
}

// For any two documents, a patch that Diff returns turns the one into the other.
func TestDiffRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDocument(t, 1), drawDocument(t, 2)
		patch, ok := config.Diff([]byte(before), []byte(after))
		if !ok {
			return
		}
		text, err := config.ApplyPatch([]byte(before), patch)
		assert.NilError(t, err)
		assert.Equal(t, string(text), after)
	})
}

// drawDocument draws a random document. Its items are usually sorted by name.
func drawDocument(t *rapid.T, generation int) string {
	var routes []string
	for _, name := range []string{"a", "b", "c", "d"} {
		if value := rapid.IntRange(0, 3).Draw(t, name); value > 0 {
			routes = append(routes, fmt.Sprintf(`{"name":%q,"x":%d}`, name, value))
		}
	}
	if len(routes) > 1 && rapid.IntRange(0, 4).Draw(t, "swap") == 0 {
		routes[0], routes[1] = routes[1], routes[0]
	}
	return fmt.Sprintf(`{"generation":%d,"routes":[%s]}`, generation, strings.Join(routes, ","))
}

func BenchmarkDiff(b *testing.B) {
	before := largeDocument(1000)
	after := []byte(strings.Replace(string(before), `"/path500/"`, `"/moved500/"`, 1))
	b.ReportAllocs()
	for b.Loop() {
		config.Diff(before, after)
	}
}

// A patch contains neither lists without changes nor an empty "upsert" or "delete".
func TestDiffOmitsUnchangedLists(t *testing.T) {
	for _, each := range []struct{ name, before, after, patch string }{
		{"added item", `{"generation":1,"routes":[{"name":"a"}]}`, `{"generation":2,"routes":[{"name":"a"},{"name":"b"}]}`,
			`{"generation":2,"upsert":{"routes":[{"name":"b"}]}}`},
		{"removed item", `{"generation":1,"routes":[{"name":"a"},{"name":"b"}]}`, `{"generation":2,"routes":[{"name":"a"}]}`,
			`{"generation":2,"delete":{"routes":["b"]}}`},
	} {
		patch, ok := config.Diff([]byte(each.before), []byte(each.after))
		assert.Assert(t, ok, each.name)
		assert.Equal(t, string(patch), each.patch, each.name)
	}
}
