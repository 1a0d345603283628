package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/invariant"
	"wallflow/policy"
)

// A relay of a fleet takes messages on under the policy that its agent tells, and under none while it does not know which that
// is. It speaks with its agent alone. Without the block "fleet" in the configuration nothing here runs.

const (
	wordFor     = 1500 * time.Millisecond // that an agent may wait for news
	wordIn      = 3 * time.Second
	wordMost    = 1 << 20
	wordPause   = 200 * time.Millisecond
	letInFor    = 3 * time.Second
	turnRetried = 2 * time.Second
)

// fleetLink is the relay's side of its agent.
type fleetLink struct {
	agent  string
	log    *slog.Logger
	client *http.Client
	nudge  func() // has the loop look

	mu     sync.Mutex
	base   Config // without a policy
	gate   accord.Gate
	docs   map[int64]*accord.Document // that the gate follows or will; nil: the policy has none
	says   accord.Says
	word   accord.Word // the last, of documents none
	halted bool
	kick   context.CancelFunc
	said   string
}

func newFleetLink(cfg Config, log *slog.Logger, nudge func()) (*fleetLink, error) {
	self, err := accord.Self()
	if err != nil {
		return nil, err
	}
	return &fleetLink{agent: cfg.FleetAgent, log: log, client: &http.Client{Timeout: wordIn, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}},
		nudge: nudge, base: cfg, docs: map[int64]*accord.Document{}, says: accord.Says{Process: self, Follows: -1}}, nil
}

// rebase notes a new configuration: what a policy may name depends on it.
func (f *fleetLink) rebase(base Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.base = base
}

// ready tells whether the relay knows the policy in force.
func (f *fleetLink) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.says.Follows >= 0 && !f.halted
}

// takesUnder tells whether a message may be taken on under a policy now.
func (f *fleetLink) takesUnder(number int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.gate.Takes(now)
	return ok && n == number && !f.halted
}

// stamped checks a message's stamp. The gate may have gone over between its being asked and now, and never back.
func (f *fleetLink) stamped(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, known := f.gate.Follows(time.Now())
	invariant.Holds(invariant.StampFits, known && number <= n, number, n, known)
}

// turn returns the policy that messages are to be taken on under now, where it is not the one that the loop follows.
func (f *fleetLink) turn(follows int64, now time.Time) (number int64, doc *accord.Document, turned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, known := f.gate.Follows(now)
	if !known || n == follows {
		return 0, nil, false
	}
	return n, f.docs[n], true
}

// turned notes that the loop follows a policy, and tells the agent soon.
func (f *fleetLink) turned(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.says.Follows = number
	for n := range f.docs {
		if n < number {
			delete(f.docs, n)
		}
	}
	if f.kick != nil {
		f.kick()
	}
}

// run speaks with the agent until ctx ends.
func (f *fleetLink) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := f.exchange(ctx)
		if err == nil || ctx.Err() != nil {
			f.said = ""
			continue
		}
		if err.Error() != f.said {
			f.said = err.Error()
			f.log.Warn("the agent does not tell the fleet's policy", "agent", f.agent, "err", err)
		}
		sleep(ctx, wordPause/2+rand.N(wordPause))
	}
}

// exchange says what there is to say, and takes the agent's word.
func (f *fleetLink) exchange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	asked := time.Now() // before anybody can know of a promise
	if c := f.word.Change; c != nil && c.Phase == accord.Armed && f.says.Can == c.Number && f.says.Promised != c.Number {
		f.gate.Promise(c.Number, asked, time.Duration(c.HoldMS)*time.Millisecond)
		f.says.Promised = c.Number
		f.log.Info("change of policy promised", "number", c.Number, "hold_ms", c.HoldMS)
	}
	says, have := f.says, f.word
	kicked := false
	f.kick = func() { kicked = true; cancel() }
	f.mu.Unlock()
	w, err := say(ctx, f.client, f.agent, says, have, wordFor)
	at := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kick = nil
	if err != nil {
		if kicked {
			return nil
		}
		return err
	}
	return f.take(w, at)
}

// take takes the agent's word, which was there at a time. It is called with the lock held.
func (f *fleetLink) take(w accord.Word, at time.Time) error {
	if w.Halt && !f.halted {
		f.halted, f.says.Halted = true, true
		f.log.Error("nothing is taken on any more: the fleet has no place for this relay", "why", w.Why)
	}
	if w.Admitted {
		if err := f.inForce(w, at); err != nil {
			return err
		}
	}
	for _, p := range f.gate.Promised() {
		if p <= w.Decided && p > w.Policy.Number {
			f.gate.Dropped(p)
			f.log.Info("change of policy dropped", "number", p)
		}
	}
	if c := w.Change; c != nil && c.Number != f.says.Can && c.Number != f.says.Cannot {
		doc, err := accord.Read(c.Document)
		if err == nil {
			_, err = f.base.under(doc)
		}
		if err != nil {
			f.says.Cannot, f.says.Why = c.Number, err.Error()
			f.log.Warn("change of policy cannot be followed", "number", c.Number, "err", err)
		} else {
			f.says.Can = c.Number
			f.docs[c.Number] = doc
		}
	}
	f.word = w
	f.word.Policy.Document = nil
	if w.Change != nil {
		c := *w.Change
		c.Document = nil
		f.word.Change = &c
	}
	return nil
}

