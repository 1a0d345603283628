// Package accord implements atomic policy changes for a fleet: a new policy takes effect at all relays or at none. It is a
// commit protocol in three phases, written as deterministic state machines without sockets, disk or clock. All list servers
// that apply the same log entries therefore hold the same State, and tests can explore every order of events.
//
// A change is proposed, and each agent stages (stores) its document. Once all agents have staged it, the change is armed and the
// agents are asked to promise it. Once all have promised, it is sealed (committed) and becomes the policy in force. Before the
// seal it can be dropped (aborted). An agent that promises makes its relay stop accepting messages under the old policy after the
// change's hold time, unless the outcome is known by then. The seal is a single log entry, and State.Apply rejects it while any
// session has not promised, so a stale leader cannot commit a change too early. See docs/together.md.
package accord

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"wallflow/internal/invariant"
)

// Phase is the progress of a change in flight.
type Phase string

// The phases of a change that is neither sealed nor dropped.
const (
	Proposed Phase = "proposed" // the agents are staging its document
	Armed    Phase = "armed"    // all agents have staged it and are asked to promise
)

// The states of a session.
const (
	Present   = "present"
	Lapsed    = "lapsed"    // the agent has been silent for longer than its lease; changes still wait for it
	Displaced = "displaced" // an agent with another data folder took its name; changes wait for it until it ends
)

// Limits of the state and of proposals.
const (
	maxSessions        = 20_000
	maxRetiredSessions = 4096
	minHoldMS          = 100
	maxHoldMS          = 60_000
	maxStagingMS       = 3_600_000
	maxOutcomes        = 64
)

// Errors of operations that were committed to the log and rejected when applied. Every server returns the same one.
var (
	ErrInFlight        = errors.New("another change is in flight")
	ErrNoChange        = errors.New("no change of that number is in flight")
	ErrSessionsMissing = errors.New("not all have agreed")
	ErrSessionEnded    = errors.New("this session is over")
	ErrStaleBoot       = errors.New("a later process has this session")
	ErrUnknown         = errors.New("no such session")
	ErrTooMany         = errors.New("too many sessions")
)

