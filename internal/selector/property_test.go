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

// play is a random walk over a Selector: whatever comes in any order, some things never happen.
type play struct {
	*fleet
	r         *rapid.T
	evacuated []string
	owned     map[string]bool
	open      []Decision
	waiting   []*Request
	cold      map[string][]time.Time // sends to endpoints while they were cold
	requests  []time.Time
	repeats   []time.Time
	tries     map[*Request]*tally
}

// tally is what the walk knows of one request.
type tally struct {
	arrivals int
	runs     int
	out      bool
}

const (
	walkRatio  = 0.2
	walkWindow = 10 * time.Second
)

func newPlay(t *testing.T, r *rapid.T) *play {
	p := &play{fleet: newFleet(t), r: r, owned: map[string]bool{}, cold: map[string][]time.Time{}, tries: map[*Request]*tally{}}
	seed := rapid.Uint64().Draw(r, "seed")
	p.s.random = rand.New(rand.NewPCG(seed, 1))
	p.s.options.Budget = budget.NewRetryBudget(budget.Options{Ratio: walkRatio, Window: walkWindow})
	for _, zone := range []string{homeZone, nextZone, lastZone} {
		p.engines(zone, rapid.IntRange(0, 40).Draw(r, "engines"))
		p.plain(zone, rapid.IntRange(0, 2).Draw(r, "plain"))
	}
	return p
}

func TestWalksKeepTheRules(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := newPlay(t, r)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			p.after(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			p.step()
		}
		p.finish()
	})
}

func (p *play) step() {
	switch rapid.IntRange(0, 11).Draw(p.r, "step") {
	case 0:
		p.edit()
	case 1:
		p.evacuated = slices.Clone([]string{homeZone, nextZone, lastZone}[:rapid.IntRange(0, 2).Draw(p.r, "evacuated")])
		p.s.SetEvacuated(p.now, p.evacuated)
	case 2:
		p.own()
	case 3, 4, 5, 6:
		p.ask()
	case 7:
		p.again()
	default:
		p.outcome()
	}
	for _, request := range p.s.Woken() {
		p.r.Logf("woken %s", request.ID)
	}
}

// edit changes one instance.
func (p *play) edit() {
	if len(p.list) == 0 {
		return
	}
	instance := &p.list[rapid.IntRange(0, len(p.list)-1).Draw(p.r, "instance")]
	states := []registry.State{registry.StateReady, registry.StateReady, registry.StateDraining, registry.StateSilent, registry.StateGone}
	instance.State = rapid.SampledFrom(states).Draw(p.r, "state")
	instance.GoneAt = time.Time{}
	instance.ColdUntil = time.Time{}
	switch rapid.IntRange(0, 3).Draw(p.r, "more") {
	case 0:
		instance.GoneAt = p.now.Add(time.Second)
	case 1:
		instance.ColdUntil = p.now.Add(3 * time.Second)
	}
	p.tell()
}

func (p *play) own() {
	p.owned = map[string]bool{}
	share := rapid.IntRange(1, 3).Draw(p.r, "share")
	for index := range p.list {
		if index%share == 0 {
			p.owned[p.list[index].ID] = true
		}
	}
	owned := p.owned
	p.s.SetPeers(p.now, share, func(id string) bool { return owned[id] })
}

func (p *play) ask() {
	route := rapid.SampledFrom([]string{"dossier", "query", "gate", "safe"}).Draw(p.r, "route")
	for range rapid.IntRange(1, 30).Draw(p.r, "count") {
		request := p.request(route)
		if route == "dossier" {
			request = p.dossier(rapid.Uint64Range(1, 5).Draw(p.r, "opening"))
		}
		request.Waiter = nobody{}
		p.tries[request] = &tally{}
		p.requests = append(p.requests, p.now)
		p.decide(request)
	}
}

// again has a request that waits ask again.
func (p *play) again() {
	if len(p.waiting) == 0 {
		return
	}
	request := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.decide(request)
}

// outcome ends an attempt that is out.
func (p *play) outcome() {
	if len(p.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(p.open)-1).Draw(p.r, "attempt")
	d := p.open[at]
	p.open = slices.Delete(p.open, at, at+1)
	kind := OutcomeKind(rapid.IntRange(int(Success), int(ClientGone)).Draw(p.r, "outcome"))
	outcome := Outcome{Kind: kind, MayHaveRun: rapid.Bool().Draw(p.r, "ran")}
	if kind == Full && rapid.Bool().Draw(p.r, "told") {
		outcome.ToldWait = time.Second
	}
	if kind == Success {
		p.s.FirstByte(p.now, d.Attempt)
	}
	p.s.Done(p.now, d.Attempt, outcome)
	request := d.Attempt.request
	tally := p.tries[request]
	tally.out = false
	if outcome.arrived() {
		tally.arrivals++
	}
	if outcome.ran() {
		tally.runs++
	}
	if kind != Success && kind != ClientGone {
		p.decide(request)
	}
}

