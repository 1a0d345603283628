package listsvc

import (
	"encoding/json"
	"time"

	"wallflow/internal/accord"
)

// applyFleet applies operations to the fleet's state, each independently of the others. The caller holds m.mu.
func (m *Machine) applyFleet(ops []accord.Op) []fleetOpResult {
	results := make([]fleetOpResult, len(ops))
	inForce := m.fleet.InForce.Number
	for i, o := range ops {
		previous := int64(0)
		if o.Report != nil {
			previous = m.fleet.Sessions[o.Report.ID].Promised
		}
		results[i].number, results[i].err = m.fleet.Apply(o)
		if o.Report != nil && m.fleet.Sessions[o.Report.ID].Promised != previous {
			m.lastPromise = m.now()
		}
		if m.fleet.InForce.Number != inForce {
			inForce = m.fleet.InForce.Number
			m.policyStart = m.lastPromise.Add(m.holdDuration())
		}
	}
	m.notifyFleetChanged()
	return results
}

// notifyFleetChanged wakes all that wait for a change of the fleet's state. The caller holds m.mu.
func (m *Machine) notifyFleetChanged() {
	m.fleetRevision++
	close(m.fleetChanged)
	m.fleetChanged = make(chan struct{})
}

// FleetView is a read-only copy of the fleet's state on a server, with the timing by the server's own clock.
type FleetView struct {
	*accord.State
	Revision      int64           // number of changes of the state on this server
	Changed       <-chan struct{} // closed at the next change
	PolicyStartIn time.Duration   // until requests may be accepted under the policy in force; 0 or less if they already may
}

// Fleet returns the fleet's state. ok is false if the cluster has not been founded yet.
func (m *Machine) Fleet() (v FleetView, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.fleet == nil {
		return v, false
	}
	return FleetView{State: m.fleet.Clone(), Revision: m.fleetRevision, Changed: m.fleetChanged, PolicyStartIn: m.policyStartIn()}, true
}

// policyStartIn returns the time until every relay has stopped accepting requests under the previous policy. Each relay stops
// one hold duration after its promise, and makes the promise before it is applied here. The time is counted on this
// server's clock alone, from when it applied the last promise, so it is never too short, whichever server led meanwhile.
// The caller holds m.mu.
func (m *Machine) policyStartIn() time.Duration { return m.policyStart.Sub(m.now()) }

// holdDuration returns the hold duration of the change that set the policy in force. The caller holds m.mu.
func (m *Machine) holdDuration() time.Duration {
	return time.Duration(m.fleet.HoldMS) * time.Millisecond
}

// SessionView is the part of the fleet's state that one agent needs.
type SessionView struct {
	Epoch         string
	Revision      int64           // as in FleetView
	Changed       <-chan struct{} // as in FleetView
	InForce       accord.Policy   // includes the document only if the agent has an older policy
	PolicyStartIn time.Duration
	HoldMS        int64          // hold duration of the change that set InForce
	Decided       int64          // all changes up to this number took effect or were dropped
	Change        *accord.Change // includes the document only if the agent has not staged it
	Session       accord.Session
	Known         bool   // whether the session exists
	RetireReason  string // why the session was removed, if it was
	Sessions      int    // number of sessions in the fleet
}

// SessionView returns the view for the agent of session r. ok is false if the cluster has not been founded yet.
func (m *Machine) SessionView(session accord.Session) (view SessionView, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.fleet == nil {
		return view, false
	}
	state := m.fleet
	view = SessionView{Epoch: state.Epoch, Revision: m.fleetRevision, Changed: m.fleetChanged, InForce: state.InForce, PolicyStartIn: m.policyStartIn(), HoldMS: state.HoldMS, Decided: state.Decided(), RetireReason: state.Gone[session.ID], Sessions: len(state.Sessions)}
	view.Session, view.Known = state.Sessions[session.ID]
	if session.KnownPolicy >= state.InForce.Number {
		view.InForce.Document = nil
	}
	if state.Change != nil {
		c := *state.Change
		if session.Staged == c.Number {
			c.Document = nil
		}
		view.Change = &c
	}
	return view, true
}

// reportChangesFleet reports whether a session report would change the state and so needs a log entry.
func (m *Machine) reportChangesFleet(session accord.Session) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.fleet != nil && m.fleet.WouldChange(session)
}

// FleetReport is the fleet's state as the HTTP API returns it.
type FleetReport struct {
	Epoch    string            `json:"epoch"`
	InForce  accord.Policy     `json:"in_force"`
	BeginMS  int64             `json:"begin_in_ms"` // until requests may be accepted under InForce
	Change   *accord.Change    `json:"change,omitempty"`
	WaitsFor []string          `json:"waits_for,omitempty"` // names of the sessions whose promise a change in flight needs
	Sessions []accord.Session  `json:"sessions"`
	Outcomes []accord.Outcome  `json:"outcomes,omitempty"`
	Gone     map[string]string `json:"gone,omitempty"`
}

func (view FleetView) report() FleetReport {
	r := FleetReport{Epoch: view.Epoch, InForce: view.InForce, BeginMS: max(0, view.PolicyStartIn.Milliseconds()), Change: view.Change, Sessions: view.SortedSessions(), Outcomes: view.Outcomes, Gone: view.Gone}
	for _, session := range view.Missing() {
		r.WaitsFor = append(r.WaitsFor, session.Name)
	}
	if r.InForce.Document == nil {
		r.InForce.Document = json.RawMessage("null")
	}
	return r
}
