// Package check evaluates a recorded history against the invariants of the fleet. Its only input is the history: it uses
// no clock and no process, so the same history always has the same verdict.
package check

import (
	"cmp"
	"fmt"
	"slices"

	"wallflow/internal/trial/history"
)

// Names of the invariants, as they appear in reports. The comment of the method that checks an invariant defines it.
const (
	TakenIsEnded   = "taken-is-ended"
	NoSecondEffect = "no-second-effect"
	OwnEndpoints   = "own-endpoints"
	DrainKept      = "drain-kept"
	WaitHeeded     = "wait-heeded"
	MemoryFlat     = "memory-flat"
	DiskBound      = "disk-bound"
	NoLeak         = "no-leak"
	StaysUp        = "stays-up"

	// Invariants of the list servers; see list_service.go.
	AcknowledgedIsKept = "acknowledged-is-kept"
	VersionsRise       = "versions-rise"
	WatchIsWhole       = "watch-is-whole"
	NoticesPassOn      = "notices-pass-on"
	ListOutlives       = "list-outlives-service"

	// Invariants of the fleet policy; see policy.go.
	OnePolicy     = "one-policy"
	PolicySettles = "policy-settles"
)

// Names lists the invariants that apply to every history, in the order of reports.
var Names = []string{TakenIsEnded, NoSecondEffect, OwnEndpoints, DrainKept, WaitHeeded, MemoryFlat, DiskBound, NoLeak, StaysUp}

// AgentSuffix is appended to a relay's name to name the relay's own agent, where that agent is a real process.
const AgentSuffix = ".agent"

// ListNames lists the invariants that are checked if the history has events of list servers.
var ListNames = []string{AcknowledgedIsKept, VersionsRise, WatchIsWhole, NoticesPassOn, ListOutlives}

// PolicyNames lists the invariants that are checked if relays follow a fleet policy.
var PolicyNames = []string{OnePolicy, PolicySettles}

// Time limits of the protocol in microseconds, and allowances for resources.
const (
	ms              = 1000
	slack           = 50 * ms   // added to every time limit, for delays of sockets
	expiryGrace     = 300 * ms  // from a message's expiry until its end is overdue
	recoveryGrace   = 1500 * ms // from a relay's return until its notices are overdue
	drainGrace      = 250 * ms
	waitGrace       = 100 * ms // a call that starts so soon after the wait was received does not count
	memoryAllowance = 8 << 20  // bytes of growth allowed over the load, on top of a quarter
	leakAllowance   = 8        // additional open descriptors allowed over the load
	blockSize       = 512
)

// Violation is one observed breach of an invariant.
type Violation struct {
	Name   string `json:"name"`
	ID     string `json:"id"`   // of the message, relay, endpoint's entry or follower
	Text   string `json:"text"` // description of what was observed
	Excess int64  `json:"over"` // microseconds beyond the limit; 0 if the invariant is not about time
	Lines  []int  `json:"lines"`
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s (events %v)", v.Name, v.ID, v.Text, v.Lines)
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations []Violation    `json:"violations"`
	Judged     map[string]int `json:"judged"`  // number of cases checked, by invariant
	Excused    []Violation    `json:"excused"` // time limits exceeded by less than the harness itself was late: no evidence either way
}

// Held reports whether no invariant was violated.
func (v *Verdict) Held() bool { return len(v.Violations) == 0 }

// Violated reports whether the named invariant was violated.
func (v *Verdict) Violated(name string) bool {
	return slices.ContainsFunc(v.Violations, func(x Violation) bool { return x.Name == name })
}

// checker holds a history, indexed by message, relay and kind of event. Events are referred to by their index.
type checker struct {
	rules      history.Rules
	events     []history.Event
	verdict    Verdict
	lags       []lag
	messages   map[string]*message
	messageIDs []string
	relays     map[string]*relay
	callEvents map[int][]int // events by call number: a call can carry several messages
	replies    map[callKey]int
	historyEnd int64 // time of the last event

	writes, listReads, followerStates, forwarded []int // events of the list servers
	policyOutcomes                               []int // events of the fleet policy
}

type callKey struct {
	number int
	id     string
}

// lag is a period during which the harness itself was late.
type lag struct{ from, to, duration int64 }

