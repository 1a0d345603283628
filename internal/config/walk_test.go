package config_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wallflow/internal/config"
)

// walk gives random orders to a state and checks what must hold after each.
type walk struct {
	state *config.State
	taken []config.Order          // changes of the configuration, in order
	onto  map[uint64]string       // the body that was taken on top of each version
	away  map[string]bool         // the evacuated zones
	fresh func(t *rapid.T) string // texts that tell documents apart
}

func newWalk() *walk {
	marks := rapid.SampledFrom([]string{"a", "b", "c"})
	return &walk{
		state: config.EmptyState(),
		onto:  map[uint64]string{},
		away:  map[string]bool{},
		fresh: func(t *rapid.T) string { return marks.Draw(t, "mark") },
	}
}

func (w *walk) put(t *rapid.T) {
	match := rapid.Uint64Range(0, w.state.Generation()+1).Draw(t, "match")
	version := rapid.Uint64Range(0, w.state.Generation()+3).Draw(t, "version")
	body := smallDocument(version, w.fresh(t))
	if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
		body = body[:len(body)/2]
	}
	w.change(t, put(match, body))
}

func (w *walk) patch(t *rapid.T) {
	version := rapid.Uint64Range(0, w.state.Generation()+3).Draw(t, "version")
	match := rapid.SampledFrom([]uint64{w.state.Generation(), version}).Draw(t, "match")
	body := fmt.Sprintf(`{"generation":%d,"upsert":{"backends":[{"name":"b-%s"}]},"delete":{"backends":["b-%s"]}}`, version, w.fresh(t), w.fresh(t))
	w.change(t, patch(match, body))
}

// change applies a change of the configuration, which may be one that was taken before.
func (w *walk) change(t *rapid.T, order config.Order) {
	before := w.state
	next, verdict := before.ApplyOrder(order)
	w.state = next
	if !verdict.Accepted {
		if next != before {
			t.Fatalf("not accepted, and yet another state: %+v", verdict)
		}
		return
	}
	if verdict.Status != 200 || next.Changes() != before.Changes()+1 {
		t.Fatalf("accepted with %+v, %d changes after %d", verdict, next.Changes(), before.Changes())
	}
	if next.Generation() <= before.Generation() || order.Match != before.Generation() {
		t.Fatalf("version %d was taken over %d by an order on %d", next.Generation(), before.Generation(), order.Match)
	}
	if other, twice := w.onto[order.Match]; twice {
		t.Fatalf("two taken on version %d: %s and %s", order.Match, other, order.Body)
	}
	w.onto[order.Match] = string(order.Body)
	w.taken = append(w.taken, order)
}

// again sends an order once more that was taken.
func (w *walk) again(t *rapid.T) {
	if len(w.taken) == 0 {
		t.Skip("none taken yet")
	}
	order := rapid.SampledFrom(w.taken).Draw(t, "order")
	next, verdict := w.state.ApplyOrder(order)
	if verdict.Status != 200 || verdict.Accepted || next != w.state {
		t.Fatalf("an order that was taken got %+v", verdict)
	}
}

func (w *walk) zone(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone")
	kind := rapid.SampledFrom([]config.OrderKind{config.Evacuate, config.Restore}).Draw(t, "kind")
	next, verdict := w.state.ApplyOrder(config.Order{Kind: kind, Zone: zone})
	wanted := kind == config.Evacuate
	if verdict.Status != 200 || verdict.Accepted != (w.away[zone] != wanted) {
		t.Fatalf("%v %s: %+v", kind, zone, verdict)
	}
	w.away[zone] = wanted
	w.state = next
	for zone, away := range w.away {
		if next.IsEvacuated(zone) != away {
			t.Fatalf("zone %s evacuated: %v", zone, next.IsEvacuated(zone))
		}
	}
}

// restart goes on from the replicated form, which has to come out the same again.
func (w *walk) restart(t *rapid.T) {
	text := w.state.Encode()
	decoded, err := config.DecodeState(text)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(decoded.Encode(), text) {
		t.Fatal("the replicated form changed")
	}
	if decoded.Generation() != w.state.Generation() || !bytes.Equal(decoded.Document(), w.state.Document()) {
		t.Fatal("the configuration changed")
	}
	w.state = decoded
}

func TestRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk()
		t.Repeat(map[string]func(*rapid.T){
			"put":     w.put,
			"patch":   w.patch,
			"again":   w.again,
			"zone":    w.zone,
			"restart": w.restart,
		})
	})
}

// Machines that take the same orders hold the same bytes.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk()
		var applied [][]byte
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			version := rapid.Uint64Range(1, w.state.Generation()+2).Draw(t, "version")
			order := put(w.state.Generation(), smallDocument(version, w.fresh(t)))
			if rapid.Bool().Draw(t, "evacuate") {
				order = config.Order{Kind: config.Evacuate, Zone: w.fresh(t)}
			}
			w.state, _ = w.state.ApplyOrder(order)
			applied = append(applied, order.Encode())
		}
		replica := config.EmptyState()
		for _, text := range applied {
			order, err := config.DecodeOrder(text)
			if err != nil {
				t.Fatal(err)
			}
			replica, _ = replica.ApplyOrder(order)
		}
		if !bytes.Equal(replica.Encode(), w.state.Encode()) {
			t.Fatal("replicas differ")
		}
	})
}
