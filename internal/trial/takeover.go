package trial

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"wallflow/internal/trial/history"
)

// Hurts are what can go wrong with a take-over: who is hurt, how, and at which step of it. Empty: nothing.
var Hurts = []string{
	"", "kill new at start", "kill new at hand-over", "kill new after", "freeze new at start", "freeze new at hand-over", "freeze new after",
	"kill old at hand-over", "kill old after", "freeze old at hand-over",
}

const (
	soonAfter = 20 * time.Millisecond // a step of the take-over that leaves no line in a log
	handsFor  = time.Second           // the elder goes on as hands before it is told to end
)

// hurt is one of Hurts taken apart.
type hurt struct {
	freeze, old bool
	at          string // start, hand-over, after; empty: never
}

var hurts = map[string]hurt{
	"":                        {},
	"kill new at start":       {at: "start"},
	"kill new at hand-over":   {at: "hand-over"},
	"kill new after":          {at: "after"},
	"freeze new at start":     {freeze: true, at: "start"},
	"freeze new at hand-over": {freeze: true, at: "hand-over"},
	"freeze new after":        {freeze: true, at: "after"},
	"kill old at hand-over":   {old: true, at: "hand-over"},
	"kill old after":          {old: true, at: "after"},
	"freeze old at hand-over": {freeze: true, old: true, at: "hand-over"},
}

// doSucceed starts a successor beside a relay, hurts one of the two at the stated step, and leaves the relay with one
// process that serves.
func doSucceed(ctx context.Context, g *Ground, s Step, on string) error {
	r := g.relay(on)
	old := r.now()
	if old == nil || !old.Running() {
		return fmt.Errorf("%s does not run", on)
	}
	handed := old.says("handed over")
	h := hurts[s.Note]
	successor, err := r.spawn(history.Successor)
	if err != nil {
		return err
	}
	took := successor.says("took over")
	victim := successor
	if h.old {
		victim = old
	}
	reached := true
	switch h.at {
	case "start":
		sleep(ctx, soonAfter)
	case "hand-over":
		reached = await(ctx, handed)
	case "after":
		reached = await(ctx, took)
		sleep(ctx, soonAfter)
	}
	switch {
	case h.at == "" || !reached:
	case h.freeze:
		if err := r.signal(victim, syscall.SIGSTOP, history.Stop); err != nil {
			return err
		}
		sleep(ctx, s.For.Duration)
		if err := r.signal(victim, syscall.SIGCONT, history.Cont); err != nil {
			return err
		}
	default:
		if err := r.signal(victim, syscall.SIGKILL, history.Kill); err != nil {
			return err
		}
		<-victim.Done()
	}
	if err := r.back(ctx); err != nil {
		return err
	}
	// Whichever serves is the relay now; the other one is told to end, once it has been hands for a while.
	sleep(ctx, min(handsFor, s.For.Duration))
	if successor.Running() && old.Running() {
		leaver, sig, note := old, syscall.SIGTERM, history.Term
		if answer, err := ask(successor.mgmt, "status"); err != nil || answer != "YES" {
			leaver, sig, note = successor, syscall.SIGKILL, history.Kill // it did not come to serve
		}
		if err := r.signal(leaver, sig, note); err != nil {
			return err
		}
		select {
		case <-leaver.Done():
		case <-time.After(endsIn):
			leaver.End()
		}
	}
	return r.back(ctx)
}

// await tells whether a step was reached in time.
func await(ctx context.Context, step <-chan struct{}) bool {
	select {
	case <-step:
		return true
	case <-ctx.Done():
	case <-time.After(successorIn):
	}
	return false
}
