package swim

import (
	"fmt"
	"slices"
)

// Status is what is believed of a member.
type Status uint8

// The states of a member, in the order in which one replaces another of the same incarnation.
const (
	// Alive members answer, as far as is known.
	Alive Status = iota
	// Suspect members did not answer a probe and have not refuted yet. They still count as members.
	Suspect
	// Dead members did not refute in time.
	Dead
	// Left members said that they go.
	Left
)

// String returns the status in words.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return fmt.Sprintf("status(%d)", uint8(s))
	}
}

// live reports whether a member with this status counts as one.
func (s Status) live() bool { return s == Alive || s == Suspect }

// Meta is what a member tells of itself. Addresses are empty where it does not serve them. All of it must fit into one
// datagram: some 900 bytes at most.
type Meta struct {
	// Class is the machine class, Role the name of the role.
	Class, Role string
	// Zone and Region tell where the member runs.
	Zone, Region string
	// Front, Ready, Control and Directory are the addresses that the member listens on for others.
	Front, Ready, Control, Directory string
	// Serving tells that the member is ready to take traffic.
	Serving bool
	// Identity is the store identity of a control process.
	Identity string
	// Labels are further facts, short and few.
	Labels []string
}

// Equal reports whether both say the same.
func (m Meta) Equal(other Meta) bool {
	return m.Class == other.Class && m.Role == other.Role &&
		m.Zone == other.Zone && m.Region == other.Region &&
		m.Front == other.Front && m.Ready == other.Ready &&
		m.Control == other.Control && m.Directory == other.Directory &&
		m.Serving == other.Serving && m.Identity == other.Identity &&
		slices.Equal(m.Labels, other.Labels)
}

// Member is one process of the system.
type Member struct {
	// Name is unique for a machine and role.
	Name string
	// Address is the internal address.
	Address string
	// Incarnation orders what is said of the member: only the member itself raises it.
	Incarnation uint64
	Status      Status
	Meta        Meta
}

// supersedes reports whether a state of a member replaces another one.
func supersedes(incarnation uint64, status Status, known Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return status > known.Status
}
