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

// This file holds the fleet membership of a relay. A relay of a fleet accepts messages only under the fleet policy that its
// agent reports to be in force, and none while it does not know that policy. It talks only to its agent. Without a "fleet"
// block in the configuration nothing of this runs.
//
// A change of policy takes two phases. The relay first reports whether it can follow the new policy, and then promises to
// stop accepting messages under the old one after a given time unless it learns the outcome of the change by then.

const (
	agentPollWait    = 1500 * time.Millisecond // how long the agent may delay its reply until something changes
	agentTimeout     = 3 * time.Second
	maxReplyBytes    = 1 << 20
	agentRetryPause  = 200 * time.Millisecond
	admissionTimeout = 3 * time.Second
	policyRetryDelay = 2 * time.Second
)

// fleetClient exchanges the relay's status and the fleet policy with the agent.
type fleetClient struct {
	agent       string
	log         *slog.Logger
	client      *http.Client
	requestStep func() // asks the loop for a step

	mu         sync.Mutex
	baseConfig Config // the configuration without a fleet policy
	gate       accord.Gate
	docs       map[int64]*accord.Document // of the policies that the gate follows or may follow; nil: the policy has none
	status     accord.ProcessStatus
	lastReply  accord.ProcessReply // without its documents
	halted     bool                // the fleet no longer admits this relay
	interrupt  context.CancelFunc  // ends the exchange in progress, so that a new status is sent at once
	lastError  string              // last logged error of an exchange
}

func newFleetClient(cfg Config, log *slog.Logger, requestStep func()) (*fleetClient, error) {
	self, err := accord.CurrentProcess()
	if err != nil {
		return nil, err
	}
	return &fleetClient{agent: cfg.FleetAgent, log: log, client: &http.Client{Timeout: agentTimeout,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}, requestStep: requestStep, baseConfig: cfg,
		docs: map[int64]*accord.Document{}, status: accord.ProcessStatus{Process: self, Follows: -1}}, nil
}

// setBaseConfig sets a new configuration. Which policies the relay can follow depends on it.
func (f *fleetClient) setBaseConfig(base Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.baseConfig = base
}

// ready reports whether the relay knows the policy in force and is admitted.
func (f *fleetClient) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status.Follows >= 0 && !f.halted
}

// acceptsUnder reports whether messages may be accepted under the given policy now.
func (f *fleetClient) acceptsUnder(number int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.gate.AcceptsUnder(now)
	return ok && n == number && !f.halted
}

// checkStamp checks the invariant that a message is not stamped with a policy newer than the one in force. The gate may
// have switched to a newer policy since acceptsUnder, but never to an older one.
func (f *fleetClient) checkStamp(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, known := f.gate.CurrentPolicy(time.Now())
	invariant.Holds(invariant.StampFits, known && number <= n, number, n, known)
}

// nextPolicy returns the policy under which messages must be accepted now, if it differs from the one that the loop follows.
func (f *fleetClient) nextPolicy(follows int64, now time.Time) (number int64, doc *accord.Document, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, known := f.gate.CurrentPolicy(now)
	if !known || n == follows {
		return 0, nil, false
	}
	return n, f.docs[n], true
}

// policyFollowed notes that the loop follows a policy, and reports that to the agent at once.
func (f *fleetClient) policyFollowed(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Follows = number
	for n := range f.docs {
		if n < number {
			delete(f.docs, n)
		}
	}
	if f.interrupt != nil {
		f.interrupt()
	}
}

// run exchanges status and policy with the agent until ctx ends.
func (f *fleetClient) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	for ctx.Err() == nil {
		err := f.exchange(ctx)
		if err == nil || ctx.Err() != nil {
			f.lastError = ""
			continue
		}
		if err.Error() != f.lastError {
			f.lastError = err.Error()
			f.log.Warn("no fleet policy from the agent", "agent", f.agent, "err", err)
		}
		sleep(ctx, agentRetryPause/2+rand.N(agentRetryPause))
	}
}

// exchange sends the relay's status to the agent, with a promise if one is due, and handles the reply.
func (f *fleetClient) exchange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	askedAt := time.Now() // before anyone can know of the promise; its time limit counts from here
	if c := f.lastReply.Change; c != nil && c.Phase == accord.Armed && f.status.Can == c.Number && f.status.Promised != c.Number {
		f.gate.Promise(c.Number, askedAt, time.Duration(c.HoldMS)*time.Millisecond)
		f.status.Promised = c.Number
		f.log.Info("change of policy promised", "number", c.Number, "hold_ms", c.HoldMS)
	}
	status, have := f.status, f.lastReply
	interrupted := false
	f.interrupt = func() { interrupted = true; cancel() }
	f.mu.Unlock()
	reply, err := sendStatus(ctx, f.client, f.agent, status, have, agentPollWait)
	receivedAt := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = nil
	if err != nil {
		if interrupted {
			return nil
		}
		return err
	}
	return f.handleReply(reply, receivedAt)
}

