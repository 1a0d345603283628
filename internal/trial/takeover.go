package trial

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"wallflow/internal/trial/history"
)

// TakeoverFaults names the faults injected into a takeover: the process affected, the signal, and the phase. Empty: no
// fault.
var TakeoverFaults = []string{
	"", "kill new at start", "kill new at hand-over", "kill new after", "freeze new at start", "freeze new at hand-over", "freeze new after",
	"kill old at hand-over", "kill old after", "freeze old at hand-over",
}

const (
	takeoverStepDelay    = 20 * time.Millisecond // delay to reach a phase that logs nothing
	predecessorDrainTime = time.Second           // how long the predecessor finishes its work before it is ended
)

// takeoverFault is the parsed form of an entry of TakeoverFaults.
type takeoverFault struct {
	freeze, old bool
	at          string // phase: start, hand-over or after; empty: no fault
}

var takeoverFaults = map[string]takeoverFault{
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

// doSucceed starts a successor of a relay, injects the fault of the step into one of the two processes, and leaves the
// relay with one serving process.
func doSucceed(ctx context.Context, h *Harness, s Step, on string) error {
	r := h.relay(on)
	old := r.currentProcess()
	if old == nil || !old.Running() {
		return fmt.Errorf("%s does not run", on)
	}
	handedOver := old.waitForLine("handed over")
	fault := takeoverFaults[s.Note]
	successor, err := r.startProcess(history.Successor)
	if err != nil {
		return err
	}
	tookOver := successor.waitForLine("took over")
	victim := successor
	if fault.old {
		victim = old
	}
	reached := true
	switch fault.at {
	case "start":
		sleep(ctx, takeoverStepDelay)
	case "hand-over":
		reached = awaitStep(ctx, handedOver)
	case "after":
		reached = awaitStep(ctx, tookOver)
		sleep(ctx, takeoverStepDelay)
	}
	switch {
	case fault.at == "" || !reached:
	case fault.freeze:
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
	if err := r.waitServing(ctx); err != nil {
		return err
	}
	// The process that does not serve is ended after some time in which it can finish its work.
	sleep(ctx, min(predecessorDrainTime, s.For.Duration))
	if successor.Running() && old.Running() {
		stopping, sig, note := old, syscall.SIGTERM, history.Term
		if answer, err := managementCall(successor.managementAddr, "status"); err != nil || answer != "YES" {
			stopping, sig, note = successor, syscall.SIGKILL, history.Kill // the successor never served
		}
		if err := r.signal(stopping, sig, note); err != nil {
			return err
		}
		select {
		case <-stopping.Done():
		case <-time.After(shutdownTimeout):
			stopping.End()
		}
	}
	return r.waitServing(ctx)
}

// awaitStep reports whether a step of the takeover was reached in time.
func awaitStep(ctx context.Context, step <-chan struct{}) bool {
	select {
	case <-step:
		return true
	case <-ctx.Done():
	case <-time.After(takeoverStepTimeout):
	}
	return false
}
