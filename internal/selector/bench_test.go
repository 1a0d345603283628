package selector

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose sends and answers requests with tiers of different sizes. The cost per request must not grow with
// the size.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{8, 32, 1000, 12_000} {
		for _, kind := range []string{"query", "dossier"} {
			b.Run(fmt.Sprintf("%s/%d", kind, size), func(b *testing.B) {
				f := newFleet(b)
				f.engines(homeZone, size)
				b.ReportAllocs()
				b.ResetTimer()
				for index := range b.N {
					f.advance(3 * time.Millisecond)
					var r *Request
					if kind == "query" {
						r = f.request("query")
					} else {
						r = f.dossier(uint64(index % 100))
					}
					d := f.choose(r)
					f.s.FirstByte(f.now, d.Attempt)
					f.finish(d, Success)
				}
			})
		}
	}
}

// BenchmarkSetInstances sets a complete list of instances in which nothing has changed.
func BenchmarkSetInstances(b *testing.B) {
	f := newFleet(b)
	f.engines(homeZone, 12_000)
	b.ResetTimer()
	for range b.N {
		f.publish()
	}
}