type message struct {
	submitted int // index of the submission; -1 if no client submitted it
	answers   []int
	calls     []int
	notices   []int
}

type relay struct {
	processEvents []int
	listUpdates   map[string][]int // by endpoint
	waits         []int            // answers with an advised wait that reached the relay
	calls         []int
	samples       []int
}

// Check evaluates a history.
func Check(rules history.Rules, events []history.Event) Verdict {
	chk := &checker{
		rules: rules, events: events, messages: map[string]*message{}, relays: map[string]*relay{}, callEvents: map[int][]int{},
		replies: map[callKey]int{},
	}
	chk.verdict.Judged = map[string]int{}
	for _, n := range Names {
		chk.verdict.Judged[n] = 0
	}
	chk.indexEvents()
	for _, id := range chk.messageIDs {
		m := chk.messages[id]
		chk.checkEnded(id, m)
		chk.checkSecondEffects(id, m)
		chk.checkEndpoints(id, m)
	}
	names := make([]string, 0, len(chk.relays))
	for n := range chk.relays {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		chk.checkDrains(n, chk.relays[n])
		chk.checkWaits(n, chk.relays[n])
		chk.checkResources(n, chk.relays[n])
		chk.checkStaysUp(n, chk.relays[n])
	}
	chk.checkList()
	chk.checkPolicy()
	return chk.verdict
}

// indexEvents makes one pass over the events and fills the indexes.
func (chk *checker) indexEvents() {
	for i, e := range chk.events {
		chk.historyEnd = e.At
		switch e.Kind {
		case history.Submit:
			chk.message(e.ID).submitted = i
		case history.Answer:
			m := chk.message(e.ID)
			m.answers = append(m.answers, i)
		case history.Call:
			m := chk.message(e.ID)
			m.calls = append(m.calls, i)
			r := chk.relay(e.Relay)
			r.calls = append(r.calls, i)
			chk.callEvents[e.Number] = append(chk.callEvents[e.Number], i)
		case history.Reply:
			chk.replies[callKey{e.Number, e.ID}] = i
		case history.ListWrite:
			chk.writes = append(chk.writes, i)
		case history.ListRead:
			chk.listReads = append(chk.listReads, i)
		case history.FollowerUpdate, history.FollowerFinal:
			chk.followerStates = append(chk.followerStates, i)
		case history.WaitDelivered:
			r := chk.relay(e.Relay)
			r.waits = append(r.waits, i)
		case history.PolicyOutcome:
			chk.policyOutcomes = append(chk.policyOutcomes, i)
		case history.NoticeForwarded:
			chk.forwarded = append(chk.forwarded, i)
		case history.Notice:
			m := chk.message(e.ID)
			m.notices = append(m.notices, i)
		case history.ListUpdate:
			r := chk.relay(e.Relay)
			r.listUpdates[e.Endpoint] = append(r.listUpdates[e.Endpoint], i)
		case history.ProcessState:
			r := chk.relay(e.Relay)
			r.processEvents = append(r.processEvents, i)
		case history.Sample:
			r := chk.relay(e.Relay)
			r.samples = append(r.samples, i)
		case history.Lag:
			chk.lags = append(chk.lags, lag{e.At - e.Duration, e.At, e.Duration})
		}
	}
}

func (chk *checker) message(id string) *message {
	m := chk.messages[id]
	if m == nil {
		m = &message{submitted: -1}
		chk.messages[id] = m
		chk.messageIDs = append(chk.messageIDs, id)
	}
	return m
}

func (chk *checker) relay(name string) *relay {
	r := chk.relays[name]
	if r == nil {
		r = &relay{listUpdates: map[string][]int{}}
		chk.relays[name] = r
	}
	return r
}

// addViolation records a violation. A time limit that was exceeded by no more than the harness itself was late between
// from and to is recorded as excused.
func (chk *checker) addViolation(v Violation, from, to int64) {
	if v.Excess > 0 {
		harnessDelay := int64(0)
		for _, l := range chk.lags {
			if l.to >= from && l.from <= to {
				harnessDelay += l.duration
			}
		}
		if v.Excess <= harnessDelay {
			chk.verdict.Excused = append(chk.verdict.Excused, v)
			return
		}
	}
	chk.verdict.Violations = append(chk.verdict.Violations, v)
}

