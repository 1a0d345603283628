package relay

// This file holds the loop. It gathers events, hands them to the decision module step by step, and ends once nothing is left.

import (
	"context"
	"time"

	"wallflow/policy"
)

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drain()
			return
		case e := <-r.events:
			batch = append(batch, e)
		case k := <-r.wishes:
			batch = append(batch, k)
		case <-timer.C:
		}
		if rest := r.cfg.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
	more:
		for len(batch) < batchMost {
			select {
			case e := <-r.events:
				batch = append(batch, e)
			default:
				break more
			}
		}
		last = time.Now()
		r.stepOrPass(batch)
		clear(batch)
		if !r.wakeAt.IsZero() {
			timer.Reset(time.Until(r.wakeAt))
		}
	}
}

// drain answers and notes what came before the end, without deciding anything more.
func (r *Relay) drain() {
	r.noSends = true
	for {
		select {
		case e := <-r.events:
			r.stepOrPass([]any{e})
		default:
			return
		}
	}
}

// stepOrPass is a step of the process that decides, or of one that is another's hands.
func (r *Relay) stepOrPass(batch []any) {
	if r.hands != nil {
		r.pass(batch)
		return
	}
	r.step(batch)
}

// step takes a batch of events to the module and carries out what it decides.
func (r *Relay) step(batch []any) {
	now := r.now()
	if !r.wakeAt.IsZero() && !time.Now().Before(r.wakeAt) {
		r.wakeAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.later...)
	r.later = r.later[:0]
	var asked []clearance
	var ins []*handIn
	var successor *handOver
	for _, e := range batch {
		switch e := e.(type) {
		case *handIn:
			ins = append(ins, e)
		case withdrawal:
			evs = r.clientLeft(evs, e.id)
		case *callEnd:
			evs = r.callEnded(evs, e)
		case cutOff:
			evs = r.attemptEnded(evs, e.a, result{outcome: policy.Timeout})
		case List:
			evs = append(evs, r.list(e))
		case clearance:
			asked = append(asked, e)
		case confirmed:
			for _, id := range e.ids {
				if m := r.msgs[id]; m != nil {
					r.wal.End(m.Message)
					r.retire(m)
				}
			}
		case linkFrame:
			evs, ins = r.fromElder(evs, ins, e.frame)
		case linkDown:
			evs = r.elderGone(evs)
		case *handOver:
			if successor != nil {
				successor.conn.Close()
				close(successor.done)
			}
			successor = e
		case look:
			r.looking = false
		case reconfigured:
			evs = append(evs, r.reconfigure(e.cfg)...)
		case policy.EventKind:
			evs = append(evs, policy.Event{Kind: e})
		}
	}
	evs = append(evs, r.turnPolicy()...)
	fresh := r.accept(ins)
	if !r.noSends {
		for _, in := range fresh {
			evs = append(evs, r.taken(r.msgs[in.m.ID]))
		}
		acts := r.sender.Step(now, evs)
		r.noteDoubts()
		r.carryOut(acts, fresh)
	} else {
		r.carryOut(nil, fresh)
	}
	for _, c := range asked {
		c.reply <- r.mayLeave(c.call)
	}
	r.figures.active.Store(int64(r.held))
	r.figures.poolSize.Store(int64(len(r.routes)))
	r.figures.poolEjected.Store(int64(r.sender.SkippedRoutes()))
	r.endIfIdle()
	if successor != nil {
		r.handRelayOver(successor)
	}
}

// endIfIdle tells Run where the module has ended the relay, or has closed its door and nothing is left to wait for.
func (r *Relay) endIfIdle() {
	does := r.does.Load()
	if r.idled || does.Listen && !does.Exit {
		return
	}
	done := len(r.msgs) == 0 || !does.Send && r.out == 0
	if r.hands != nil { // it stays for the other's sake until it is told to end
		done = r.ending.Load() && r.out == 0 && len(r.hands.pending) == 0
	}
	if does.Exit || done && r.entry.count() == 0 {
		r.idled = true
		close(r.idle)
		return
	}
	if !r.looking {
		r.looking = true
		time.AfterFunc(endingStep, func() { r.post(look{}) })
	}
}
