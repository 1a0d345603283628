// Package registry holds the replicated table of endpoint instances at a control process: where they are, in which
// state, and when the last heartbeat arrived. It performs no I/O.
package registry

import (
	"slices"
	"time"
)

// State is the state of an instance.
type State string

// The states of an instance.
const (
	StateReady    State = "ready"
	StateDraining State = "draining" // gets no new requests
	StateSilent   State = "silent"   // ready, but its heartbeats stopped; avoided for new requests, but remembered
	StateGone     State = "gone"     // left, expired or replaced; see Instance.Final
)

// Instance is one run of an endpoint.
type Instance struct {
	ID         string
	Backend    string // name of the service
	Address    string // host:port
	Zone       string
	Generation string    // version of its software
	Slots      int       // sequences that it processes at the same time
	State      State     // as the table judges it, which includes silence
	Reported   State     // as the instance reported it: ready, draining or gone
	Seq        uint64    // number of its newest heartbeat; those with a lower one are late and ignored
	ChangedSeq uint64    // number of the heartbeat that last changed the description
	ColdUntil  time.Time // end of its warm-up; zero or past if it is warm
	GoneAt     time.Time // time at which it is terminated, by its notice; zero without a notice
	Phase      string    // inference phases that its engine runs, such as "dual" for prefill and decode
	Models     []string  // names of the models that it serves
}

// Final reports whether the instance is gone for good: it left, or its termination notice ran out. An instance that
// is gone only because its heartbeats stopped, or because another instance has its address, is restored by its next
// heartbeat.
func (i Instance) Final() bool { return i.Reported == StateGone }

// Departing reports whether the instance has said that it drains or leaves. It gets no new requests from then on, whether or not it is
// heard of later.
func (i Instance) Departing() bool { return stateRank(i.Reported) > stateRank(StateReady) }

// StateWithoutHeartbeats returns the state of an instance whose heartbeats have stopped, before it counts as gone. One that said that it
// drains stays draining: that its heartbeats stop does not bring it back.
func (i Instance) StateWithoutHeartbeats() State {
	if i.Departing() {
		return i.Reported
	}
	return StateSilent
}

// Cold reports whether the instance is still warming up.
func (i Instance) Cold(now time.Time) bool { return now.Before(i.ColdUntil) }

// SameAs reports whether both describe the instance in the same way, heartbeat numbers aside.
func (i Instance) SameAs(other Instance) bool {
	return i.State == other.State && i.Reported == other.Reported && i.hasSameDescription(other) &&
		i.ColdUntil.Equal(other.ColdUntil) && i.GoneAt.Equal(other.GoneAt)
}

// hasSameDescription compares the fields that do not change with time.
func (i Instance) hasSameDescription(other Instance) bool {
	return i.ID == other.ID && i.Backend == other.Backend && i.Address == other.Address && i.Zone == other.Zone &&
		i.Generation == other.Generation && i.Slots == other.Slots && i.Phase == other.Phase &&
		slices.Equal(i.Models, other.Models)
}

// stateRank orders the states that an instance reports: it never goes back from draining to ready, nor from gone to
// another state.
func stateRank(reported State) int {
	switch reported {
	case StateDraining:
		return 1
	case StateGone:
		return 2
	default:
		return 0
	}
}

// FurthestState returns the more advanced of two reported states, the one from which an instance cannot go back to the
// other.
func FurthestState(a, b State) State {
	if stateRank(b) > stateRank(a) {
		return b
	}
	return a
}