func (p *play) decide(request *Request) {
	d := p.choose(request)
	tally := p.tries[request]
	switch d.Kind {
	case Send:
		p.checkSend(request, d)
		tally.out = true
		p.open = append(p.open, d)
	case Wait:
		if !d.Until.After(p.now) || d.Until.After(request.Deadline) {
			p.r.Fatalf("waits until %v, now %v", d.Until, p.now)
		}
		p.waiting = append(p.waiting, request)
	case Refuse:
		if tally.runs > 0 {
			p.r.Fatalf("refused a request that may have run")
		}
		if d.RetryAfter <= 0 {
			p.r.Fatalf("refused without advice")
		}
	case Fail:
		if tally.runs == 0 {
			p.r.Fatalf("failed a request that has not run: %s", d.Reason)
		}
	default:
		p.r.Fatalf("no decision")
	}
}

func (p *play) checkSend(request *Request, d Decision) {
	at := slices.IndexFunc(p.list, func(i registry.Instance) bool { return i.ID == d.Instance.ID })
	instance := p.list[at]
	route := request.Route
	tally := p.tries[request]
	switch {
	case instance.State == registry.StateDraining || instance.State == registry.StateGone || !instance.GoneAt.IsZero():
		p.r.Fatalf("sent to an endpoint that leaves")
	case slices.Contains(p.evacuated, instance.Zone):
		p.r.Fatalf("sent to an evacuated zone")
	case len(route.HomeRegions) > 0 && !slices.Contains(route.HomeRegions, zones[instance.Zone]):
		p.r.Fatalf("sent to a region that is no home")
	case instance.Backend != route.Backend:
		p.r.Fatalf("sent to another service")
	case !p.now.Before(request.Deadline):
		p.r.Fatalf("sent after its deadline")
	case tally.out:
		p.r.Fatalf("sent twice at once")
	case tally.runs > 0 && (!route.Idempotent() || tally.runs >= route.Retries):
		p.r.Fatalf("runs too often")
	case d.GiveUpAt.After(request.Deadline):
		p.r.Fatalf("given up after the deadline")
	}
	if tally.arrivals > 0 {
		p.checkBudget()
	}
	p.checkCold(instance)
}

// checkBudget counts the repeats of the window that ends now. The walk counts both services together, which is as strict: the sum
// of what each allows.
func (p *play) checkBudget() {
	p.repeats = append(p.repeats, p.now)
	most := walkRatio * float64(since(p.requests, p.now, walkWindow))
	if got := since(p.repeats, p.now, walkWindow); float64(got) > most {
		p.r.Fatalf("%d repeats where %.1f are allowed", got, most)
	}
}

func (p *play) checkCold(instance registry.Instance) {
	endpoint := p.endpoint(instance.ID)
	if !endpoint.isCold(p.now) {
		return
	}
	if !p.owned[instance.ID] {
		p.r.Fatalf("sent to a cold endpoint of another owner")
	}
	p.cold[instance.ID] = append(p.cold[instance.ID], p.now)
	if got := since(p.cold[instance.ID], p.now, time.Second); got > 17 {
		p.r.Fatalf("%d requests in a second to a cold endpoint", got)
	}
}

func since(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// finish ends all attempts: nothing is left booked.
func (p *play) finish() {
	for _, d := range p.open {
		p.s.Done(p.now, d.Attempt, Outcome{Kind: ClientGone})
		p.s.Done(p.now, d.Attempt, Outcome{Kind: ClientGone})
	}
	for id, endpoint := range p.s.endpoints {
		load := &endpoint.load
		if load.outstanding != 0 || load.held != 0 || load.unread != 0 || load.first != nil || load.last != nil {
			p.r.Fatalf("%s: %+v is left", id, load)
		}
		tokens := 0
		for _, part := range endpoint.cache.parts {
			tokens += part.tokens
		}
		if tokens != endpoint.cache.tokens {
			p.r.Fatalf("%s: %d tokens kept, %d counted", id, tokens, endpoint.cache.tokens)
		}
	}
	p.checkLists()
}

// checkLists finds each endpoint where its place and index say.
func (p *play) checkLists() {
	for _, service := range p.s.services {
		for _, tier := range service.tiers {
			grouped := 0
			for _, group := range tier.groups {
				grouped += len(group)
			}
			if tier.groups != nil && grouped != len(tier.warm()) {
				p.r.Fatalf("%d endpoints grouped of %d", grouped, len(tier.warm()))
			}
			for place, list := range tier.lists {
				for index, endpoint := range list {
					if endpoint.place != placeOf(place) || endpoint.index != index {
						p.r.Fatalf("endpoint at %d of list %d says %d, %d", index, place, endpoint.index, endpoint.place)
					}
				}
			}
		}
	}
}