// handleReply handles a reply of the agent that was received at receivedAt. The caller holds the lock.
func (f *fleetClient) handleReply(reply accord.ProcessReply, receivedAt time.Time) error {
	if reply.Halt && !f.halted {
		f.halted, f.status.Halted = true, true
		f.log.Error("accepting no more messages: the fleet does not admit this relay", "why", reply.Why)
	}
	if reply.Admitted {
		if err := f.followInForce(reply, receivedAt); err != nil {
			return err
		}
	}
	for _, p := range f.gate.OpenPromises() {
		if p <= reply.Decided && p > reply.Policy.Number {
			f.gate.Dropped(p)
			f.log.Info("change of policy dropped", "number", p)
		}
	}
	if c := reply.Change; c != nil && c.Number != f.status.Can && c.Number != f.status.Cannot {
		doc, err := accord.ParseDocument(c.Document)
		if err == nil {
			_, err = f.baseConfig.withPolicy(doc)
		}
		if err != nil {
			f.status.Cannot, f.status.Why = c.Number, err.Error()
			f.log.Warn("change of policy cannot be followed", "number", c.Number, "err", err)
		} else {
			f.status.Can = c.Number
			f.docs[c.Number] = doc
		}
	}
	f.lastReply = reply
	f.lastReply.Policy.Document = nil
	if reply.Change != nil {
		c := *reply.Change
		c.Document = nil
		f.lastReply.Change = &c
	}
	return nil
}

// followInForce makes the gate follow the policy in force from the time when that begins.
func (f *fleetClient) followInForce(reply accord.ProcessReply, receivedAt time.Time) error {
	n := reply.Policy.Number
	if follows, known := f.gate.CurrentPolicy(receivedAt); known && n <= follows {
		return nil
	}
	if _, ok := f.docs[n]; !ok {
		var doc *accord.Document
		if n > 0 {
			var err error
			if doc, err = accord.ParseDocument(reply.Policy.Document); err == nil {
				_, err = f.baseConfig.withPolicy(doc)
			}
			if err != nil {
				return fmt.Errorf("policy %d is in force but cannot be followed: %w", n, err)
			}
		}
		f.docs[n] = doc
	}
	begin := receivedAt.Add(time.Duration(reply.BeginInMS) * time.Millisecond)
	f.gate.Follow(n, begin)
	time.AfterFunc(time.Until(begin), f.requestStep) // needs no Stop: an event for a loop that has ended is dropped
	return nil
}

// sendStatus sends a process's status to the agent and returns the reply. The agent may delay the reply by up to wait if
// it has nothing newer than have.
func sendStatus(ctx context.Context, client *http.Client, agent string, status accord.ProcessStatus, have accord.ProcessReply,
	wait time.Duration) (reply accord.ProcessReply, err error) {
	body, err := json.Marshal(struct {
		accord.ProcessStatus
		Have   accord.ProcessReply `json:"have"`
		WaitMS int64               `json:"wait_ms"`
	}{status, have, wait.Milliseconds()})
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+"/fleet/relay", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return reply, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	if res.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("agent answers %s", res.Status)
	}
	return reply, json.Unmarshal(text, &reply)
}

// awaitAdmission waits until the agent admits this process to the fleet. It returns at once if the configuration has none.
func awaitAdmission(ctx context.Context, cfg Config) error {
	if cfg.FleetAgent == "" {
		return nil
	}
	self, err := accord.CurrentProcess()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	client := &http.Client{Timeout: agentTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for have := (accord.ProcessReply{}); ; {
		reply, err := sendStatus(ctx, client, cfg.FleetAgent, accord.ProcessStatus{Process: self, Follows: -1}, have, admissionTimeout)
		switch {
		case err != nil:
			return fmt.Errorf("the agent does not admit this process: %w", err)
		case reply.Admitted:
			return nil
		case reply.Halt:
			return errors.New("the agent does not admit this process: " + reply.Why)
		}
		have = reply
	}
}

// switchPolicy applies the policy in force if it has changed, and returns the events for the decision module.
func (r *Relay) switchPolicy() []policy.Event {
	if r.fleet == nil {
		return nil
	}
	number, doc, changed := r.fleet.nextPolicy(r.policyNumber, time.Now())
	if !changed {
		return nil
	}
	previous := r.policyDocument
	r.policyDocument = doc
	evs := r.reconfigure(r.baseConfig)
	if evs == nil { // the configuration has changed since the relay reported that it can follow: accept nothing until it fits
		r.policyDocument = previous
		time.AfterFunc(policyRetryDelay, func() { r.post(stepRequest{}) })
		return nil
	}
	r.policyNumber = number
	r.fleet.policyFollowed(number)
	r.log.Info("following a new fleet policy", "number", number)
	return evs
}

// withPolicy returns the configuration with a fleet policy applied. If the policy does not fit the configuration, the error
// names the field of the policy that does not.
func (c Config) withPolicy(doc *accord.Document) (Config, error) {
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
