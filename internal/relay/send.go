package relay

// This file carries out the actions that the decision module returns: it writes attempts to the write-ahead log, starts
// calls, answers clients and queues notices.

import (
	"net/http"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// applyActions carries out the decision module's actions: first in the log, with one write, then on the sockets. accepted
// are the messages accepted in this step, whose clients wait for an answer.
func (r *Relay) applyActions(actions []policy.Action, accepted []*submission) {
	answers := make(map[uint32]answer, len(accepted))
	for _, sub := range accepted {
		answers[sub.msg.ID] = answer{status: http.StatusAccepted, policyNumber: sub.msg.Policy}
	}
	var calls []*call
	var ended []*message
	for _, a := range actions {
		m := r.msgs[a.ID]
		switch a.Kind {
		case policy.Send:
			calls = r.addToCall(calls, m, a)
		case policy.Refuse, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.markEnded(m)
			if a.Kind == policy.Refuse {
				m.count(refused)
			} else {
				m.count(failed)
			}
			if _, ok := answers[a.ID]; ok {
				answers[a.ID] = answer{status: http.StatusServiceUnavailable, retryAfter: a.Delay}
				if a.Kind == policy.Fail {
					answers[a.ID] = answer{status: http.StatusInternalServerError}
				}
				r.wal.RecordEnd(m.Message)
				r.forgetIfFinished(m)
				continue
			}
			r.wal.RecordFinal(m.Message, wal.Final{Deferred: a.Kind == policy.Refuse, Again: a.Delay})
			ended = append(ended, m)
		case policy.Wake:
			r.wakeAt = time.Now().Add(a.Delay) // the module has one wake time; a new one replaces it
		case policy.SetListener:
			r.applyListenerState(a.Listener)
		case policy.CloseIdle:
			r.hosts.closeIdle(r.routes[a.Route].addr)
		}
	}
	if err := r.recordCalls(calls); err != nil {
		r.log.Warn("write-ahead log not written", "calls", len(calls), "err", err)
		// An attempt that is not in the log must not be sent: after a restart it would be sent again.
		r.failUnrecorded(calls)
		calls = nil
	}
	for _, sub := range accepted {
		sub.reply <- answers[sub.msg.ID]
	}
	for _, m := range ended {
		r.queueNotice(m)
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// addToCall adds an attempt to a call. Attempts of one step to the same route share a call, up to the number of messages
// that the route's kind allows.
func (r *Relay) addToCall(calls []*call, m *message, a policy.Action) []*call {
	host := r.routes[a.Route]
	maxAttempts := 1
	if host.Kind >= 0 && host.Kind < len(r.cfg.Settings.Kinds) {
		maxAttempts = max(1, r.cfg.Settings.Kinds[host.Kind].PerCall)
	}
	var c *call
	size := maxItemSize(m)
	for _, other := range calls {
		// A host rejects a larger body: small messages must not be bundled with one that makes the body too large.
		if other.route == a.Route && len(other.attempts) < maxAttempts && other.size+size <= maxBodyBytes {
			c = other
		}
	}
	if c == nil {
		c = &call{route: a.Route, addr: host.addr, zone: host.Zone, sentAt: time.Now()}
		calls = append(calls, c)
	}
	deadline := r.clockZero.Add(a.TimeoutAt)
	c.size += size
	if writeBy := r.clockZero.Add(a.LeaveBy); a.LeaveBy > 0 && (c.writeBy.IsZero() || writeBy.Before(c.writeBy)) {
		c.writeBy = writeBy
	}
	c.attempts = append(c.attempts, &attempt{call: c, msg: m, number: m.sends, deadline: deadline})
	m.sends++
	m.inFlight++
	m.attempted = true
	if len(c.attempts) == 1 || deadline.After(c.deadline) == r.cfg.MayDuplicate {
		c.deadline = deadline // the latest deadline if attempts of a message may overlap, else the earliest
	}
	return calls
}

// recordCalls writes the attempts of calls to the log, with everything else that this step has noted. Calls that need a
// new connection are recorded later, once it is established: if the process is killed before that, their messages have
// certainly not run.
func (r *Relay) recordCalls(calls []*call) error {
	var attempts []*attempt
	for _, c := range calls {
		if r.hosts.hasIdle(c.addr) {
			attempts = append(attempts, c.attempts...)
		}
	}
	return r.recordAttempts(attempts)
}

// recordAttempts writes the attempts that are not in the log yet, with everything else that was noted.
func (r *Relay) recordAttempts(attempts []*attempt) error {
	var sends []wal.Send
	for _, a := range attempts {
		if !a.recorded {
			sends = append(sends, wal.Send{
				Message: a.msg.Message, Attempt: wal.Attempt{N: a.number, Host: a.route, Zone: a.zone, At: a.sentAt},
			})
		}
	}
	if len(sends) == 0 {
		return r.wal.Flush()
	}
	if err := r.wal.RecordSends(sends...); err != nil {
		return err
	}
	for _, a := range attempts {
		a.recorded = true
	}
	return nil
}

// failUnrecorded ends calls that could not be written to the log, with the outcome of a failed connect.
func (r *Relay) failUnrecorded(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, result{outcome: policy.ConnectFailed})
		}
	}
	// The decision module receives the outcomes in a step of their own. wakeAt is not used for that, because it would
	// replace the wake time that the module asked for.
	time.AfterFunc(r.cfg.Tick, func() { r.post(stepRequest{}) })
}

// startCall makes a call in a goroutine of its own and posts its end to the loop. An attempt whose deadline is earlier
// than that of its call gets its own timer.
func (r *Relay) startCall(c *call) {
	r.callsInFlight++
	r.lastCallID++
	c.id = r.lastCallID
	r.liveCalls[c] = struct{}{}
	for _, a := range c.attempts {
		if a.deadline.Before(c.deadline) {
			a.timer = time.AfterFunc(time.Until(a.deadline), func() { r.post(attemptTimeout{a}) })
		}
	}
	r.runningCalls.Add(1)
	go func() {
		defer r.runningCalls.Done()
		results := r.hosts.makeCall(r.callCtx, c, r.requestClearance)
		r.post(&callEnd{c, results})
	}()
}

// requestClearance asks the loop which attempts of a call that was held up may still be sent.
func (r *Relay) requestClearance(c *call) []*attempt {
	reply := make(chan []*attempt, 1)
	if !r.post(clearanceRequest{c, reply}) {
		return nil
	}
	select {
	case cleared := <-reply:
		return cleared
	case <-r.loopDone:
		return nil
	}
}

// clearAttempts returns the attempts of a call that may still be sent, and records them in the log. The decision module
// is asked for each message, since messages differ in their terms and in their earlier attempts.
func (r *Relay) clearAttempts(c *call) []*attempt {
	var cleared []*attempt
	for _, a := range c.attempts {
		if !r.sendsStopped && r.sender.MayStillSend(a.msg.ID, c.route, r.now()) {
			cleared = append(cleared, a)
		}
	}
	if err := r.recordAttempts(cleared); err != nil {
		r.log.Warn("write-ahead log not written", "calls", 1, "err", err)
		return nil
	}
	return cleared
}

// queueNotice queues the notice that tells the platform how an undelivered message ended.
func (r *Relay) queueNotice(m *message) {
	n := notice{messageID: m.ID, ID: m.Trace, Status: "undeliverable"}
	if m.Final.Deferred {
		n.Status, n.AgainMS = "deferred", m.Final.Again.Milliseconds()
	}
	r.notices.add(n)
}