func (chk *checker) countCase(name string) { chk.verdict.Judged[name]++ }

// neverRan reports whether the outcome of a call proves that the endpoint did not process the message.
func neverRan(outcome string) bool {
	switch outcome {
	case history.Refused, history.Deferred, history.Finished, history.AttemptsExhausted:
		return true
	}
	return false
}

// checkEnded verifies that a message that a relay has accepted ends exactly once: delivered, or by a notice.
func (chk *checker) checkEnded(id string, m *message) {
	if m.submitted < 0 {
		return
	}
	submission := chk.events[m.submitted]
	r := chk.relay(submission.Relay)
	accepted := -1
	for _, i := range m.answers {
		a := chk.events[i]
		if a.Status == 200 || a.Status == 202 {
			accepted = i
		}
		if a.Status == 0 && a.Note == "closed" {
			chk.countCase(TakenIsEnded)
			if !chk.disturbed(r, submission.At-4000*ms, a.At+4000*ms) {
				chk.addViolation(Violation{TakenIsEnded, id, "the relay ended its client's connection with no answer, and nobody had disturbed it", 0,
					[]int{m.submitted, i}}, 0, 0)
			}
		}
	}
	// A notice ends the message, so it must not be sent afterwards.
	if len(m.notices) > 0 {
		n := chk.events[m.notices[0]]
		for _, i := range m.calls {
			if c := chk.events[i]; c.Began > n.At+slack {
				chk.addViolation(Violation{TakenIsEnded, id, fmt.Sprintf("sent again %d ms after its notice %q", (c.Began-n.At)/ms, n.End),
					c.Began - n.At - slack,
					[]int{m.notices[0], i}}, n.At, c.Began)
			}
		}
		for _, i := range m.notices[1:] {
			if other := chk.events[i]; other.End != n.End {
				chk.addViolation(Violation{TakenIsEnded, id, fmt.Sprintf("noticed as %q and then as %q", n.End, other.End), 0,
					[]int{m.notices[0], i}}, 0, 0)
			}
		}
	}
	if accepted < 0 {
		return
	}
	chk.countCase(TakenIsEnded)
	endedAt, lastEvent := int64(-1), accepted
	for _, i := range m.calls {
		if k, ok := chk.replies[callKey{chk.events[i].Number, id}]; ok {
			lastEvent = k
			if e := chk.events[k]; e.Outcome == history.OK || e.Outcome == history.Finished {
				if endedAt < 0 || e.At < endedAt {
					endedAt = e.At
				}
			}
		}
	}
	if len(m.notices) > 0 {
		if at := chk.events[m.notices[0]].At; endedAt < 0 || at < endedAt {
			endedAt, lastEvent = at, m.notices[0]
		}
	}
	deadline := chk.deadline(r, submission, chk.events[accepted].At)
	switch {
	case endedAt >= 0 && endedAt <= deadline:
	case endedAt >= 0:
		chk.addViolation(Violation{TakenIsEnded, id, fmt.Sprintf("ended %d ms after it was due", (endedAt-deadline)/ms), endedAt - deadline,
			[]int{m.submitted, accepted, lastEvent}}, submission.At, endedAt)
	case chk.historyEnd <= deadline: // the history stops before the deadline, so there is no evidence
		chk.verdict.Judged[TakenIsEnded]--
	default:
		chk.addViolation(Violation{TakenIsEnded, id, "taken on, and neither delivered nor ended by a notice", 0,
			[]int{m.submitted, accepted, lastEvent}}, 0, 0)
	}
}

// deadline returns the latest time by which a message must have ended: a grace period after its expiry, but not before a
// relay that was down has been back for the recovery time that the protocol allows. A message that arrived while its
// relay was stopped is read when the relay continues, and the relay cannot know how long it was waiting; its time counts
// from there.
func (chk *checker) deadline(r *relay, submission history.Event, acceptedAt int64) int64 {
	deadline := chk.deadlineFor(r, submission, acceptedAt)
	// A real agent process that was down could not accept the relay's notices.
	if agent := chk.relays[submission.Relay+AgentSuffix]; agent != nil {
		deadline = max(deadline, chk.deadlineFor(agent, submission, acceptedAt))
	}
	return deadline
}

