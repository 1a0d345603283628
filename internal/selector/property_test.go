package selector

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wallflow/internal/budget"
	"wallflow/internal/registry"
)

// randomWalk calls a Selector with random events in random order and checks the invariants that must hold after any
// of them.
type randomWalk struct {
	*fleet
	r            *rapid.T
	evacuated    []string
	owned        map[string]bool
	attempts     []Decision
	waiting      []*Request
	coldSends    map[string][]time.Time // times of sends to endpoints that were cold
	requestTimes []time.Time
	retryTimes   []time.Time
	tallies      map[*Request]*tally
}

// tally holds what the walk knows about one request.
type tally struct {
	arrivals        int
	runs            int
	attemptInFlight bool
}

const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

func newRandomWalk(t *testing.T, r *rapid.T) *randomWalk {
	w := &randomWalk{fleet: newFleet(t), r: r, owned: map[string]bool{}, coldSends: map[string][]time.Time{}, tallies: map[*Request]*tally{}}
	seed := rapid.Uint64().Draw(r, "seed")
	w.s.random = rand.New(rand.NewPCG(seed, 1))
	w.s.options.Budget = budget.NewRetryBudget(budget.Options{Ratio: retryRatio, Window: retryWindow})
	for _, zone := range []string{homeZone, nextZone, lastZone} {
		w.engines(zone, rapid.IntRange(0, 40).Draw(r, "engines"))
		w.plain(zone, rapid.IntRange(0, 2).Draw(r, "plain"))
	}
	return w
}

func TestRandomWalksKeepInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newRandomWalk(t, r)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			w.advance(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			w.step()
		}
		w.checkFinished()
	})
}

// step generates one random event.
func (w *randomWalk) step() {
	switch rapid.IntRange(0, 11).Draw(w.r, "step") {
	case 0:
		w.changeInstance()
	case 1:
		w.evacuated = slices.Clone([]string{homeZone, nextZone, lastZone}[:rapid.IntRange(0, 2).Draw(w.r, "evacuated")])
		w.s.SetEvacuated(w.now, w.evacuated)
	case 2:
		w.setOwners()
	case 3, 4, 5, 6:
		w.sendRequests()
	case 7:
		w.retryWaiting()
	default:
		w.completeAttempt()
	}
	for _, request := range w.s.Woken() {
		w.r.Logf("woken %s", request.ID)
	}
}

// changeInstance changes one instance.
func (w *randomWalk) changeInstance() {
	if len(w.list) == 0 {
		return
	}
	instance := &w.list[rapid.IntRange(0, len(w.list)-1).Draw(w.r, "instance")]
	states := []registry.State{registry.StateReady, registry.StateReady, registry.StateDraining, registry.StateSilent, registry.StateGone}
	instance.State = rapid.SampledFrom(states).Draw(w.r, "state")
	instance.GoneAt = time.Time{}
	instance.ColdUntil = time.Time{}
	switch rapid.IntRange(0, 3).Draw(w.r, "more") {
	case 0:
		instance.GoneAt = w.now.Add(time.Second)
	case 1:
		instance.ColdUntil = w.now.Add(3 * time.Second)
	}
	w.publish()
}

// setOwners changes the number of relays in the zone and the cold endpoints that this relay owns.
func (w *randomWalk) setOwners() {
	w.owned = map[string]bool{}
	relays := rapid.IntRange(1, 3).Draw(w.r, "relays")
	for index := range w.list {
		if index%relays == 0 {
			w.owned[w.list[index].ID] = true
		}
	}
	owned := w.owned
	w.s.SetPeers(w.now, relays, func(id string) bool { return owned[id] })
}

// sendRequests submits new requests of one route.
func (w *randomWalk) sendRequests() {
	route := rapid.SampledFrom([]string{"dossier", "query", "gate", "safe"}).Draw(w.r, "route")
	for range rapid.IntRange(1, 30).Draw(w.r, "count") {
		request := w.request(route)
		if route == "dossier" {
			request = w.dossier(rapid.Uint64Range(1, 5).Draw(w.r, "prefix"))
		}
		request.Waiter = noopWaiter{}
		w.tallies[request] = &tally{}
		w.requestTimes = append(w.requestTimes, w.now)
		w.decide(request)
	}
}

// retryWaiting calls Choose again for a waiting request.
func (w *randomWalk) retryWaiting() {
	if len(w.waiting) == 0 {
		return
	}
	request := w.waiting[0]
	w.waiting = w.waiting[1:]
	w.decide(request)
}

// completeAttempt ends an attempt that is in flight.
func (w *randomWalk) completeAttempt() {
	if len(w.attempts) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.attempts)-1).Draw(w.r, "attempt")
	d := w.attempts[at]
	w.attempts = slices.Delete(w.attempts, at, at+1)
	kind := OutcomeKind(rapid.IntRange(int(Success), int(ClientGone)).Draw(w.r, "outcome"))
	outcome := Outcome{Kind: kind, MayHaveRun: rapid.Bool().Draw(w.r, "ran")}
	if kind == Full && rapid.Bool().Draw(w.r, "advised wait") {
		outcome.RetryAfter = time.Second
	}
	if kind == Success {
		w.s.FirstByte(w.now, d.Attempt)
	}
	w.s.Done(w.now, d.Attempt, outcome)
	request := d.Attempt.request
	tally := w.tallies[request]
	tally.attemptInFlight = false
	if outcome.reachedEndpoint() {
		tally.arrivals++
	}
	if outcome.countsAsRun() {
		tally.runs++
	}
	if kind != Success && kind != ClientGone {
		w.decide(request)
	}
}

