package accord

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"wallflow/internal/invariant"
)

// Process identifies a relay process on the agent's machine. The start time tells it from a later process with the same id.
type Process struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // clock ticks since boot
}

// Ledger is an agent's persistent state of the policy protocol. Its owner must write each modification to disk before it reports
// or acts on it, with one exception: the outcome of a change may be lost, since the service repeats it. Ledger itself uses
// neither a clock nor a disk.
type Ledger struct {
	ID       string    `json:"id"`              // generated with the data folder
	Boot     int64     `json:"boot"`            // number of agent starts with this data folder
	Epoch    string    `json:"epoch,omitempty"` // cluster of the service from which the last update came
	Known    bool      `json:"known"`           // InForce is known
	InForce  Policy    `json:"in_force"`
	HoldMS   int64     `json:"hold_ms,omitempty"`
	Begun    bool      `json:"begun"`              // the policy in force has begun
	Decided  int64     `json:"decided,omitempty"`  // highest number whose change has ended
	Staged   *Change   `json:"staged,omitempty"`   // change whose document is stored
	Promised int64     `json:"promised,omitempty"` // number of the change that the agent has promised
	Admitted []Process `json:"admitted,omitempty"` // relay processes that may be accepting messages
	Left     bool      `json:"left,omitempty"`     // it announced its leave: no process is admitted before the next update from the service

	beginAt   time.Time                 // when the policy in force begins
	armed     bool                      // the change in flight is in phase Armed
	statuses  map[Process]ProcessStatus // last status of each relay process
	endReason string                    // why this session has ended; empty while it has not
}

// ProcessStatus is the status that a relay process reports to its agent.
type ProcessStatus struct {
	Process
	Can      int64  `json:"can,omitempty"`      // number of the change that it has read and can apply
	Cannot   int64  `json:"cannot,omitempty"`   // number of the change that it cannot apply
	Why      string `json:"why,omitempty"`      // reason of Cannot
	Promised int64  `json:"promised,omitempty"` // number of the change that it has promised
	Follows  int64  `json:"follows"`            // policy under which it accepts messages; -1: none yet
	Halted   bool   `json:"halted,omitempty"`   // it has stopped accepting messages
}

// ProcessReply is the agent's reply to a relay process.
type ProcessReply struct {
	Admitted  bool    `json:"admitted"`              // it may accept messages
	Why       string  `json:"why,omitempty"`         // why it is not admitted
	Policy    Policy  `json:"policy"`                // the policy in force
	BeginInMS int64   `json:"begin_in_ms,omitempty"` // time until Policy begins
	Change    *Change `json:"change,omitempty"`      // change to read, and to promise if it is armed
	Decided   int64   `json:"decided,omitempty"`     // highest number whose change has ended
	Halt      bool    `json:"halt,omitempty"`        // it must stop accepting messages for good
}

// ServiceUpdate is the service's answer to an agent's report. ReceivedAt is the arrival time, which is later than the time at which
// the answer was made, so counting BeginIn from it is safe.
type ServiceUpdate struct {
	Epoch      string
	InForce    Policy
	BeginIn    time.Duration
	HoldMS     int64
	Change     *Change
	Decided    int64
	ReceivedAt time.Time
}

// maxProcessStatuses limits the processes whose status is kept. Admitting a process discards those of processes not admitted.
const maxProcessStatuses = 256

// ErrInvalidUpdate is returned for an update that contradicts the ledger or is incomplete.
var ErrInvalidUpdate = errors.New("invalid answer from the service")

// Clone returns an independent copy.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.Admitted = slices.Clone(l.Admitted)
	if l.Staged != nil {
		staged := *l.Staged
		c.Staged = &staged
	}
	if c.statuses = maps.Clone(l.statuses); c.statuses == nil {
		c.statuses = map[Process]ProcessStatus{}
	}
	return &c
}

// Start prepares a loaded ledger for another run of the agent. The time at which a policy begins is not stored: one that had not
// begun now begins after its full hold time, when every relay must have stopped under the previous policy.
func (l *Ledger) Start(now time.Time) {
	l.Boot++
	l.statuses, l.armed = map[Process]ProcessStatus{}, false
	if l.beginAt = now; !l.Begun {
		l.beginAt = now.Add(time.Duration(l.HoldMS) * time.Millisecond)
	}
}

