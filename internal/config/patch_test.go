package config_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// mustPatch applies a valid patch and returns the new document.
func mustPatch(t *testing.T, current, change string) string {
	t.Helper()
	text, err := config.ApplyPatch([]byte(current), []byte(change))
	assert.NilError(t, err)
	assert.Assert(t, json.Valid(text), "%s", text)
	return string(text)
}

const patchBase = `{ "later": [1.0, "<é>"], "generation":1, "routes":[{"name":"a", "x":1.50},{"name":"b"},{"name":"c"}],"backends":[{"name":"s"}]}`

func TestPatchReplacesInPlaceAndAppends(t *testing.T) {
	got := mustPatch(t, patchBase, `{"generation":2,"upsert":{"routes":[{"name":"d"},{"name":"b","y":"<&>"}]}}`)
	assert.Equal(t, got, `{"later":[1.0, "<é>"],"generation":2,"routes":[{"name":"a", "x":1.50},{"name":"b","y":"<&>"},{"name":"c"},{"name":"d"}],"backends":[{"name":"s"}]}`)
}

func TestPatchDeletesAndIgnoresUnknownNames(t *testing.T) {
	got := mustPatch(t, patchBase, `{"generation":2,"delete":{"routes":["a","nobody","c"],"backends":["s"],"others":["x"]}}`)
	assert.Equal(t, got, `{"later":[1.0, "<é>"],"generation":2,"routes":[{"name":"b"}],"backends":[]}`)
}

// An item that is both deleted and upserted moves to the end of its list.
func TestPatchDeletesBeforeItAdds(t *testing.T) {
	got := mustPatch(t, patchBase, `{"generation":2,"upsert":{"routes":[{"name":"a","new":true}]},"delete":{"routes":["a","b"]}}`)
	assert.Equal(t, got, `{"later":[1.0, "<é>"],"generation":2,"routes":[{"name":"c"},{"name":"a","new":true}],"backends":[{"name":"s"}]}`)
}

func TestPatchReplacesLimitsAndAddsLists(t *testing.T) {
	got := mustPatch(t, patchBase, `{"generation":2,"upsert":{"limits":{"maxBodyBytes":1},"tenants":[{"name":"t"}]}}`)
	assert.Equal(t, got, `{"later":[1.0, "<é>"],"generation":2,"routes":[{"name":"a", "x":1.50},{"name":"b"},{"name":"c"}],"backends":[{"name":"s"}],"limits":{"maxBodyBytes":1},"tenants":[{"name":"t"}]}`)
}

func TestEmptyPatchChangesOnlyTheVersion(t *testing.T) {
	got := mustPatch(t, patchBase, ` {"generation":2, "upsert":null, "delete":{}} `)
	assert.Equal(t, got, `{"later":[1.0, "<é>"],"generation":2,"routes":[{"name":"a", "x":1.50},{"name":"b"},{"name":"c"}],"backends":[{"name":"s"}]}`)
}

func TestInvalidPatchIsRefused(t *testing.T) {
	for _, change := range []string{
		``, `null`, `[]`, `{}`, `{"generation":2`, `{"generation":2}x`, `{"upsert":{}}`, `{"generation":2,"generation":3}`,
		`{"generation":2,"upsert":[]}`, `{"generation":2,"delete":"a"}`,
		`{"generation":2,"upsert":{"routes":{"name":"a"}}}`, `{"generation":2,"upsert":{"routes":"a"}}`,
		`{"generation":2,"upsert":{"routes":null}}`,
		`{"generation":2,"upsert":{"routes":[7]}}`, `{"generation":2,"upsert":{"routes":[{}]}}`,
		`{"generation":2,"upsert":{"routes":[{"name":""}]}}`, `{"generation":2,"upsert":{"routes":[{"name":7}]}}`,
		`{"generation":2,"upsert":{"routes":[{"name":"a"},{"name":"a"}]}}`,
		`{"generation":2,"delete":{"routes":"a"}}`, `{"generation":2,"delete":{"routes":[7]}}`,
		`{"generation":2,"upsert":{"later":"` + "\xff" + `"}}`,
		`{"generation":2,"upsert":{"generation":9}}`, `{"generation":2,"delete":{"generation":["a"]}}`,
	} {
		_, err := config.ApplyPatch([]byte(patchBase), []byte(change))
		assert.ErrorType(t, err, &config.InvalidError{}, change)
	}
}

func TestTruncatedPatchIsRefused(t *testing.T) {
	change := `{"generation":9,"upsert":{"routes":[{"name":"d","host":"h"}],"limits":{"maxBodyBytes":1}},"delete":{"routes":["a"]}}`
	for length := range len(change) {
		_, err := config.ApplyPatch([]byte(patchBase), []byte(change[:length]))
		assert.ErrorType(t, err, &config.InvalidError{}, "cut at %d", length)
	}
}