func (chk *checker) deadlineFor(r *relay, submission history.Event, acceptedAt int64) int64 {
	deadline := submission.At + submission.Expires + expiryGrace + slack
	for _, i := range r.processEvents {
		if e := chk.events[i]; e.Note == history.Cont && e.At > submission.At && e.At < acceptedAt {
			deadline = e.At + submission.Expires + expiryGrace + slack
		}
	}
	awaySince := int64(-1)
	for _, i := range r.processEvents {
		e := chk.events[i]
		switch e.Note {
		case history.Term, history.Kill, history.Stop, history.Ended:
			if awaySince < 0 && e.At <= deadline {
				awaySince = e.At
			}
		case history.Ready, history.Cont, history.TookOver:
			if awaySince >= 0 && e.At >= submission.At {
				deadline = max(deadline, e.At+recoveryGrace+slack)
			}
			awaySince = -1
		}
	}
	if awaySince >= 0 {
		deadline = max(deadline, chk.historyEnd) // it never came back
	}
	return deadline
}

// disturbed reports whether a signal, a restart or an exit concerned a relay's process between two times.
func (chk *checker) disturbed(r *relay, from, to int64) bool {
	for _, i := range r.processEvents {
		if e := chk.events[i]; e.At >= from && e.At <= to && e.Note != history.Ready {
			return true
		}
	}
	return false
}

// checkSecondEffects verifies that an unsafe message is never sent again once it may have run, and that a message with
// an idempotency key is sent again only within its deduplication group and window.
func (chk *checker) checkSecondEffects(id string, m *message) {
	if m.submitted < 0 || len(m.calls) == 0 {
		return
	}
	submission := chk.events[m.submitted]
	class, known := chk.rules.Classes[submission.Class]
	if !known {
		return
	}
	chk.countCase(NoSecondEffect)
	calls := slices.Clone(m.calls)
	slices.SortStableFunc(calls, func(a, b int) int { return cmp.Compare(chk.events[a].Sent, chk.events[b].Sent) })
	firstRun := -1 // the first call that may have processed the message
	for n, i := range calls {
		c := chk.events[i]
		for _, k := range calls[:n] {
			earlier := chk.events[k]
			e, replied := chk.replies[callKey{earlier.Number, id}]
			if !chk.rules.MayDuplicate && (!replied || chk.events[e].At > c.Began+slack) {
				lines, overlap := []int{k, i}, int64(0)
				if replied {
					lines, overlap = append(lines, e), chk.events[e].At-c.Began-slack
				}
				chk.addViolation(Violation{NoSecondEffect, id,
					fmt.Sprintf("sent to %s while its call to %s was still out", c.Endpoint, earlier.Endpoint), overlap,
					lines}, earlier.Sent, c.Sent+overlap)
			}
			if firstRun >= 0 || (replied && neverRan(chk.events[e].Outcome)) {
				continue
			}
			firstRun = k
		}
		if firstRun < 0 {
			continue
		}
		first := chk.events[firstRun]
		switch {
		case class.Unsafe:
			chk.addViolation(Violation{NoSecondEffect, id,
				fmt.Sprintf("of class %s, which may not be repeated; sent to %s again after it may have run at %s",
					submission.Class, c.Endpoint, first.Endpoint), 0, []int{firstRun, i}}, 0, 0)
		case !class.GroupAll && c.Zone != first.Zone:
			chk.addViolation(Violation{NoSecondEffect, id, fmt.Sprintf("may have run in %s and was sent again to %s, in %s", first.Zone,
				c.Endpoint, c.Zone),
				0, []int{firstRun, i}}, 0, 0)
		case c.Sent-first.Sent > class.Window+slack:
			chk.addViolation(Violation{NoSecondEffect, id, fmt.Sprintf("sent again %d ms after it may have run; repeats are dropped for %d ms",
				(c.Sent-first.Sent)/ms, class.Window/ms), c.Sent - first.Sent - class.Window - slack, []int{firstRun, i}}, first.Sent, c.Sent)
		}
	}
	if !class.Unsafe {
		return
	}
	// A client submits a deferred message again. If the message may have run, that is a second effect as well.
	for _, i := range m.notices {
		n := chk.events[i]
		if n.End != "deferred" {
			continue
		}
		for _, k := range calls {
			c := chk.events[k]
			e, replied := chk.replies[callKey{c.Number, id}]
			if c.Sent < n.At && (!replied || !neverRan(chk.events[e].Outcome)) {
				chk.addViolation(Violation{NoSecondEffect, id, "deferred, though it may have run at " + c.Endpoint + " and may not be repeated", 0,
					[]int{k, i}}, 0, 0)
				break
			}
		}
	}
}

