package swim

import (
	"fmt"
	"slices"
)

// Status is the believed state of a member.
type Status uint8

// The statuses of a member. Within one incarnation, a later one in this list replaces an earlier one.
const (
	// Alive is the status of a member that answers, as far as is known.
	Alive Status = iota
	// Suspect is the status of a member that did not answer a probe and has not refuted yet. It still counts as a
	// live member.
	Suspect
	// Dead is the status of a member that was suspected and did not refute in time.
	Dead
	// Left is the status of a member that announced its departure.
	Left
)

// String returns the lower-case name of the status.
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

// live reports whether a member with this status counts as a live member.
func (s Status) live() bool { return s == Alive || s == Suspect }

// Meta is the metadata that a member announces about itself. Addresses that the member does not serve are empty. The
// encoded metadata must fit into one datagram, which leaves about 900 bytes for it.
type Meta struct {
	// Class is the machine class, Role the name of the process's role.
	Class, Role string
	// Zone and Region are the location of the member.
	Zone, Region string
	// Front, Ready, Control and Directory are the addresses on which the member serves clients, readiness checks,
	// the control API and the directory.
	Front, Ready, Control, Directory string
	// Serving reports whether the member is ready to accept traffic.
	Serving bool
	// Identity identifies a control process in the replicated store.
	Identity string
	// Labels are additional attributes. They should be few and short.
	Labels []string
}

// Equal reports whether all fields are equal.
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
	// Name is unique per machine and role.
	Name string
	// Address is the internal address (host:port) on which the process accepts messages from other processes of the
	// system.
	Address string
	// Incarnation orders the states reported of the member. Only the member itself raises it.
	Incarnation uint64
	Status      Status
	Meta        Meta
}

// supersedes reports whether a state with the given incarnation and status replaces the known one.
func supersedes(incarnation uint64, status Status, known Member) bool {
	if incarnation != known.Incarnation {
		return incarnation > known.Incarnation
	}
	return status > known.Status
}