// Policy is a numbered policy document. Number 0 means that no policy is set: each relay uses its own configuration.
type Policy struct {
	Number   int64           `json:"number"`
	Hash     string          `json:"hash,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// Session is the fleet's record of one agent and the relay beside it. Its id is generated when the agent's data folder is created.
type Session struct {
	ID           string `json:"id"`
	Name         string `json:"name"`
	Zone         string `json:"zone,omitempty"`
	Build        string `json:"build,omitempty"`
	Boot         int64  `json:"boot"` // number of agent starts with this data folder
	State        string `json:"state"`
	Relay        bool   `json:"relay"`              // a relay runs beside the agent
	KnownPolicy  int64  `json:"knows"`              // number of the policy that the agent knows to be in force
	ActivePolicy int64  `json:"follows"`            // number of the policy that its relay applies to new messages; equals Knows without a relay
	Staged       int64  `json:"staged,omitempty"`   // number of the change whose document is on its disk
	Promised     int64  `json:"promised,omitempty"` // number of the change that it has promised
	Refused      int64  `json:"refused,omitempty"`  // number of the change that it cannot follow
	Why          string `json:"why,omitempty"`      // reason of Refused
}

// Change is a policy change in flight. Policy is the one that it proposes.
type Change struct {
	Policy
	Phase    Phase  `json:"phase"`
	Key      string `json:"key,omitempty"` // idempotency key of the proposal
	HoldMS   int64  `json:"hold_ms"`       // how long a relay that promised goes on under the old policy while the outcome is unknown
	WithinMS int64  `json:"within_ms"`     // time limit for all agents to stage the document
}

// Outcome is the result of a change that was sealed or dropped.
type Outcome struct {
	Number int64  `json:"number"`
	Key    string `json:"key,omitempty"`
	Hash   string `json:"hash"`
	Sealed bool   `json:"sealed"`
	Why    string `json:"why,omitempty"` // why it was dropped; empty if sealed
}

// State is the replicated state of the fleet: the policy in force, the change in flight and the sessions. Its methods are not safe
// for concurrent use.
type State struct {
	Epoch     string             `json:"epoch"` // id of the cluster in which this state was created
	Last      int64              `json:"last"`  // highest number assigned to a change
	InForce   Policy             `json:"in_force"`
	HoldMS    int64              `json:"hold_ms,omitempty"` // hold time of the change that brought InForce into force
	Change    *Change            `json:"change,omitempty"`
	Sessions  map[string]Session `json:"sessions"`
	Gone      map[string]string  `json:"gone"`      // ids of retired sessions, which are rejected, with the reason
	GoneOrder []string           `json:"gone_line"` // ids in Gone, the oldest first
	Outcomes  []Outcome          `json:"outcomes"`  // the latest ones, the oldest first
}

// New returns the state of a fleet that has no policy.
func New(epoch string) *State {
	return &State{Epoch: epoch, Sessions: map[string]Session{}, Gone: map[string]string{}}
}

// Clone returns a copy that later operations on s do not affect.
func (s *State) Clone() *State {
	c := *s
	c.Sessions, c.Gone = maps.Clone(s.Sessions), maps.Clone(s.Gone)
	c.GoneOrder, c.Outcomes = slices.Clone(s.GoneOrder), slices.Clone(s.Outcomes)
	if s.Change != nil {
		change := *s.Change
		c.Change = &change
	}
	return &c
}

// Op is one operation on the state. Exactly one of its fields is set.
type Op struct {
	Report  *Session `json:"report,omitempty"` // an agent's report about itself; its State field is ignored
	Leave   *Session `json:"leave,omitempty"`  // ID and Boot only: the relay stopped, and none starts before the service is reached
	Lapse   string   `json:"lapse,omitempty"`  // id of a session whose lease expired
	Retire  string   `json:"retire,omitempty"` // id of a session whose machine an operator declares permanently gone
	Propose *Propose `json:"propose,omitempty"`
	Arm     int64    `json:"arm,omitempty"`  // number of the change
	Seal    int64    `json:"seal,omitempty"` // number of the change
	Drop    *Drop    `json:"drop,omitempty"`
}

// Propose starts a change.
type Propose struct {
	Key      string          `json:"key"` // idempotency key: a repeated proposal returns the same change
	Document json.RawMessage `json:"document"`
	HoldMS   int64           `json:"hold_ms"`
	WithinMS int64           `json:"within_ms"`
}

// Drop aborts a change that is not sealed.
type Drop struct {
	Number int64  `json:"number"`
	Why    string `json:"why"`
}

// Apply executes an operation completely or not at all. It returns the number of the change concerned, or 0.
func (s *State) Apply(op Op) (number int64, err error) {
	switch {
	case op.Report != nil:
		return 0, s.applyReport(*op.Report)
	case op.Leave != nil:
		session, ok := s.Sessions[op.Leave.ID]
		switch {
		case !ok:
			return 0, nil // already removed
		case session.Boot != op.Leave.Boot:
			return 0, ErrStaleBoot
		}
		s.removeSession(session.ID, "") // the agent may register again later
		return 0, nil
	case op.Lapse != "":
		if session, ok := s.Sessions[op.Lapse]; ok && session.State == Present {
			session.State = Lapsed
			s.Sessions[session.ID] = session
		}
		return 0, nil
	case op.Retire != "":
		if _, ok := s.Sessions[op.Retire]; !ok {
			return 0, fmt.Errorf("%w: %s", ErrUnknown, op.Retire)
		}
		s.removeSession(op.Retire, "retired by a person")
		return 0, nil
	case op.Propose != nil:
		return s.propose(*op.Propose)
	case op.Arm > 0:
		if err := s.requireChange(op.Arm, Proposed); err != nil {
			return 0, err
		}
		if missing := s.Missing(); len(missing) > 0 {
			return 0, fmt.Errorf("%w: %s has not staged it", ErrSessionsMissing, missing[0].Name)
		}
		s.Change.Phase = Armed
		return op.Arm, nil
	case op.Seal > 0:
		if err := s.requireChange(op.Seal, Armed); err != nil {
			return 0, err
		}
		if missing := s.Missing(); len(missing) > 0 {
			return 0, fmt.Errorf("%w: %s has not promised it", ErrSessionsMissing, missing[0].Name)
		}
		for _, session := range s.Sessions {
			invariant.Holds(invariant.SealedByAll, session.Promised == op.Seal, session.Name, session.Promised, op.Seal)
		}
		invariant.Holds(invariant.NumbersRise, s.Change.Number > s.InForce.Number, s.InForce.Number, s.Change.Number)
		s.InForce, s.HoldMS = s.Change.Policy, s.Change.HoldMS
		s.finishChange(Outcome{Sealed: true})
		return op.Seal, nil
	case op.Drop != nil:
		if s.Change == nil || s.Change.Number != op.Drop.Number {
			return 0, fmt.Errorf("%w: %d", ErrNoChange, op.Drop.Number)
		}
		s.finishChange(Outcome{Why: op.Drop.Why})
		return op.Drop.Number, nil
	}
	return 0, errors.New("an operation that says nothing")
}

// requireChange returns an error unless the change in flight has this number and phase.
func (s *State) requireChange(number int64, phase Phase) error {
	if s.Change == nil || s.Change.Number != number || s.Change.Phase != phase {
		return fmt.Errorf("%w (%s): %d", ErrNoChange, phase, number)
	}
	return nil
}

// finishChange records the outcome of the change in flight and clears it.
func (s *State) finishChange(outcome Outcome) {
	outcome.Number, outcome.Key, outcome.Hash = s.Change.Number, s.Change.Key, s.Change.Hash
	s.Outcomes = append(s.Outcomes, outcome)
	if excess := len(s.Outcomes) - maxOutcomes; excess > 0 {
		s.Outcomes = slices.Clone(s.Outcomes[excess:])
	}
	s.Change = nil
	for id, x := range s.Sessions { // reports about this change are void
		x.Staged, x.Promised, x.Refused, x.Why = 0, 0, 0, ""
		s.Sessions[id] = x
	}
}

// removeSession deletes a session. With a reason, its id is rejected from now on.
func (s *State) removeSession(id, reason string) {
	delete(s.Sessions, id)
	if reason == "" {
		return
	}
	s.Gone[id] = reason
	s.GoneOrder = append(s.GoneOrder, id)
	if excess := len(s.GoneOrder) - maxRetiredSessions; excess > 0 {
		for _, old := range s.GoneOrder[:excess] {
			delete(s.Gone, old)
		}
		s.GoneOrder = slices.Clone(s.GoneOrder[excess:])
	}
}

// applyReport creates or updates a session from its agent's report.
func (s *State) applyReport(r Session) error {
	if r.ID == "" || r.Name == "" || r.Boot <= 0 || len(r.ID) > maxNameBytes || len(r.Name) > maxNameBytes {
		return errors.New("a session needs id, name and boot")
	}
	if why, ok := s.Gone[r.ID]; ok {
		return fmt.Errorf("%w: %s", ErrSessionEnded, why)
	}
	previous, known := s.Sessions[r.ID]
	switch {
	case known && r.Boot < previous.Boot:
		return ErrStaleBoot
	case !known && len(s.Sessions) >= maxSessions:
		return fmt.Errorf("%w: at most are %d", ErrTooMany, maxSessions)
	}
	r.State = Present
	if previous.State == Displaced {
		r.State = Displaced
	}
	if !known { // the latest session keeps the name
		for id, x := range s.Sessions {
			if x.Name == r.Name && x.State != Displaced {
				x.State = Displaced
				s.Sessions[id] = x
			}
		}
	}
	// Only statements about the change in flight count, and an agent must know the policy in force before it stages or promises
	// the next one: otherwise its promise would cover two changes at once.
	number := int64(0)
	if s.Change != nil {
		number = s.Change.Number
	}
	if r.Staged != number || r.KnownPolicy < s.InForce.Number { // Knows is above InForce.Number after the cluster was created anew
		r.Staged = 0
	}
	if r.Promised != number || r.Staged == 0 || s.Change.Phase != Armed {
		r.Promised = 0
	}
	if r.Refused != number || number == 0 {
		r.Refused, r.Why = 0, ""
	}
	// A recorded promise cannot be withdrawn before the change ends: the relay's hold time is already running.
	if known && previous.Promised == number && number > 0 {
		r.Staged, r.Promised = number, number
	}
	if known && previous == r {
		return nil
	}
	s.Sessions[r.ID] = r
	return nil
}

// WouldChange reports whether applying the report would modify the state.
func (s *State) WouldChange(r Session) bool {
	previous, ok := s.Sessions[r.ID]
	if !ok {
		return true
	}
	c := &State{InForce: s.InForce, Change: s.Change, Sessions: map[string]Session{r.ID: previous}, Gone: s.Gone}
	return c.applyReport(r) != nil || c.Sessions[r.ID] != previous
}

func (s *State) propose(p Propose) (int64, error) {
	if p.Key != "" {
		if s.Change != nil && s.Change.Key == p.Key {
			return s.Change.Number, nil
		}
		for _, o := range s.Outcomes {
			if o.Key == p.Key {
				return o.Number, nil
			}
		}
	}
	switch {
	case s.Change != nil:
		return 0, fmt.Errorf("%w: number %d (%s)", ErrInFlight, s.Change.Number, s.Change.Phase)
	case p.HoldMS < minHoldMS || p.HoldMS > maxHoldMS:
		return 0, fieldErrorf("hold_ms", "%d, wanted is %d to %d", p.HoldMS, minHoldMS, maxHoldMS)
	case p.WithinMS < minHoldMS || p.WithinMS > maxStagingMS:
		return 0, fieldErrorf("within_ms", "%d, wanted is %d to %d", p.WithinMS, minHoldMS, maxStagingMS)
	}
	d, err := ParseDocument(p.Document)
	if err != nil {
		return 0, err
	}
	data, err := d.Canonical()
	if err != nil {
		return 0, err
	}
	// The number must exceed every number that an agent knows: a cluster that was created anew starts at 0, but its fleet does not.
	for _, x := range s.Sessions {
		s.Last = max(s.Last, x.KnownPolicy)
	}
	s.Last++
	s.Change = &Change{Policy: Policy{s.Last, Hash(data), data}, Phase: Proposed, Key: p.Key, HoldMS: p.HoldMS, WithinMS: p.WithinMS}
	return s.Last, nil
}

// Missing returns the sessions that the change in flight still waits for in its current phase, sorted by name. Silent sessions are
// included.
func (s *State) Missing() (all []Session) {
	if s.Change == nil {
		return nil
	}
	for _, x := range s.Sessions {
		if s.Change.Phase == Proposed && x.Staged != s.Change.Number || s.Change.Phase == Armed && x.Promised != s.Change.Number {
			all = append(all, x)
		}
	}
	sortByName(all)
	return all
}

// Refusal returns the first session by name that cannot follow the change in flight, if there is one.
func (s *State) Refusal() (Session, bool) {
	if s.Change == nil {
		return Session{}, false
	}
	for _, x := range s.SortedSessions() {
		if x.Refused == s.Change.Number {
			return x, true
		}
	}
	return Session{}, false
}

// SortedSessions returns the sessions sorted by name.
func (s *State) SortedSessions() []Session {
	all := slices.Collect(maps.Values(s.Sessions))
	sortByName(all)
	return all
}

func sortByName(all []Session) {
	slices.SortFunc(all, func(a, b Session) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
}

// Decided returns the highest number whose change has ended. A change at or below it has been sealed or dropped.
func (s *State) Decided() int64 {
	if s.Change != nil {
		return s.Change.Number - 1
	}
	return s.Last
}

// Check validates a state that was read from storage.
func (s *State) Check() error {
	switch {
	case s.Epoch == "":
		return errors.New("fleet: epoch: is missing")
	case s.InForce.Number < 0 || s.Last < s.InForce.Number:
		return fmt.Errorf("fleet: number %d is in force, and %d was the last", s.InForce.Number, s.Last)
	case s.Change != nil && (s.Change.Number != s.Last || s.Change.Number <= s.InForce.Number):
		return fmt.Errorf("fleet: number %d is in flight, %d in force, %d the last", s.Change.Number, s.InForce.Number, s.Last)
	}
	return nil
}