// checkEndpoints verifies that a message is sent only to endpoints that the relay's list has named for its destination.
func (chk *checker) checkEndpoints(id string, m *message) {
	for _, i := range m.calls {
		c := chk.events[i]
		chk.countCase(OwnEndpoints)
		if m.submitted < 0 || chk.events[m.submitted].Relay != c.Relay {
			chk.addViolation(Violation{OwnEndpoints, id, "no client of " + c.Relay + " has handed it in, and " + c.Endpoint + " was sent it", 0,
				[]int{i}}, 0, 0)
			continue
		}
		if cell, ok := chk.rules.Cells[c.Endpoint]; !ok || cell != chk.events[m.submitted].Dest {
			chk.addViolation(Violation{OwnEndpoints, id, fmt.Sprintf("for destination %d, sent to %s, which is one of destination %d",
				chk.events[m.submitted].Dest, c.Endpoint, cell),
				0, []int{m.submitted, i}}, 0, 0)
			continue
		}
		updates := chk.relay(c.Relay).listUpdates[c.Endpoint]
		if len(updates) == 0 || chk.events[updates[0]].At > c.Sent {
			chk.addViolation(Violation{OwnEndpoints, id, fmt.Sprintf("sent to %s, which %s had not been told of", c.Endpoint, c.Relay), 0,
				[]int{i}}, 0, 0)
		}
	}
}

// checkDrains verifies that no call starts on an endpoint later than 250 ms after the relay was told that the endpoint
// drains or is gone.
func (chk *checker) checkDrains(name string, r *relay) {
	for _, i := range r.calls {
		c := chk.events[i]
		last := -1
		for _, k := range r.listUpdates[c.Endpoint] {
			if chk.events[k].At <= c.Began {
				last = k
			}
		}
		// If a drain is announced several times, the first announcement counts.
		if last < 0 || chk.events[last].State == "ready" {
			continue
		}
		for _, k := range slices.Backward(r.listUpdates[c.Endpoint]) {
			if k < last && chk.events[k].State == "ready" {
				break
			}
			if k <= last {
				last = k
			}
		}
		chk.countCase(DrainKept)
		update := chk.events[last]
		if excess := c.Began - update.At - drainGrace - slack; excess > 0 {
			chk.addViolation(Violation{DrainKept, c.ID, fmt.Sprintf("%s was told that %s is %s, and sent this %d ms later", name, c.Endpoint,
				update.State, (c.Began-update.At)/ms),
				excess, []int{last, i}}, update.At, c.Began)
		}
	}
	// Also count the drains after which the relay made no call.
	for _, all := range r.listUpdates {
		for _, k := range all {
			if chk.events[k].State != "ready" {
				chk.countCase(DrainKept)
			}
		}
	}
}

