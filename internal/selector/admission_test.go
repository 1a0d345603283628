package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fill has an endpoint report so many requests.
func fill(f *fleet, running, queued int) {
	for index := range f.list {
		f.s.Report(f.now, f.list[index].ID, EngineReport{Running: running, Queued: queued, KVTotal: 316_082})
	}
}

func TestNothingIsRefusedWhilePlacesAreFree(t *testing.T) {
	for _, running := range []int{0, 20, 40, 64} {
		f := newFleet(t)
		f.engines(homeZone, 1)
		f.s.endpoints[f.list[0].ID].load.learn(f.now, 100_000) // answers come very late, for whatever reason
		fill(f, running, 0)
		f.sent(f.request("query"))
	}
}

func TestLateIsServedRatherThanRefused(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	fill(f, 64, 120) // begins after the aim, long before the deadline
	f.sent(f.request("query"))
}

func TestOverloadIsRefusedEarly(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	fill(f, 64, 2000)
	r := f.request("query")
	d := f.choose(r)
	assert.Equal(t, d.Kind, Refuse)
	assert.Equal(t, d.Reason, ReasonOverload)
	assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= f.route("query").Timeout()/3)
	f.now = r.offerBy().Add(time.Millisecond)
	fill(f, 64, 2000)
	f.sent(r) // held beyond a quarter of its aim: it is offered
}

func TestLessUrgentIsRefusedFirst(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	refused := func(priority, queued int) bool {
		fill(f, 64, queued)
		f.document.Routes[1].Priority = priority
		defer func() { f.document.Routes[1].Priority = 0 }()
		r := f.request("query")
		d := f.choose(r)
		if d.Kind == Send {
			f.done(d, ClientGone)
		}
		return d.Kind == Refuse
	}
	between := 0
	for queued := 64; queued < 2000; queued += 8 {
		urgent, other := refused(0, queued), refused(3, queued)
		assert.Assert(t, !urgent || other, "urgent refused, other not, at %d", queued)
		if other && !urgent {
			between++
		}
	}
	assert.Assert(t, between > 0)
}

func TestLargePromptsAreRefusedNoSoonerThanSmallOnes(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	fill(f, 64, 200)
	small, large := f.request("dossier"), f.request("dossier")
	large.TokensIn = 60_000
	small.TokensIn = 300
	assert.Equal(t, f.choose(small).Kind, Send)
	assert.Equal(t, f.choose(large).Kind, Send)
}
