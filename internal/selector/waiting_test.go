package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type nobody struct{}

func (nobody) Wake() {}

func waitingRequest(f *fleet) *Request {
	r := f.request("gate")
	r.Deadline = f.now.Add(10 * time.Second)
	r.Waiter = nobody{}
	return r
}

func TestWaitersAreWokenWhenTheTrialSucceeds(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	f.after(3 * time.Second)
	trial := f.sent(f.request("gate"))
	var waiting []*Request
	for range 3 {
		r := waitingRequest(f)
		assert.Equal(t, f.choose(r).Kind, Wait)
		waiting = append(waiting, r)
	}
	f.s.Abandon(waiting[1])
	f.served(trial, 10*time.Millisecond)
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
	r := waitingRequest(f)
	assert.Equal(t, f.choose(r).Kind, Wait)
	f.plain(homeZone, 1)
	assert.DeepEqual(t, ids(f.s.Woken()), []string{r.ID})
	f.sent(r)
}

func TestARequestThatAsksAgainIsListedOnce(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	for range 3 {
		f.fail("gate", ConnectFailed)
	}
	r := waitingRequest(f)
	for range 200 {
		assert.Equal(t, f.choose(r).Kind, Wait)
	}
	list := &f.s.services[plain].waiting
	assert.Equal(t, list.live, 1)
	assert.Equal(t, len(list.requests), 1)
	for range 200 {
		f.s.Abandon(waited(f))
	}
	assert.Assert(t, len(list.requests) <= compactAt, "%d", len(list.requests))
	assert.Equal(t, list.live, 1)
}

// waited is a request that has been told to wait.
func waited(f *fleet) *Request {
	r := waitingRequest(f)
	f.choose(r)
	return r
}

func TestBeyondThePaceIsOfferedWithinAQuarterOfTheAim(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	d := f.sent(f.request("gate"))
	f.after(10 * time.Millisecond)
	f.done(d, Full)
	r := f.request("gate")
	d = f.choose(r)
	assert.Equal(t, d.Kind, Wait)
	assert.Equal(t, d.Until, r.offerBy())
	f.now = d.Until
	d = f.sent(r)
	assert.Assert(t, d.Forced)
}

func ids(requests []*Request) []string {
	var all []string
	for _, r := range requests {
		all = append(all, r.ID)
	}
	return all
}