// decide calls Choose for a request and checks the decision.
func (w *randomWalk) decide(request *Request) {
	d := w.choose(request)
	tally := w.tallies[request]
	switch d.Kind {
	case Send:
		w.checkSend(request, d)
		tally.attemptInFlight = true
		w.attempts = append(w.attempts, d)
	case Wait:
		if !d.Until.After(w.now) || d.Until.After(request.Deadline) {
			w.r.Fatalf("waits until %v, now %v", d.Until, w.now)
		}
		w.waiting = append(w.waiting, request)
	case Refuse:
		if tally.runs > 0 {
			w.r.Fatalf("refused a request that may have run")
		}
		if d.RetryAfter <= 0 {
			w.r.Fatalf("refused without an advised wait")
		}
	case Fail:
		if tally.runs == 0 {
			w.r.Fatalf("failed a request that has not run: %s", d.Reason)
		}
	default:
		w.r.Fatalf("no decision")
	}
}

// checkSend checks that a request may be sent to the endpoint of a decision.
func (w *randomWalk) checkSend(request *Request, d Decision) {
	at := slices.IndexFunc(w.list, func(i registry.Instance) bool { return i.ID == d.Instance.ID })
	instance := w.list[at]
	route := request.Route
	tally := w.tallies[request]
	switch {
	case instance.State == registry.StateDraining || instance.State == registry.StateGone || !instance.GoneAt.IsZero():
		w.r.Fatalf("sent to an endpoint that is draining or gone")
	case slices.Contains(w.evacuated, instance.Zone):
		w.r.Fatalf("sent to an evacuated zone")
	case len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, zones[instance.Zone]):
		w.r.Fatalf("sent to a region that is not a home region")
	case instance.Backend != route.Backend:
		w.r.Fatalf("sent to another service")
	case !w.now.Before(request.Deadline):
		w.r.Fatalf("sent after its deadline")
	case tally.attemptInFlight:
		w.r.Fatalf("sent while another attempt is in flight")
	case tally.runs > 0 && (!route.Idempotent() || tally.runs >= route.Retries):
		w.r.Fatalf("sent though it has run too often")
	case d.GiveUpAt.After(request.Deadline):
		w.r.Fatalf("the attempt times out after the deadline")
	}
	if tally.arrivals > 0 {
		w.checkBudget()
	}
	w.checkCold(instance)
}

// checkBudget counts the retries in the window that ends now. Both services are counted together, which is as strict,
// since the sum of what each allows is the limit.
func (w *randomWalk) checkBudget() {
	w.retryTimes = append(w.retryTimes, w.now)
	limit := retryRatio * float64(countSince(w.requestTimes, w.now, retryWindow))
	if got := countSince(w.retryTimes, w.now, retryWindow); float64(got) > limit {
		w.r.Fatalf("%d retries where %.1f are allowed", got, limit)
	}
}

// checkCold checks a send to an endpoint, if that is cold: this relay must own the endpoint and keep to its request
// rate.
func (w *randomWalk) checkCold(instance registry.Instance) {
	endpoint := w.endpoint(instance.ID)
	if !endpoint.isCold(w.now) {
		return
	}
	if !w.owned[instance.ID] {
		w.r.Fatalf("sent to a cold endpoint of another owner")
	}
	w.coldSends[instance.ID] = append(w.coldSends[instance.ID], w.now)
	if got := countSince(w.coldSends[instance.ID], w.now, time.Second); got > 17 {
		w.r.Fatalf("%d requests in a second to a cold endpoint", got)
	}
}

// countSince counts the times that lie within the window that ends now.
func countSince(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// checkFinished ends all attempts and checks that nothing is left of them.
func (w *randomWalk) checkFinished() {
	for _, d := range w.attempts {
		w.s.Done(w.now, d.Attempt, Outcome{Kind: ClientGone})
		w.s.Done(w.now, d.Attempt, Outcome{Kind: ClientGone})
	}
	for id, endpoint := range w.s.endpoints {
		load := &endpoint.load
		if load.inFlight != 0 || load.heldTokens != 0 || load.unansweredPrefill != 0 ||
			load.firstUnanswered != nil || load.lastUnanswered != nil {
			w.r.Fatalf("%s: attempts remain: %+v", id, load)
		}
		tokens := 0
		for _, part := range endpoint.cache.parts {
			tokens += part.tokens
		}
		if tokens != endpoint.cache.tokens {
			w.r.Fatalf("%s: %d tokens cached, %d counted", id, tokens, endpoint.cache.tokens)
		}
	}
	w.checkLists()
}

// checkLists checks that each endpoint is in the list and at the index that it records.
func (w *randomWalk) checkLists() {
	for _, service := range w.s.services {
		for _, tier := range service.tiers {
			grouped := 0
			for _, group := range tier.groups {
				grouped += len(group)
			}
			if tier.groups != nil && grouped != len(tier.warm()) {
				w.r.Fatalf("%d endpoints grouped of %d", grouped, len(tier.warm()))
			}
			for kind, endpoints := range tier.lists {
				for index, endpoint := range endpoints {
					if endpoint.list != listKind(kind) || endpoint.listIndex != index {
						w.r.Fatalf("endpoint at %d of list %d records index %d, list %d", index, kind, endpoint.listIndex, endpoint.list)
					}
				}
			}
		}
	}
}
