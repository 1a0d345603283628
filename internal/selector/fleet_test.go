package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/budget"
	"wallflow/internal/config"
	"wallflow/internal/registry"
)

// The fleet of most tests has endpoints in three regions, for a service with engines and a plain one.
const (
	engines  = "advisor"
	plain    = "register"
	homeZone = "tema-a"
	nextZone = "kumasi-a"
	lastZone = "takoradi-a"
	home     = "tema"
	next     = "kumasi"
	last     = "takoradi"
)

var (
	start = time.Unix(1_000_000, 0)
	zones = map[string]string{homeZone: home, nextZone: next, lastZone: last}
)

// fleet is a Selector with a clock that the test moves, and the instances that it knows.
type fleet struct {
	t            testing.TB
	s            *Selector
	now          time.Time
	document     *config.Document
	compiled     *config.Compiled
	list         []registry.Instance
	requestCount int
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, now: start, document: testDocument()}
	f.s = New(Options{
		Zone: homeZone, Region: home, Zones: zones,
		Random:          rand.New(rand.NewPCG(1, 2)),
		Budget:          budget.NewRetryBudget(budget.Options{Ratio: 0.2, Window: 10 * time.Second}),
		WarmupOvershoot: 1.5, WarmupSlack: 5,
	})
	f.s.options.Budget.SetSlack(engines, 1000)
	f.s.options.Budget.SetSlack(plain, 1000)
	f.configure()
	return f
}

func testDocument() *config.Document {
	engine := &config.Engine{Slots: 64, KVCapacity: 316_082, Stride: 5}
	return &config.Document{
		Generation: 1,
		Backends: []config.Backend{
			{Name: engines, MaxConns: 360, WarmupS: 3, WarmupPerS: 21, Engine: engine},
			{Name: plain, MaxConns: 96},
		},
		Routes: []config.Route{
			{Name: "dossier", Host: "h", PathPrefix: "/d/", Kind: config.KindStreaming, Resume: true, TimeoutMs: 8000, TargetMs: 1200,
				Priority: 1, Backend: engines, Retries: 2, Sticky: true},
			{Name: "query", Host: "h", PathPrefix: "/q/", Kind: config.KindStreaming, TimeoutMs: 5000, TargetMs: 800, Backend: engines,
				Retries: 1, HomeRegions: []string{home, last}},
			{Name: "gate", Host: "h", PathPrefix: "/g/", Kind: config.KindUnsafe, TimeoutMs: 3000, TargetMs: 300, Priority: 2,
				Backend: plain, Retries: 1},
			{Name: "safe", Host: "h", PathPrefix: "/s/", Kind: config.KindSafe, TimeoutMs: 3000, TargetMs: 300, Backend: plain, Retries: 3},
		},
	}
}

func (f *fleet) configure() {
	f.compiled = config.Compile(f.document)
	f.s.SetConfig(f.now, f.compiled)
}

func (f *fleet) route(name string) *config.Route {
	for index := range f.document.Routes {
		if f.document.Routes[index].Name == name {
			return &f.document.Routes[index]
		}
	}
	f.t.Fatalf("no route %s", name)
	return nil
}

// engines adds warm engine endpoints to a zone; plain adds plain ones.
func (f *fleet) engines(zone string, count int) { f.add(engines, zone, count, 64) }

func (f *fleet) plain(zone string, count int) { f.add(plain, zone, count, 6) }

func (f *fleet) add(backend, zone string, count, slots int) {
	for range count {
		id := fmt.Sprintf("%s-%s-%d", backend, zone, len(f.list))
		f.list = append(f.list, registry.Instance{
			ID: id, Backend: backend, Address: "10.0.0.1:1", Zone: zone, Slots: slots, State: registry.StateReady,
		})
	}
	f.publish()
}

// publish sets the list of instances at the Selector.
func (f *fleet) publish() { f.s.SetInstances(f.now, f.list) }

// change edits the instances of a zone and publishes them.
func (f *fleet) change(zone string, edit func(*registry.Instance)) {
	for index := range f.list {
		if f.list[index].Zone == zone {
			edit(&f.list[index])
		}
	}
	f.publish()
}

// advance moves the clock.
func (f *fleet) advance(pause time.Duration) { f.now = f.now.Add(pause) }

// request makes a request of a route that arrives now.
func (f *fleet) request(route string) *Request {
	f.requestCount++
	r := f.route(route)
	return &Request{
		Route: r, ID: fmt.Sprintf("r-%d", f.requestCount), TokensIn: 383, TokensOut: 45, BodyBytes: 770,
		Arrived: f.now, Deadline: f.now.Add(r.Timeout()),
	}
}

// dossier makes a large request with a shared prompt prefix.
func (f *fleet) dossier(prefix uint64) *Request {
	r := f.request("dossier")
	r.Parts = []PromptPart{{ID: prefix, Tokens: 13_300}, {ID: 1_000_000 + uint64(f.requestCount), Tokens: 3_720}}
	r.TokensIn, r.TokensOut, r.BodyBytes = 17_020, 120, 34_000
	return r
}

func (f *fleet) choose(r *Request) Decision { return f.s.Choose(f.now, r) }

// mustSend calls Choose for a request that must be sent.
func (f *fleet) mustSend(r *Request) Decision {
	f.t.Helper()
	d := f.choose(r)
	assert.Equal(f.t, d.Kind, Send, "%v: %v", d.Kind, d.Reason)
	return d
}

// finish ends the attempt of a decision with an outcome.
func (f *fleet) finish(d Decision, kind OutcomeKind) {
	f.s.Done(f.now, d.Attempt, Outcome{Kind: kind, MayHaveRun: kind == Reset || kind == TimedOut})
}

// serve has a request answered after a time.
func (f *fleet) serve(d Decision, took time.Duration) {
	f.advance(took)
	f.s.FirstByte(f.now, d.Attempt)
	f.finish(d, Success)
}

// fail has a new request of a route fail with an outcome at the endpoint that is chosen, and returns that endpoint.
func (f *fleet) fail(route string, kind OutcomeKind) registry.Instance {
	f.t.Helper()
	d := f.mustSend(f.request(route))
	f.finish(d, kind)
	return d.Instance
}

func (f *fleet) endpoint(id string) *endpoint { return f.s.endpoints[id] }

// ruleCount is how often a failure rule has matched.
func (f *fleet) ruleCount(rule RuleName) uint64 { return f.s.ruleMatches[rule] }