// checkWaits verifies that a relay that has received an advised wait sends nothing to the same rate limit until the wait
// has passed. A restart ends the wait.
func (chk *checker) checkWaits(name string, r *relay) {
	if len(r.waits) == 0 {
		return
	}
	callsByScope := map[string][]int{} // by rate limit: the endpoint's own or that of its destination
	scope := func(endpoint string) string {
		if chk.rules.Separate[endpoint] {
			return endpoint
		}
		return fmt.Sprint(chk.rules.Cells[endpoint])
	}
	for _, i := range r.calls {
		s := scope(chk.events[i].Endpoint)
		callsByScope[s] = append(callsByScope[s], i)
	}
	for _, w := range r.waits {
		answer := chk.events[w]
		answer.At -= answer.Duration
		until := answer.At + answer.Wait
		for _, i := range r.processEvents {
			if p := chk.events[i]; p.At > answer.At && p.At < until &&
				(p.Note == history.Kill || p.Note == history.Ended || p.Note == history.Term) {
				until = p.At
			}
		}
		chk.countCase(WaitHeeded)
		for _, i := range callsByScope[scope(answer.Endpoint)] {
			c := chk.events[i]
			if c.Sent > answer.At+waitGrace+slack && c.Sent < until-slack {
				chk.addViolation(Violation{WaitHeeded, c.ID, fmt.Sprintf("%s was told by %s to wait %d ms, and sent this to %s after %d ms", name,
					answer.Endpoint, answer.Wait/ms,
					c.Endpoint, (c.Sent-answer.At)/ms), min(until-slack-c.Sent, c.Sent-answer.At-waitGrace-slack), []int{w, i}}, answer.At, c.Sent)
			}
		}
	}
}

// checkResources verifies that a relay stays within the limits of its machine, and that after the load it holds about as
// much memory and as many descriptors as before it.
func (chk *checker) checkResources(name string, r *relay) {
	var before, after = -1, -1
	for _, i := range r.samples {
		e := chk.events[i]
		chk.countCase(DiskBound)
		if e.Disk > chk.rules.DiskLimit {
			chk.addViolation(Violation{DiskBound, name, fmt.Sprintf("%d bytes on disk, in whole blocks of %d; its limit is %d", e.Disk, blockSize,
				chk.rules.DiskLimit),
				0, []int{i}}, 0, 0)
		}
		if e.Memory > chk.rules.MemoryLimit {
			chk.addViolation(Violation{MemoryFlat, name, fmt.Sprintf("%d bytes of memory, its limit is %d", e.Memory, chk.rules.MemoryLimit), 0,
				[]int{i}}, 0, 0)
		}
		if e.Descriptors > chk.rules.Descriptors {
			chk.addViolation(Violation{NoLeak, name, fmt.Sprintf("%d descriptors, its limit is %d", e.Descriptors, chk.rules.Descriptors), 0,
				[]int{i}}, 0, 0)
		}
		switch e.Note {
		case "before":
			before = i
		case "after":
			after = i
		}
	}
	if before < 0 || after < 0 {
		return
	}
	b, a := chk.events[before], chk.events[after]
	chk.countCase(MemoryFlat)
	if a.Memory > b.Memory+b.Memory/4+memoryAllowance {
		chk.addViolation(Violation{MemoryFlat, name, fmt.Sprintf("%d bytes of memory before the load and %d after it", b.Memory, a.Memory), 0,
			[]int{before, after}}, 0, 0)
	}
	chk.countCase(NoLeak)
	if a.Descriptors > b.Descriptors+leakAllowance {
		chk.addViolation(Violation{NoLeak, name,
			fmt.Sprintf("%d descriptors before the load and %d after it, with its connections idle or closed",
				b.Descriptors, a.Descriptors), 0, []int{before, after}}, 0, 0)
	}
}

// checkStaysUp verifies that a process ends only after a signal from the harness, and with exit code 0 after SIGTERM.
// Without this check, a relay that crashes would be excused from finishing the messages that it held.
func (chk *checker) checkStaysUp(name string, r *relay) {
	signalled, excused := map[int]string{}, map[int]bool{}
	for _, i := range r.processEvents {
		e := chk.events[i]
		switch e.Note {
		case history.Kill:
			signalled[e.Incarnation] = e.Note
		case history.Term:
			if signalled[e.Incarnation] == "" {
				signalled[e.Incarnation] = e.Note
			}
		case history.PortTaken:
			excused[e.Incarnation] = true
		}
	}
	for _, i := range r.processEvents {
		e := chk.events[i]
		if e.Note != history.Ended || excused[e.Incarnation] {
			continue
		}
		chk.countCase(StaysUp)
		if signal := signalled[e.Incarnation]; signal == "" || (signal == history.Term && e.Status != 0) {
			chk.addViolation(Violation{StaysUp, name, fmt.Sprintf("its process %d ended by itself, code %d (%s); it was told %q", e.Incarnation,
				e.Status, e.State, signal), 0, []int{i}}, 0, 0)
		}
	}
}
