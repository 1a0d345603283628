package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/listsvc"
	"wallflow/internal/trial/fault"
	"wallflow/internal/trial/history"
)

// panicOnInvariantEnv is a setting of the environment that ends a process when an invariant check in its code fails.
const panicOnInvariantEnv = "WALLFLOW_INVARIANTS=panic"

const (
	fleetTarget         = "fleet"
	fleetLease          = 2 * time.Second
	policyHold          = time.Second
	policyDeadline      = 2 * time.Second
	phasePollInterval   = 3 * time.Millisecond
	phaseTimeout        = 3 * time.Second // for a change to reach a phase; it may have passed unobserved
	policySettleTimeout = 8 * time.Second // for all relays to follow the policy in force: a change in flight and a hold
)

// phases are the phases of a change at which faults can be injected.
var phases = []string{string(accord.Proposed), string(accord.Armed), "sealed"}

// promised is the phase in which a relay's promise is known to the service and the outcome is not.
const promised = "promised"

var phasesAndPromised = append(slices.Clone(phases), promised)

// hasPromised reports whether the relay has promised the change in flight; whether any relay has, if on is not a relay.
func hasPromised(r listsvc.FleetReport, on string) bool {
	return slices.ContainsFunc(r.Sessions, func(s accord.Session) bool {
		return s.Promised == r.Change.Number && (s.Name == on || relayOfTarget(on) == "")
	})
}

// policyState returns the policy state that a list server reports; false if it does not answer.
func (h *Harness) policyState(addr string) (r listsvc.FleetReport, ok bool) {
	if addr == "" {
		return r, false
	}
	res, err := statusClient.Get("http://" + addr + "/fleet/policy") // direct, not over a link
	if err != nil {
		return r, false
	}
	defer res.Body.Close()
	return r, res.StatusCode == http.StatusOK && json.NewDecoder(res.Body).Decode(&r) == nil
}

// newestPolicyState returns the newest state that any list server reports.
func (h *Harness) newestPolicyState() (best listsvc.FleetReport, ok bool) {
	for _, s := range h.listService.servers {
		s.mu.Lock()
		addr := s.addrs.HTTP
		s.mu.Unlock()
		r, answered := h.policyState(addr)
		if answered && (!ok || lastChangeNumber(r) > lastChangeNumber(best) || lastChangeNumber(r) == lastChangeNumber(best) &&
			len(r.Outcomes) > len(best.Outcomes)) {
			best, ok = r, true
		}
	}
	return best, ok
}

// lastChangeNumber returns the number of the last change that a report contains.
func lastChangeNumber(r listsvc.FleetReport) (n int64) {
	n = r.InForce.Number
	if r.Change != nil {
		n = max(n, r.Change.Number)
	}
	for _, o := range r.Outcomes {
		n = max(n, o.Number)
	}
	return n
}

// atPhase returns an action that waits until the next change reaches the phase in Step.Note.
func atPhase(do func(ctx context.Context, h *Harness, s Step, on string) error) func(context.Context, *Harness, Step, string) error {
	return func(ctx context.Context, h *Harness, s Step, on string) error {
		before, _ := h.newestPolicyState()
		lastNumber := before.InForce.Number // a change that is already in flight counts as the next one
		for _, o := range before.Outcomes {
			lastNumber = max(lastNumber, o.Number)
		}
		for end := time.Now().Add(phaseTimeout); ; {
			r, _ := h.newestPolicyState()
			if c := r.Change; c != nil && c.Number > lastNumber && s.Note == promised && hasPromised(r, on) {
				break
			}
			if c := r.Change; c != nil && c.Number > lastNumber &&
				(string(c.Phase) == s.Note || c.Phase == accord.Armed && s.Note == string(accord.Proposed)) {
				break
			}
			if s.Note == "sealed" && r.InForce.Number > lastNumber {
				break
			}
			if time.Now().After(end) {
				h.recorder.Add(history.Event{Kind: history.Fault, Note: "no change came to be " + s.Note})
				return nil
			}
			if !sleep(ctx, phasePollInterval) {
				return nil
			}
		}
		h.recorder.Add(history.Event{Kind: history.Fault, Relay: relayOfTarget(on), Note: s.Do + ": a change is " + s.Note})
		return do(ctx, h, s, on)
	}
}

