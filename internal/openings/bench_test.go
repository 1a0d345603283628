package openings

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/openings/openingspb"
)

// benchmarkHome is the work of the home of a region in one period, its messages encoded.
func benchmarkHome(b *testing.B, regions, zones, each int) {
	w := newWorld(b, regions, zones, each, 1, noMistake)
	w.run(20*time.Second, nil)
	home := w.byName[w.relays[0].node.topology.regionHome.Address]
	own := home.sketch.Demand(w.now, reportMost)
	b.ReportAllocs()
	for b.Loop() {
		var last *openingspb.Message
		for _, send := range home.node.Tick(w.now, own).Sends {
			if send.Message == last {
				continue // encoded once for all relays of a zone
			}
			last = send.Message
			if _, err := proto.Marshal(last); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func BenchmarkHomeOf30(b *testing.B)  { benchmarkHome(b, 3, 2, 5) }
func BenchmarkHomeOf100(b *testing.B) { benchmarkHome(b, 5, 4, 5) }
func BenchmarkHomeOf300(b *testing.B) { benchmarkHome(b, 10, 3, 10) }
func BenchmarkHomeOf870(b *testing.B) { benchmarkHome(b, 58, 3, 5) }

// BenchmarkRelay is the work of a relay that is no home when the picture comes.
func BenchmarkRelay(b *testing.B) {
	w := newWorld(b, 3, 2, 5, 1, noMistake)
	w.run(20*time.Second, nil)
	first := w.relays[0].node
	home := w.byName[first.topology.regionHome.Address]
	encoded, err := proto.Marshal(home.node.pictureFor(w.now).message)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		message := new(openingspb.Message)
		if err := proto.Unmarshal(encoded, message); err != nil {
			b.Fatal(err)
		}
		first.Receive(w.now, home.self.Address, message)
	}
}