// ApplyUpdate applies an answer from the service.
func (l *Ledger) ApplyUpdate(update ServiceUpdate) error {
	if update.Epoch == "" || update.InForce.Number < 0 {
		return fmt.Errorf("%w: epoch %q, number %d in force", ErrInvalidUpdate, update.Epoch, update.InForce.Number)
	}
	if l.Epoch != update.Epoch {
		// A different cluster: it does not rely on promises made to the previous one.
		l.Epoch, l.Staged, l.Promised, l.armed, l.Decided = update.Epoch, nil, 0, false, 0
		for p, s := range l.statuses {
			s.Can, s.Cannot, s.Promised = 0, 0, 0
			l.statuses[p] = s
		}
	}
	l.Left = false
	beginAt := update.ReceivedAt.Add(update.BeginIn)
	switch {
	case !l.Known || update.InForce.Number > l.InForce.Number:
		if update.InForce.Number > 0 && len(update.InForce.Document) == 0 {
			if l.Staged == nil || l.Staged.Number != update.InForce.Number {
				return fmt.Errorf("%w: number %d is in force, and its document is missing", ErrInvalidUpdate, update.InForce.Number)
			}
			update.InForce.Document = l.Staged.Document
		}
		invariant.Holds(invariant.NumbersRise, !l.Known || update.InForce.Number > l.InForce.Number, l.InForce.Number, update.InForce.Number)
		l.Known, l.InForce, l.HoldMS, l.beginAt, l.Begun = true, update.InForce, update.HoldMS, beginAt, update.BeginIn <= 0
	case update.InForce.Number == l.InForce.Number && !l.Begun && beginAt.Before(l.beginAt):
		l.beginAt = beginAt
	}
	l.Decided = max(l.Decided, update.Decided)
	if s := l.Staged; s != nil && (s.Number <= l.InForce.Number || s.Number <= update.Decided) {
		l.Staged, l.armed = nil, false
	}
	if l.Promised > 0 && (l.Promised <= l.InForce.Number || l.Promised <= update.Decided) {
		l.Promised = 0
	}
	if c := update.Change; c != nil && c.Number > l.InForce.Number && c.Number > l.Decided {
		if l.Staged == nil || l.Staged.Number != c.Number {
			if len(c.Document) == 0 {
				return fmt.Errorf("%w: change %d has no document", ErrInvalidUpdate, c.Number)
			}
			if _, err := ParseDocument(c.Document); err != nil {
				// This build cannot parse the document, so the agent refuses without asking its relay. The reason is stored in Key.
				l.Staged, l.armed = &Change{Policy: Policy{Number: c.Number}, Phase: Proposed}, false
				l.Staged.Key = "cannot: " + err.Error()
				return nil
			}
			staged := *c
			l.Staged = &staged
		}
		l.armed = c.Phase == Armed
	} else if c == nil {
		l.armed = false
	}
	return nil
}

// RecordStatus stores the status of a relay process. It reports whether the status is new.
func (l *Ledger) RecordStatus(s ProcessStatus) bool {
	_, known := l.statuses[s.Process]
	if l.statuses[s.Process] == s || !known && len(l.statuses) >= maxProcessStatuses {
		return false
	}
	l.statuses[s.Process] = s
	return true
}

// Equivalent reports whether two ledgers give the same answers to the service and to relay processes.
func (l *Ledger) Equivalent(o *Ledger) bool {
	same := func(a, b *Change) bool { return a == b || a != nil && b != nil && a.Number == b.Number }
	return l.Epoch == o.Epoch && l.Known == o.Known && l.InForce.Number == o.InForce.Number &&
		l.beginAt.Equal(o.beginAt) && l.Begun == o.Begun && l.Decided == o.Decided &&
		same(l.Staged, o.Staged) && l.Promised == o.Promised && l.Left == o.Left &&
		l.armed == o.armed && l.endReason == o.endReason && maps.Equal(l.statuses, o.statuses)
}

// runningAdmitted returns the admitted processes that are still running.
func (l *Ledger) runningAdmitted(isRunning func(Process) bool) (all []Process) {
	for _, p := range l.Admitted {
		if isRunning(p) {
			all = append(all, p)
		}
	}
	return all
}

// TryPromise promises the change in flight if the change is armed and every process that may be accepting messages has promised it.
// If no process runs, the agent can promise alone, since no process accepts messages before the agent admits it. It reports
// whether a promise was made by this call.
func (l *Ledger) TryPromise(isRunning func(Process) bool) bool {
	if l.Staged == nil || !l.armed || l.Promised != 0 || l.refusalReason() != "" {
		return false
	}
	for _, p := range l.runningAdmitted(isRunning) {
		if l.statuses[p].Promised != l.Staged.Number {
			return false
		}
	}
	l.Promised = l.Staged.Number
	return true
}

// refusalReason returns why this build cannot parse the staged document; empty if it can. The reason is in Key, without a document.
func (l *Ledger) refusalReason() string {
	if l.Staged == nil || len(l.Staged.Document) > 0 {
		return ""
	}
	return l.Staged.Key
}