// inForce has the gate follow the policy in force, once its time has come.
func (f *fleetLink) inForce(w accord.Word, at time.Time) error {
	n := w.Policy.Number
	if follows, known := f.gate.Follows(at); known && n <= follows {
		return nil
	}
	if _, ok := f.docs[n]; !ok {
		var doc *accord.Document
		if n > 0 {
			var err error
			if doc, err = accord.Read(w.Policy.Document); err == nil {
				_, err = f.base.under(doc)
			}
			if err != nil {
				return fmt.Errorf("policy %d is in force, and cannot be followed: %w", n, err)
			}
		}
		f.docs[n] = doc
	}
	begin := at.Add(time.Duration(w.BeginInMS) * time.Millisecond)
	f.gate.Follow(n, begin)
	time.AfterFunc(time.Until(begin), f.nudge) // ends by itself, and a loop that has ended takes no notice
	return nil
}

// say tells the agent what a process says, and returns its word.
func say(ctx context.Context, client *http.Client, agent string, says accord.Says, have accord.Word, wait time.Duration) (w accord.Word, err error) {
	body, err := json.Marshal(struct {
		accord.Says
		Have   accord.Word `json:"have"`
		WaitMS int64       `json:"wait_ms"`
	}{says, have, wait.Milliseconds()})
	if err != nil {
		return w, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+"/fleet/relay", bytes.NewReader(body))
	if err != nil {
		return w, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return w, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, wordMost))
	if err != nil {
		return w, err
	}
	if res.StatusCode != http.StatusOK {
		return w, fmt.Errorf("it answers %s", res.Status)
	}
	return w, json.Unmarshal(text, &w)
}

// letIn waits until the agent lets this process in, where the configuration has one.
func letIn(ctx context.Context, cfg Config) error {
	if cfg.FleetAgent == "" {
		return nil
	}
	self, err := accord.Self()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, letInFor)
	defer cancel()
	client := &http.Client{Timeout: wordIn, Transport: &http.Transport{DisableKeepAlives: true}}
	for have := (accord.Word{}); ; {
		w, err := say(ctx, client, cfg.FleetAgent, accord.Says{Process: self, Follows: -1}, have, letInFor)
		switch {
		case err != nil:
			return fmt.Errorf("the agent does not let this process in: %w", err)
		case w.Admitted:
			return nil
		case w.Halt:
			return errors.New("the agent does not let this process in: " + w.Why)
		}
		have = w
	}
}

// turnPolicy has the module go by the policy in force, where that is another one now.
func (r *Relay) turnPolicy() []policy.Event {
	if r.fleet == nil {
		return nil
	}
	number, doc, turned := r.fleet.turn(r.follows, time.Now())
	if !turned {
		return nil
	}
	was := r.document
	r.document = doc
	evs := r.reconfigure(r.base)
	if evs == nil { // its configuration was changed since it said that it can: nothing is taken on
		r.document = was
		time.AfterFunc(turnRetried, func() { r.post(nudge{}) })
		return nil
	}
	r.follows = number
	r.fleet.turned(number)
	r.log.Info("policy taken hold of", "number", number)
	return evs
}

// under is the configuration as a policy changes it; the policy's place that it cannot follow is named.
func (c Config) under(doc *accord.Document) (Config, error) {
	if doc == nil {
		return c, nil
	}
	c.Settings.Classes = slices.Clone(c.Settings.Classes)
	for _, name := range slices.Sorted(maps.Keys(doc.Classes)) {
		i, terms := slices.Index(c.Classes, name), doc.Classes[name]
		if i < 0 {
			return c, &accord.FieldError{Field: "classes." + name, Why: "this relay has no such class"}
		}
		if terms.Attempts > 0 {
			c.Settings.Classes[i].Attempts = terms.Attempts
		}
		c.Settings.Classes[i].Advice = time.Duration(terms.AdviceMS) * time.Millisecond
	}
	c.Settings.Customers = slices.Clone(c.Settings.Customers)
	for _, name := range slices.Sorted(maps.Keys(doc.Customers)) {
		i := slices.IndexFunc(c.Settings.Customers, func(x policy.Customer) bool { return x.Name == name })
		if i < 0 {
			return c, &accord.FieldError{Field: "customers." + name, Why: "this relay has no such customer"}
		}
		c.Settings.Customers[i].Quota = doc.Customers[name].QuotaPerS
	}
	c.Settings.Order = nil
	for number, order := range doc.Destinations {
		n, err := strconv.Atoi(number)
		if err != nil {
			return c, &accord.FieldError{Field: "destinations." + number, Why: "is no number"}
		}
		if c.Settings.Order == nil {
			c.Settings.Order = map[int][]string{}
		}
		c.Settings.Order[n] = order.Routes
	}
	if doc.Skip != nil {
		c.Settings.FirstSkip, c.Settings.MaxSkip = millis(float64(doc.Skip.FirstMS)), millis(float64(doc.Skip.MostMS))
	}
	return c, c.Settings.Check()
}
