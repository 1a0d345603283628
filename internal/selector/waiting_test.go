package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noopWaiter is a Waiter that does nothing when it is woken.
type noopWaiter struct{}

func (noopWaiter) Wake() {}

// requestWithWaiter returns a request that may wait, with a deadline long after the end of any skip.
func requestWithWaiter(f *fleet) *Request {
	r := f.request("gate")
	r.Deadline = f.now.Add(10 * time.Second)
	r.Waiter = noopWaiter{}
	return r
}

func TestWaitersAreWokenWhenTheTrialSucceeds(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	f.advance(3 * time.Second)
	trial := f.mustSend(f.request("gate"))
	var waiting []*Request
	for range 3 {
		r := requestWithWaiter(f)
		assert.Equal(t, f.choose(r).Kind, Wait)
		waiting = append(waiting, r)
	}
	f.s.Abandon(waiting[1])
	f.serve(trial, 10*time.Millisecond)
	assert.DeepEqual(t, ids(f.s.Woken()), ids([]*Request{waiting[0], waiting[2]}))
	assert.Equal(t, len(f.s.Woken()), 0)
	assert.Equal(t, f.s.Counts(f.now).Waiting, 0)
}

func TestWaitersAreWokenByNewEndpoints(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	r := requestWithWaiter(f)
	assert.Equal(t, f.choose(r).Kind, Wait)
	f.plain(homeZone, 1)
	assert.DeepEqual(t, ids(f.s.Woken()), []string{r.ID})
	f.mustSend(r)
}

func TestRepeatedlyWaitingRequestIsListedOnce(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	r := requestWithWaiter(f)
	for range 200 {
		assert.Equal(t, f.choose(r).Kind, Wait)
	}
	list := &f.s.services[plain].waiting
	assert.Equal(t, list.count, 1)
	assert.Equal(t, len(list.requests), 1)
	for range 200 {
		f.s.Abandon(newWaitingRequest(f))
	}
	assert.Assert(t, len(list.requests) <= minCompactLength, "%d", len(list.requests))
	assert.Equal(t, list.count, 1)
}

// newWaitingRequest returns a request for which Choose has decided Wait.
func newWaitingRequest(f *fleet) *Request {
	r := requestWithWaiter(f)
	f.choose(r)
	return r
}

func TestPacedRequestIsForcedAtOfferDeadline(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	d := f.mustSend(f.request("gate"))
	f.advance(10 * time.Millisecond)
	f.finish(d, Full)
	r := f.request("gate")
	d = f.choose(r)
	assert.Equal(t, d.Kind, Wait)
	assert.Equal(t, d.Until, r.offerDeadline())
	f.now = d.Until
	d = f.mustSend(r)
	assert.Assert(t, d.Forced)
}

func ids(requests []*Request) []string {
	var all []string
	for _, r := range requests {
		all = append(all, r.ID)
	}
	return all
}