// SessionReport returns the report that the agent sends to the service.
func (l *Ledger) SessionReport(name, zone, build string, isRunning func(Process) bool) Session {
	r := Session{ID: l.ID, Name: name, Zone: zone, Build: build, Boot: l.Boot,
		KnownPolicy: l.InForce.Number, ActivePolicy: l.InForce.Number, Promised: l.Promised}
	if !l.Known {
		r.ActivePolicy = 0
	}
	all := l.runningAdmitted(isRunning)
	r.Relay = len(all) > 0
	for _, p := range all {
		if f := l.statuses[p].Follows; f >= 0 {
			r.ActivePolicy = min(r.ActivePolicy, f)
		}
	}
	if l.Staged == nil {
		return r
	}
	r.Staged = l.Staged.Number
	if why := l.refusalReason(); why != "" {
		r.Staged, r.Refused, r.Why = 0, l.Staged.Number, why
	}
	for _, p := range all {
		switch s := l.statuses[p]; {
		case s.Cannot == l.Staged.Number:
			r.Staged, r.Refused, r.Why = 0, l.Staged.Number, s.Why
		case s.Can != l.Staged.Number:
			r.Staged = 0
		}
	}
	return r
}

// Admit allows a process to accept messages if nothing forbids it. It reports whether the process was newly admitted.
func (l *Ledger) Admit(p Process, now time.Time, isRunning func(Process) bool) bool {
	if slices.Contains(l.Admitted, p) || l.blockReason(now) != "" {
		return false
	}
	invariant.Holds(invariant.AdmittedInTheClear, l.Promised == 0 && !now.Before(l.beginAt), l.Promised, l.beginAt, now)
	l.Admitted = append(l.runningAdmitted(isRunning), p)
	for q := range l.statuses {
		if q != p && !slices.Contains(l.Admitted, q) {
			delete(l.statuses, q)
		}
	}
	return true
}

// blockReason returns why no process can be admitted now; empty if one can be.
func (l *Ledger) blockReason(now time.Time) string {
	switch {
	case l.endReason != "":
		return l.endReason
	case !l.Known || l.Left:
		return "it is not known yet which policy is in force"
	case l.Promised > 0:
		return fmt.Sprintf("change %d was promised, and it is not known what came of it", l.Promised)
	case now.Before(l.beginAt):
		return fmt.Sprintf("policy %d begins in %v", l.InForce.Number, l.beginAt.Sub(now))
	}
	return ""
}

// MarkBegun records that the policy in force has begun. It reports whether that is new.
func (l *Ledger) MarkBegun(now time.Time) bool {
	if l.Known && !l.Begun && !now.Before(l.beginAt) {
		l.Begun = true
		return true
	}
	return false
}

// PendingBegin returns when the policy in force begins; ok is false if it has begun.
func (l *Ledger) PendingBegin() (at time.Time, ok bool) { return l.beginAt, l.Known && !l.Begun }

// ReplyTo returns the reply for a relay process.
func (l *Ledger) ReplyTo(p Process, now time.Time) ProcessReply {
	reply := ProcessReply{Admitted: slices.Contains(l.Admitted, p), Policy: l.InForce, Decided: l.Decided}
	if !reply.Admitted {
		reply.Why = l.blockReason(now)
	}
	if l.endReason != "" {
		reply.Admitted, reply.Halt, reply.Why = false, true, l.endReason
		return reply
	}
	if remaining := l.beginAt.Sub(now); remaining > 0 {
		reply.BeginInMS = (remaining + time.Millisecond - 1).Milliseconds()
	}
	if reply.Admitted && l.Staged != nil && l.refusalReason() == "" {
		c := *l.Staged
		if c.Phase = Proposed; l.armed {
			c.Phase = Armed
		}
		reply.Change = &c
	}
	return reply
}

// EndSession ends the session: no process is admitted, and admitted ones must stop.
func (l *Ledger) EndSession(why string) { l.endReason = why }

// EndReason returns why the session has ended; empty if it has not.
func (l *Ledger) EndReason() string { return l.endReason }

// AllStopped reports whether no process accepts messages any more.
func (l *Ledger) AllStopped(isRunning func(Process) bool) bool {
	for _, p := range l.runningAdmitted(isRunning) {
		if !l.statuses[p].Halted {
			return false
		}
	}
	return true
}

// TryLeave records that the agent leaves the fleet. It returns false while a promise is open or a relay process may be accepting
// messages.
func (l *Ledger) TryLeave(isRunning func(Process) bool) bool {
	if !l.AllStopped(isRunning) || l.Promised > 0 {
		return false
	}
	l.Left, l.Admitted = true, nil
	return true
}