// doPropose proposes a policy that differs each time, in the attempts of classes and the order of endpoints.
func doPropose(ctx context.Context, h *Harness, s Step, _ string) error {
	n := int(s.At.Milliseconds())
	doc := accord.Document{Form: 1, Title: fmt.Sprintf("proposed at %v", s.At), Classes: map[string]accord.Class{},
		Destinations: map[string]accord.Order{}}
	for i, c := range h.load.Classes {
		doc.Classes[c.Name] = accord.Class{Attempts: 3 + (n+i)%5, AdviceMS: int64(300 + n%300)}
	}
	for _, p := range h.environment.Partners {
		if len(p.Endpoints) > 1 {
			var order []string
			for i := range p.Endpoints {
				order = append(order, p.Endpoints[(n+i)%len(p.Endpoints)].ID)
			}
			doc.Destinations[fmt.Sprint(p.Cell)] = accord.Order{Routes: order}
		}
	}
	data, err := doc.Canonical()
	if err != nil {
		return err
	}
	body, err := json.Marshal(listsvc.Proposal{Document: data, HoldMS: policyHold.Milliseconds(), WithinMS: policyDeadline.Milliseconds()})
	if err != nil {
		return err
	}
	bound, cancel := context.WithTimeout(ctx, listWriteTimeout)
	defer cancel()
	if _, err := h.listService.users.WriteUntilAccepted(bound, http.MethodPost, "/fleet/policy", fmt.Sprintf("policy-%v", s.At),
		body); err != nil {
		if ctx.Err() == nil { // expected if another change is in flight or there is no leader
			h.recorder.Add(history.Event{Kind: history.Fault, Note: "not proposed: " + err.Error()})
		}
		return nil
	}
	h.recorder.Add(history.Event{Kind: history.Fault, Note: "proposed"})
	return nil
}

func doAgentFreeze(ctx context.Context, h *Harness, s Step, on string) error {
	p := h.relay(on).agentProcess
	if p == nil {
		return errors.New("the relay has a fake agent, not an agent process")
	}
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	if _, err := p.signal(syscall.SIGSTOP, history.Stop); err != nil {
		return err
	}
	sleep(ctx, s.For.Duration)
	_, err := p.signal(syscall.SIGCONT, history.Cont)
	return err
}

func doAgentCut(ctx context.Context, h *Harness, s Step, on string) error {
	if h.listService == nil {
		return errors.New("the trial has no list servers")
	}
	setCut := func(isCut bool) {
		for _, l := range h.listService.servers {
			h.links[on+">"+l.name+".web"].Change(func(f *fault.Faults) { f.To.Cut, f.From.Cut = isCut, isCut })
		}
	}
	setCut(true)
	sleep(ctx, s.For.Duration)
	setCut(false)
	return nil
}

// doDrop drops the change in flight, which may be sealed at the same moment.
func doDrop(ctx context.Context, h *Harness, _ Step, _ string) error {
	r, _ := h.newestPolicyState()
	if r.Change == nil {
		return nil
	}
	bound, cancel := context.WithTimeout(ctx, listWriteTimeout)
	defer cancel()
	note := "dropped"
	if _, err := h.listService.users.WriteUntilAccepted(bound, http.MethodDelete, fmt.Sprintf("/fleet/policy/%d", r.Change.Number), "",
		nil); err != nil {
		note = "not dropped: " + err.Error()
	}
	h.recorder.Add(history.Event{Kind: history.Fault, Note: note})
	return nil
}

