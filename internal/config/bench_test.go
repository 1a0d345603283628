package config_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// largeRouteCount is the number of routes of the benchmarks' document, which has about 130 KB.
const largeRouteCount = 350

func BenchmarkParse(b *testing.B) {
	text := largeDocument(largeRouteCount)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := config.Parse(text)
		assert.NilError(b, err)
		assert.NilError(b, document.Validate())
	}
}

func BenchmarkParseTrusted(b *testing.B) {
	text := largeDocument(largeRouteCount)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := config.ParseTrusted(text)
		assert.NilError(b, err)
		config.Compile(document)
	}
}

func BenchmarkPatch(b *testing.B) {
	state, verdict := config.EmptyState().ApplyOrder(put(0, largeDocument(largeRouteCount)))
	assert.Equal(b, verdict.Status, 200)
	order := patch(1, `{"generation":2,"upsert":{"routes":[{"name":"n","host":"n","pathPrefix":"/","kind":"safe","timeoutMs":9,"backend":"b-1"}]}}`)
	b.ReportAllocs()
	for b.Loop() {
		_, verdict := state.ApplyOrder(order)
		assert.Assert(b, verdict.Accepted)
	}
}

// BenchmarkPut replaces a document by one in which a single item differs.
func BenchmarkPut(b *testing.B) {
	text := largeDocument(largeRouteCount)
	state, verdict := config.EmptyState().ApplyOrder(put(0, text))
	assert.Equal(b, verdict.Status, 200)
	text = bytes.Replace(text, []byte(`"generation":1,`), []byte(`"generation":2,`), 1)
	text = bytes.Replace(text, []byte(`"timeoutMs":8000`), []byte(`"timeoutMs":9000`), 1)
	b.ReportAllocs()
	for b.Loop() {
		_, verdict := state.ApplyOrder(put(1, text))
		assert.Assert(b, verdict.Accepted)
	}
}

// BenchmarkRoute shows that the cost of a look-up does not depend on the number of routes.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{10, largeRouteCount, 10 * largeRouteCount} {
		document, err := config.ParseTrusted(largeDocument(routes))
		assert.NilError(b, err)
		compiled := config.Compile(document)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				compiled.Route("host-1.example:8161", "/path1/x")
			}
		})
	}
}

// BenchmarkApplyChangeAtRelay applies a patch of one route and parses the resulting document, as a relay does.
func BenchmarkApplyChangeAtRelay(b *testing.B) {
	for _, routes := range []int{largeRouteCount, 4 * largeRouteCount} {
		text := largeDocument(routes)
		change := []byte(`{"generation":2,"upsert":{"routes":[{"name":"r-00001","host":"n","pathPrefix":"/","kind":"safe","timeoutMs":9,"backend":"b-1"}]}}`)
		var reader config.Reader
		_, err := reader.Read(text)
		assert.NilError(b, err)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				changed, err := config.ApplyTrustedPatch(text, change)
				assert.NilError(b, err)
				document, err := reader.Read(changed)
				assert.NilError(b, err)
				config.Compile(document)
			}
		})
	}
}
