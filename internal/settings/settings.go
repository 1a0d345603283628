// Package settings reads the settings file of a process: who and where it is, what it serves, what its machine bears, and the figures
// of the rules in force.
package settings

import (
	"net/netip"
	"os"
	"strconv"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "WALLFLOW_NODE_FILE"

// DefaultPath is where the settings file is when the variable is not set.
const DefaultPath = "/etc/wallflow/settings.toml"

// Duty is something that a role serves to callers from outside.
type Duty string

// The duties of a role.
const (
	DutyEdge      Duty = "edge"      // the requests of clients
	DutyControl   Duty = "control"   // the operator's orders and the endpoints' heartbeats
	DutyDirectory Duty = "directory" // the clients' question where to go
)

// Settings are the settings of a process.
type Settings struct {
	Node            string
	Role            string
	MachineClass    string
	Serves          []Duty
	IP              string
	Zone            string
	Region          string
	PortRange       [2]int   // the ports between processes of the system, the first and the last
	Seeds           []string // the control addresses of some machines, as ip:port
	Bootstrap       bool     // this is the very first start of the whole system
	CountsForQuorum bool
	DataDir         string // empty: no disk
	Discovery       string
	Entry           string
	HeartbeatMs     float64 // how often an endpoint sends a heartbeat
	Contracts       []string
	Zones           map[string]string // the region of each zone
	Listen          Listen
	Limits          Limits
	Tolerate        Tolerate
	Bounds          Bounds
}

// Listen holds the addresses to serve at, as ip:port; those that the role doesn't serve are empty.
type Listen struct {
	Front     string
	Ready     string
	Control   string
	Directory string
}

// Limits are what the machine gives to the process.
type Limits struct {
	CPUShare float64 // of a core
	Cores    float64 // how fast a core is, as a multiple
	MemoryMB float64
	MaxFDs   int
	LinkMbps float64
	DiskMB   float64 // 0: no disk
}

// LinkBytes is how many bytes the machine's link carries in a second.
func (l Limits) LinkBytes() float64 { return l.LinkMbps * 1e6 / 8 }

// Tolerate says what may be lost at one time while all rules hold.
type Tolerate struct {
	Machines int // of those that count for the quorum
	Zones    int
	Regions  int
}

// FromEnvironment returns the path of the settings file.
func FromEnvironment() (path string) {
	if path, given := os.LookupEnv(PathVariable); given && path != "" {
		return path
	}
	return DefaultPath
}

// ServesDuty tells whether the role has a duty.
func (s *Settings) ServesDuty(duty Duty) bool {
	for _, served := range s.Serves {
		if served == duty {
			return true
		}
	}
	return false
}

// HasContract tells whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool {
	for _, contract := range s.Contracts {
		if contract == name {
			return true
		}
	}
	return false
}

// InternalAddress is where the other processes of the system reach this one.
func (s *Settings) InternalAddress() string {
	return s.InternalAddressOf(s.IP)
}

// InternalAddressOf is where the processes of the system reach the one on the machine with an IP: the ports are the same on all
// machines.
func (s *Settings) InternalAddressOf(ip string) string {
	return ip + ":" + strconv.Itoa(s.PortRange[0])
}

// SeedInternalAddresses returns the internal addresses of the seeds, in their order.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		address := netip.MustParseAddrPort(seed) // Load has checked it
		addresses = append(addresses, s.InternalAddressOf(address.Addr().String()))
	}
	return addresses
}
