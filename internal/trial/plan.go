package trial

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wallflow/internal/tomlfile"
	"wallflow/internal/trial/fault"
	"wallflow/internal/trial/history"
	"wallflow/internal/trial/stand"
	"wallflow/internal/units"
)

// Step is one fault or other action on some targets at a given time. All parameters are drawn when the plan is made, so
// that a plan read from a file does the same.
type Step struct {
	At   units.Duration `toml:"at"`             // since the start of the load
	Do   string         `toml:"do"`             // name of an action, as listed by `wallflow trial list`
	On   []string       `toml:"on"`             // relays (n3), endpoints (s-01a), links (n3>s-01a), list servers (l0, leader) or fleet
	For  units.Duration `toml:"for,omitempty"`  // duration, if the action needs one
	Size float64        `toml:"size,omitempty"` // amount, if the action needs one
	Note string         `toml:"note,omitempty"` // variant of the action
}

// Plan is the list of steps of a trial.
type Plan struct {
	Scenario string         `toml:"scenario"`
	Load     string         `toml:"load"`
	Seed     uint64         `toml:"seed"`
	For      units.Duration `toml:"for"`
	Steps    []Step         `toml:"step"`
}

// action defines how a step is carried out. Steps on the same relay run one after the other; other steps run
// concurrently.
type action struct {
	description string
	targetKind  byte // r: relays, e: endpoints, p: links, l: list servers, f: the fleet
	needsFor    bool // requires Step.For
	needsSize   bool // requires Step.Size
	variants    []string
	// run carries out the step on one of its targets.
	run func(ctx context.Context, h *Harness, s Step, on string) error
}

var actions map[string]action

