// Package registry keeps what is known of the endpoints: which instances there are, where, in which state, and how old that
// knowledge is. It does no input or output.
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
	StateDraining State = "draining" // nothing new is sent to it
	StateSilent   State = "silent"   // its heartbeats stopped coming; avoided, not forgotten
	StateGone     State = "gone"     // left or expired; see Instance.Final
)

// Instance is one life of one endpoint.
type Instance struct {
	ID         string
	Backend    string // its service
	Address    string // host:port
	Zone       string
	Generation string // of its software
	Slots      int
	State      State     // what is known of it, silence included
	Reported   State     // what it said itself: ready, draining or gone
	Seq        uint64    // of its newest heartbeat; a lower one is late and ignored
	ChangedSeq uint64    // of the heartbeat that last changed what it says
	ColdUntil  time.Time // it is cold until then; the zero time: it is warm
	GoneAt     time.Time // it was taken away at short notice and ends then; the zero time: no such notice
	Phase      string
	Models     []string
}

// Final says whether the instance is gone for good: it left, or its notice ran out. One that is gone only because it fell
// silent, or because another instance showed up at its address, comes back with its next heartbeat.
func (i Instance) Final() bool { return i.Reported == StateGone }

// Cold says whether the instance is cold.
func (i Instance) Cold(now time.Time) bool { return now.Before(i.ColdUntil) }

// SameAs says whether other tells the same of the instance; the numbers of the heartbeats may differ.
func (i Instance) SameAs(other Instance) bool {
	return i.State == other.State && i.Reported == other.Reported && i.sameDescription(other) &&
		i.ColdUntil.Equal(other.ColdUntil) && i.GoneAt.Equal(other.GoneAt)
}

// sameDescription compares what does not change with time.
func (i Instance) sameDescription(other Instance) bool {
	return i.ID == other.ID && i.Backend == other.Backend && i.Address == other.Address && i.Zone == other.Zone &&
		i.Generation == other.Generation && i.Slots == other.Slots && i.Phase == other.Phase &&
		slices.Equal(i.Models, other.Models)
}

// rank orders what an instance says of itself: it never goes back from draining to ready, nor from gone to anything.
func rank(reported State) int {
	switch reported {
	case StateDraining:
		return 1
	case StateGone:
		return 2
	default:
		return 0
	}
}

// Furthest returns the one of two reported states that an instance can't go back from.
func Furthest(a, b State) State {
	if rank(b) > rank(a) {
		return b
	}
	return a
}