// doDiskFails makes writes of the agent's policy state fail by a folder in place of the file.
func doDiskFails(ctx context.Context, h *Harness, s Step, on string) error {
	p := h.relay(on).agentProcess
	if p == nil {
		return errors.New("the relay has a fake agent, not an agent process")
	}
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	path := filepath.Join(p.dir, "state", "fleet")
	for { // the agent may write a new file in between
		if err := os.Rename(path, path+".away"); err != nil {
			return err
		}
		err := os.MkdirAll(filepath.Join(path, "in the way"), 0o700)
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.ENOTDIR) {
			return err
		}
	}
	sleep(ctx, s.For.Duration)
	return errors.Join(os.RemoveAll(path), os.Rename(path+".away", path))
}

// recordPolicyOutcomes waits until no change is in flight and all relays follow the policy in force, and records the
// state.
func (h *Harness) recordPolicyOutcomes(ctx context.Context) {
	for end := time.Now().Add(policySettleTimeout); ; {
		r, ok := h.newestPolicyState()
		settled := ok && r.Change == nil
		for _, s := range r.Sessions {
			settled = settled && s.ActivePolicy == r.InForce.Number && s.State == accord.Present
		}
		if !settled && time.Now().Before(end) && sleep(ctx, 20*time.Millisecond) {
			continue
		}
		for _, o := range r.Outcomes {
			e := history.Event{Kind: history.PolicyOutcome, Number: int(o.Number), Outcome: history.Refused, Note: o.Why}
			if o.Sealed {
				e.Outcome = history.OK
			}
			h.recorder.Add(e)
		}
		for _, x := range h.relays {
			e := history.Event{Kind: history.PolicyOutcome, Relay: x.Name, Number: -1, Note: "it has no session"}
			for _, s := range r.Sessions {
				if s.Name != x.Name {
					continue
				}
				e.Number, e.Note = int(s.ActivePolicy), fmt.Sprintf("%s, with %d in force", s.State, r.InForce.Number)
				if s.ActivePolicy == r.InForce.Number && s.State == accord.Present && r.Change == nil {
					e.Status = 1
				}
			}
			h.recorder.Add(e)
		}
		return
	}
}

// Scenarios of policy changes. Their faults end after at most four fifths of the trial, which leaves time to recover.

// planProposals plans changes at equal intervals, with the steps that stepsFor returns for each.
func (h *Harness) planProposals(length time.Duration, stepsFor func(i int, when time.Duration) []Step) []Step {
	n := max(2, min(6, int(length/(3*time.Second))))
	var steps []Step
	for i := range n {
		when := length*6/100 + length*70/100*time.Duration(i)/time.Duration(n)
		steps = append(steps, Step{At: roundToMillis(when), Do: "policy-propose", On: []string{fleetTarget}})
		if stepsFor != nil {
			steps = append(steps, stepsFor(i, when)...)
		}
	}
	return h.withTraffic(length, steps)
}

// watchFrom returns a time shortly before a proposal, from which its phases are watched.
func watchFrom(when time.Duration) time.Duration { return max(0, when-50*time.Millisecond) }

func policyCalmSteps(_ *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, nil)
}

func policyRelayDownSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		return []Step{
			{At: roundToMillis(max(0, when-drawDuration(rng, 0, 300*time.Millisecond))), Do: "kill", On: h.drawRelays(rng, 0.2),
				For: roundToMillis(drawDuration(rng, 200*time.Millisecond, 1500*time.Millisecond))},
			{At: roundToMillis(watchFrom(when)), Do: "policy-kill", On: h.drawRelays(rng, 0.2),
				For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 1500*time.Millisecond)), Note: phases[i%len(phases)]},
		}
	})
}

func policyAgentKillSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		on := h.drawRelays(rng, 0.2)
		steps := []Step{{At: roundToMillis(watchFrom(when)), Do: "policy-agent-kill", On: on,
			For: roundToMillis(drawDuration(rng, 20*time.Millisecond, 1200*time.Millisecond)), Note: phases[i%len(phases)]}}
		if i%2 == 1 {
			steps = append(steps, Step{At: roundToMillis(when + drawDuration(rng, 50*time.Millisecond, 600*time.Millisecond)), Do: "kill",
				On: on[:1], For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 300*time.Millisecond))})
		}
		return steps
	})
}

func policyLeaderKillSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		actionName, longest := "policy-list-kill", 1200*time.Millisecond
		if rng.IntN(3) == 0 {
			actionName, longest = "policy-list-freeze", 2*policyHold
		}
		return []Step{{At: roundToMillis(watchFrom(when)), Do: actionName, On: []string{leaderTarget},
			For: roundToMillis(drawDuration(rng, 50*time.Millisecond, longest)), Note: phases[i%len(phases)]}}
	})
}

func policyInDoubtSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		note := promised
		if i%3 == 2 {
			note = phases[1+rng.IntN(2)]
		}
		return []Step{{At: roundToMillis(watchFrom(when)), Do: "policy-cut", On: h.drawRelays(rng, 0.3),
			For: roundToMillis(drawDuration(rng, policyHold/4, 2*policyHold)), Note: note}}
	})
}

func policyFreezeSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		actionName := "policy-freeze"
		if rng.IntN(2) == 0 {
			actionName = "policy-agent-freeze"
		}
		return []Step{{At: roundToMillis(watchFrom(when)), Do: actionName, On: h.drawRelays(rng, 0.2),
			For: roundToMillis(drawDuration(rng, policyHold/2, 2*policyHold)), Note: phases[i%len(phases)]}}
	})
}

func policyAllDeadSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		if i%2 == 1 { // every second change finds all processes running
			return nil
		}
		var all []Step
		note := phases[(i/2)%len(phases)]
		for _, s := range h.listService.servers {
			all = append(all, Step{At: roundToMillis(watchFrom(when)), Do: "policy-list-kill", On: []string{s.name},
				For: roundToMillis(drawDuration(rng, 100*time.Millisecond, 600*time.Millisecond)), Note: note})
		}
		for _, r := range h.relays {
			all = append(all, Step{At: roundToMillis(watchFrom(when)), Do: "policy-agent-kill", On: []string{r.Name},
				For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 600*time.Millisecond)), Note: note})
			if rng.IntN(2) == 0 {
				all = append(all, Step{At: roundToMillis(when + drawDuration(rng, 100*time.Millisecond, 500*time.Millisecond)), Do: "kill",
					On: []string{r.Name}, For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 600*time.Millisecond))})
			}
		}
		return all
	})
}

func policyZoneCutSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		zone := h.relays[rng.IntN(len(h.relays))].Zone
		var on []string
		for _, r := range h.relays {
			if r.Zone == zone {
				on = append(on, r.Name)
			}
		}
		return []Step{{At: roundToMillis(watchFrom(when)), Do: "policy-cut", On: on,
			For: roundToMillis(drawDuration(rng, policyHold/4, 2*policyHold)), Note: phases[(i+1)%len(phases)]}}
	})
}

func policyTwoAtOnceSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		steps := []Step{{At: roundToMillis(when + drawDuration(rng, 0, 400*time.Millisecond)), Do: "policy-propose", On: []string{fleetTarget}}}
		if i%2 == 1 {
			steps = append(steps, Step{At: roundToMillis(watchFrom(when)), Do: "policy-drop", On: []string{fleetTarget}, Note: string(accord.Armed)})
		}
		return steps
	})
}

func policyDiskFailsSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return h.planProposals(length, func(i int, when time.Duration) []Step {
		return []Step{{At: roundToMillis(watchFrom(when)), Do: "policy-disk", On: h.drawRelays(rng, 0.3),
			For: roundToMillis(drawDuration(rng, 100*time.Millisecond, policyHold)), Note: phases[i%2]}}
	})
}