func init() { // not an initializer, as the functions refer to actions
	actions = map[string]action{
		"kill": {description: "SIGKILL; started again with its folder after `for`", targetKind: 'r', needsFor: true, run: doKill},
		"kill-compacting": {description: "SIGKILL while it compacts its journal, or after 5 s if it does not", targetKind: 'r',
			needsFor: true, run: doKill},
		"restart": {description: "SIGTERM; started again with its folder `for` after it ended", targetKind: 'r', needsFor: true,
			run: doRestart},
		"freeze": {description: "SIGSTOP for `for`", targetKind: 'r', needsFor: true, run: doFreeze},
		"succeed": {description: "a successor takes over; `note` selects the fault", targetKind: 'r', needsFor: true,
			variants: TakeoverFaults, run: doSucceed},
		"silence": {description: "discovery sends no updates for `for`", targetKind: 'r', needsFor: true, run: doSilence},
		"move": {description: "discovery moves to another address (SIGHUP)", targetKind: 'r',
			run: func(_ context.Context, h *Harness, _ Step, on string) error { return h.relay(on).Move() }},
		"down": {description: "the endpoint's process is down for `for`, and starts again with low capacity", targetKind: 'e',
			needsFor: true, run: doDown},
		"vanish": {description: "its machine is unreachable for `for`, and starts again with low capacity", targetKind: 'e',
			needsFor: true, run: doVanish},
		"hang": {description: "it accepts calls and answers none for `for`", targetKind: 'e', needsFor: true,
			run: modeAction(func(m *stand.Mode, _ Step, on bool) { m.Hang = on })},
		"slow": {description: "its processing takes `size` times as long for `for`", targetKind: 'e', needsFor: true,
			needsSize: true, run: modeAction(func(m *stand.Mode, s Step, on bool) { m.SlowFactor = s.Size * boolToFloat(on) })},
		"fail": {description: "a share of `size` of its calls is answered 500 for `for`", targetKind: 'e', needsFor: true,
			needsSize: true, run: modeAction(func(m *stand.Mode, s Step, on bool) { m.ErrorShare = s.Size * boolToFloat(on) })},
		"break": {description: "it resets each call after its last byte for `for`", targetKind: 'e', needsFor: true,
			run: modeAction(func(m *stand.Mode, _ Step, on bool) { m.ResetConnections = on })},
		"garble": {description: "its answers to calls with several messages are malformed for `for`", targetKind: 'e',
			needsFor: true, run: modeAction(func(m *stand.Mode, _ Step, on bool) { m.Malformed = on })},
		"shut": {description: "it refuses all calls for `for`", targetKind: 'e', needsFor: true, run: doShut},
		"lower": {description: "its rate limit is `size` times the usual for `for`", targetKind: 'e', needsFor: true,
			needsSize: true, run: doLower},
		"drain": {description: "it is listed as draining, and as gone after `for`", targetKind: 'e', needsFor: true, run: doDrain},
		"delay": {description: "the delay of the link is `size` ms longer each way for `for`", targetKind: 'p', needsFor: true,
			needsSize: true, run: linkAction(func(f *fault.Faults, s Step) { f.To.Delay += millis(s.Size); f.From.Delay += millis(s.Size) })},
		"lose": {description: "the link loses a share of `size` for `for`", targetKind: 'p', needsFor: true, needsSize: true,
			run: linkAction(func(f *fault.Faults, s Step) { f.To.Loss, f.From.Loss = s.Size, s.Size })},
		"cut": {description: "the link delivers nothing for `for`; `note` to or from: one way only", targetKind: 'p',
			needsFor: true, variants: []string{"", "to", "from"},
			run: linkAction(func(f *fault.Faults, s Step) { f.To.Cut, f.From.Cut = s.Note != "from", s.Note != "to" })},
		"agent-kill": {description: "SIGKILL to the relay's own agent; started again with its folder after `for`", targetKind: 'r',
			needsFor: true, run: doAgentKill},
		"list-kill": {description: "SIGKILL; started again with its folder after `for`", targetKind: 'l', needsFor: true,
			run: onListServer(doListKill)},
		"list-restart": {description: "SIGTERM; started again with its folder `for` after it ended", targetKind: 'l', needsFor: true,
			run: onListServer(doListRestart)},
		"list-freeze": {description: "SIGSTOP for `for`", targetKind: 'l', needsFor: true, run: onListServer(doListFreeze)},
		"list-replace": {description: "SIGKILL; its folder is lost, and it joins again after `for`", targetKind: 'l', needsFor: true,
			run: onListServer(doListReplace)},
		"list-part": {description: "cut off from the other servers for `for`; `note` in or out: one way only", targetKind: 'l',
			needsFor: true, variants: []string{"", "in", "out"}, run: onListServer(doListPart)},
		"policy-propose": {description: "a change of the policy is proposed", targetKind: 'f', run: doPropose},
		"policy-drop": {description: "the change in flight is dropped once it is at `note`", targetKind: 'f',
			variants: phasesAndPromised, run: atPhase(doDrop)},
		"policy-disk": {description: "its agent cannot write its policy state for `for` once a change is at `note`", targetKind: 'r',
			needsFor: true, variants: phasesAndPromised, run: atPhase(doDiskFails)},
		"policy-kill": {description: "SIGKILL once a change is at `note`; started again with its folder after `for`", targetKind: 'r',
			needsFor: true, variants: phasesAndPromised, run: atPhase(doKill)},
		"policy-freeze": {description: "SIGSTOP for `for` once a change is at `note`", targetKind: 'r', needsFor: true,
			variants: phasesAndPromised, run: atPhase(doFreeze)},
		"policy-agent-kill": {description: "SIGKILL to its agent once a change is at `note`; started again after `for`", targetKind: 'r',
			needsFor: true, variants: phasesAndPromised, run: atPhase(doAgentKill)},
		"policy-agent-freeze": {description: "SIGSTOP to its agent for `for` once a change is at `note`", targetKind: 'r', needsFor: true,
			variants: phasesAndPromised, run: atPhase(doAgentFreeze)},
		"policy-cut": {description: "its agent is cut off from all list servers for `for` once a change is at `note`", targetKind: 'r',
			needsFor: true, variants: phasesAndPromised, run: atPhase(doAgentCut)},
		"policy-list-kill": {description: "SIGKILL once a change is at `note`; started again after `for`", targetKind: 'l', needsFor: true,
			variants: phasesAndPromised, run: atPhase(onListServer(doListKill))},
		"policy-list-freeze": {description: "SIGSTOP for `for` once a change is at `note`", targetKind: 'l', needsFor: true,
			variants: phasesAndPromised, run: atPhase(onListServer(doListFreeze))},
		"reset": {description: "all its open connections are reset", targetKind: 'p',
			run: func(_ context.Context, h *Harness, _ Step, on string) error { h.links[on].Reset(); return nil }},
	}
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// ActionLines returns a line of text for each action.
func ActionLines() []string {
	var all []string
	for name, d := range actions {
		on := map[byte]string{'r': "relays", 'e': "endpoints", 'p': "links", 'l': "lists", 'f': "fleet"}[d.targetKind]
		all = append(all, fmt.Sprintf("%-19s %-10s %s", name, on, d.description))
	}
	slices.Sort(all)
	return all
}

// ReadPlan reads a plan from a file and checks what can be checked without a fleet.
func ReadPlan(path string) (*Plan, error) {
	var p Plan
	if err := tomlfile.Read(path, &p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	for i, s := range p.Steps {
		if err := s.validate(); err != nil {
			return nil, fmt.Errorf("plan: %s: step %d: %w", path, i+1, err)
		}
	}
	return &p, nil
}

// Write writes the plan in the form that ReadPlan reads.
func (p *Plan) Write(path string) error {
	data, err := toml.Marshal(p)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return os.WriteFile(path, data, 0o600)
}

func (s *Step) validate() error {
	action, ok := actions[s.Do]
	switch {
	case !ok:
		return fmt.Errorf("do: %q is unknown; see `wallflow trial list`", s.Do)
	case len(s.On) == 0:
		return errors.New("on: no target is given")
	case action.needsFor && s.For.Duration <= 0:
		return fmt.Errorf("for: %s needs a duration above 0", s.Do)
	case action.needsSize && s.Size <= 0:
		return fmt.Errorf("size: %s needs a value above 0", s.Do)
	case s.Note != "" && !slices.Contains(action.variants, s.Note):
		return fmt.Errorf("note: %q is none of %q", s.Note, action.variants)
	}
	return nil
}

// checkTargets checks that all targets of the plan exist in the fleet.
func (h *Harness) checkTargets(p *Plan) error {
	for i, s := range p.Steps {
		if err := s.validate(); err != nil {
			return fmt.Errorf("plan: step %d: %w", i+1, err)
		}
		for _, on := range s.On {
			ok := false
			switch actions[s.Do].targetKind {
			case 'r':
				ok = h.relay(on) != nil
			case 'e':
				ok = h.environment.Endpoint(on) != nil
			case 'p':
				ok = h.links[on] != nil
			case 'f':
				ok = h.usesPolicy && on == fleetTarget
			case 'l':
				ok = h.listService != nil && (on == leaderTarget || h.listServer(on) != nil)
			}
			if !ok {
				return fmt.Errorf("plan: step %d (%s): on: the fleet has no %q", i+1, s.Do, on)
			}
		}
	}
	return nil
}

// runPlan carries out the plan and returns once all steps have finished.
func (h *Harness) runPlan(ctx context.Context, p *Plan, began time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	lastStepDone := map[string]chan struct{}{} // by relay; closed when its previous step is done
	for _, s := range p.Steps {
		for _, on := range s.On {
			before := lastStepDone[on]
			done := make(chan struct{})
			if actions[s.Do].targetKind == 'r' {
				lastStepDone[on] = done
			} else {
				before = nil
			}
			wg.Go(func() {
				defer close(done)
				if !sleepUntil(ctx, began.Add(s.At.Duration)) {
					return
				}
				if before != nil {
					<-before
				}
				if ctx.Err() != nil {
					return
				}
				text := strings.TrimSpace(fmt.Sprintf("%s %s", s.Do, s.Note))
				h.recorder.Add(history.Event{Kind: history.Fault, Relay: relayOfTarget(on), Endpoint: endpointOfTarget(on), Note: text,
					Duration: s.For.Microseconds()})
				if err := actions[s.Do].run(ctx, h, s, on); err != nil && ctx.Err() == nil {
					mu.Lock()
					errs = append(errs, fmt.Errorf("%s %s at %v: %w", s.Do, on, s.At, err))
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return errors.Join(errs...)
}

func relayOfTarget(on string) string {
	if r, _, ok := strings.Cut(on, ">"); ok {
		return r
	}
	if strings.HasPrefix(on, "n") {
		return on
	}
	return ""
}

func endpointOfTarget(on string) string {
	if _, e, ok := strings.Cut(on, ">"); ok {
		return e
	}
	if !strings.HasPrefix(on, "n") {
		return on
	}
	return ""
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

func sleep(ctx context.Context, d time.Duration) bool { return sleepUntil(ctx, time.Now().Add(d)) }

// compactionTimeout limits the wait for a relay to compact its journal.
const compactionTimeout = 5 * time.Second

func doKill(ctx context.Context, h *Harness, s Step, on string) error {
	r := h.relay(on)
	var err error
	if s.Do == "kill-compacting" {
		err = r.KillCompacting(ctx, compactionTimeout)
	} else {
		err = r.Kill()
	}
	if err != nil || !sleep(ctx, s.For.Duration) {
		return err
	}
	return r.Start(ctx)
}

func doRestart(ctx context.Context, h *Harness, s Step, on string) error {
	r := h.relay(on)
	if err := r.Term(ctx); err != nil || !sleep(ctx, s.For.Duration) {
		return err
	}
	return r.Start(ctx)
}

func doFreeze(ctx context.Context, h *Harness, s Step, on string) error {
	r := h.relay(on)
	if err := r.Freeze(); err != nil {
		return err
	}
	sleep(ctx, s.For.Duration)
	return r.Thaw(ctx)
}

func doSilence(ctx context.Context, h *Harness, s Step, on string) error {
	a := h.relay(on).agent
	a.SetSilent(true)
	sleep(ctx, s.For.Duration)
	a.SetSilent(false)
	return nil
}

func doDown(ctx context.Context, h *Harness, s Step, on string) error {
	for _, k := range h.linksTo(on) {
		k.Change(func(f *fault.Faults) { f.Refuse = true })
		k.Reset()
	}
	sleep(ctx, s.For.Duration)
	h.environment.Endpoint(on).StartCold()
	for _, k := range h.linksTo(on) {
		k.Change(func(f *fault.Faults) { f.Refuse = false })
	}
	return nil
}

func doVanish(ctx context.Context, h *Harness, s Step, on string) error {
	for _, k := range h.linksTo(on) {
		k.Change(func(f *fault.Faults) { f.To.Cut, f.From.Cut = true, true })
	}
	sleep(ctx, s.For.Duration)
	h.environment.Endpoint(on).StartCold()
	for _, k := range h.linksTo(on) {
		k.Reset() // the machine has lost the state of its connections
		k.Change(func(f *fault.Faults) { f.To.Cut, f.From.Cut = false, false })
	}
	return nil
}

func modeAction(edit func(m *stand.Mode, s Step, on bool)) func(context.Context, *Harness, Step, string) error {
	return func(ctx context.Context, h *Harness, s Step, on string) error {
		e := h.environment.Endpoint(on)
		e.Set(func(m *stand.Mode) { edit(m, s, true) })
		sleep(ctx, s.For.Duration)
		e.Set(func(m *stand.Mode) { edit(m, s, false) })
		return nil
	}
}

func doShut(ctx context.Context, h *Harness, s Step, on string) error {
	e := h.environment.Endpoint(on)
	until := time.Now().Add(s.For.Duration)
	e.Set(func(m *stand.Mode) { m.UnavailableUntil = until })
	sleepUntil(ctx, until)
	e.StartCold()
	return nil
}

func doLower(ctx context.Context, h *Harness, s Step, on string) error {
	e := h.environment.Endpoint(on)
	e.LowerLimit(s.Size)
	sleep(ctx, s.For.Duration)
	e.LowerLimit(1)
	return nil
}

func doDrain(ctx context.Context, h *Harness, s Step, on string) error {
	if h.listService != nil {
		if err := h.changeEndpointState(ctx, on, "draining"); err != nil || !sleep(ctx, s.For.Duration) {
			return err
		}
		return h.changeEndpointState(ctx, on, "gone")
	}
	h.announceState(on, "draining")
	if sleep(ctx, s.For.Duration) {
		h.announceState(on, "gone")
	}
	return nil
}

func linkAction(edit func(f *fault.Faults, s Step)) func(context.Context, *Harness, Step, string) error {
	return func(ctx context.Context, h *Harness, s Step, on string) error {
		k := h.links[on]
		previous := k.Faults()
		k.Change(func(f *fault.Faults) { edit(f, s) })
		sleep(ctx, s.For.Duration)
		k.Set(previous)
		return nil
	}
}
