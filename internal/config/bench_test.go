package config_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// routesOfLarge makes a document of some 130 KB.
const routesOfLarge = 350

func BenchmarkParse(b *testing.B) {
	text := largeDocument(routesOfLarge)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := config.Parse(text)
		assert.NilError(b, err)
		assert.NilError(b, document.Validate())
	}
}

func BenchmarkParseTrusted(b *testing.B) {
	text := largeDocument(routesOfLarge)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := config.ParseTrusted(text)
		assert.NilError(b, err)
		config.Compile(document)
	}
}

func BenchmarkPatch(b *testing.B) {
	state, verdict := config.EmptyState().ApplyOrder(put(0, largeDocument(routesOfLarge)))
	assert.Equal(b, verdict.Status, 200)
	order := patch(1, `{"generation":2,"upsert":{"routes":[{"name":"n","host":"n","pathPrefix":"/","kind":"safe","timeoutMs":9,"backend":"b-1"}]}}`)
	b.ReportAllocs()
	for b.Loop() {
		_, verdict := state.ApplyOrder(order)
		assert.Assert(b, verdict.Accepted)
	}
}

// BenchmarkPut takes a whole document of which one item is new.
func BenchmarkPut(b *testing.B) {
	text := largeDocument(routesOfLarge)
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

// BenchmarkRoute shows that a look-up costs the same however many routes there are.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{10, routesOfLarge, 10 * routesOfLarge} {
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

// BenchmarkChangeAtARelay applies a change of one route and reads the document, as a relay does.
func BenchmarkChangeAtARelay(b *testing.B) {
	for _, routes := range []int{routesOfLarge, 4 * routesOfLarge} {
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
