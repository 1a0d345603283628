// Package settings reads the settings file of a process: its identity and location, the duties and addresses that it serves, the
// resources of its machine, and the bounds that the rules in force define.
package settings

import (
	"net/netip"
	"os"
	"strconv"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "WALLFLOW_NODE_FILE"

// DefaultPath is the path of the settings file if the environment variable is not set.
const DefaultPath = "/etc/wallflow/settings.toml"

// Duty is a service that a process offers to callers outside the system.
type Duty string

// The duties.
const (
	DutyEdge      Duty = "edge"      // serve requests of clients
	DutyControl   Duty = "control"   // serve the operator's API and accept heartbeats of endpoints
	DutyDirectory Duty = "directory" // tell clients which relay to use
)

// Settings holds the settings of a process.
type Settings struct {
	Node            string // name of the machine
	Role            string // name of the role of the process
	MachineClass    string // kind of machine, such as "core"
	Serves          []Duty // duties of the role
	IP              string
	Zone            string
	Region          string
	PortRange       [2]int            // first and last port for traffic between processes of the system
	Seeds           []string          // control addresses of some machines, as ip:port
	Bootstrap       bool              // this is the first start of the whole system
	CountsForQuorum bool              // the machine counts for the quorum
	DataDir         string            // directory for persistent data; empty: there is no disk
	Discovery       string            // for example "registry"; not used by this program
	Entry           string            // for example "directory"; not used by this program
	HeartbeatMs     float64           // interval between heartbeats of an endpoint
	Contracts       []string          // names of the rules in force
	Zones           map[string]string // region of each zone
	Listen          Listen
	Limits          Limits
	Tolerate        Tolerate
	Bounds          Bounds
}

// Listen holds the addresses to listen on, as ip:port. An address is empty if the process does not serve it.
type Listen struct {
	Front     string // requests of clients
	Ready     string // readiness checks
	Control   string // operator API and heartbeats
	Directory string // directory for clients
}

// Limits holds the resources that the machine gives to the process.
type Limits struct {
	CPUShare float64 // fraction of a core
	Cores    float64 // speed of the core, as a multiple of a reference core
	MemoryMB float64 // memory limit of the process in MiB
	MaxFDs   int     // limit of open file descriptors
	LinkMbps float64 // bandwidth of the network link in Mbit/s
	DiskMB   float64 // disk space in MB; 0: there is no disk
}

// LinkBytes returns the bandwidth of the machine's network link in bytes per second.
func (l Limits) LinkBytes() float64 { return l.LinkMbps * 1e6 / 8 }

// Tolerate holds how many failures at the same time the system has to survive with all rules in force.
type Tolerate struct {
	Machines int // machines that count for the quorum
	Zones    int // whole zones
	Regions  int // whole regions
}

// PathFromEnvironment returns the path of the settings file: the value of PathVariable, or DefaultPath.
func PathFromEnvironment() (path string) {
	if path, present := os.LookupEnv(PathVariable); present && path != "" {
		return path
	}
	return DefaultPath
}

// ServesDuty reports whether the process has the duty.
func (s *Settings) ServesDuty(duty Duty) bool {
	for _, served := range s.Serves {
		if served == duty {
			return true
		}
	}
	return false
}

// HasContract reports whether the rules of this name are in force.
func (s *Settings) HasContract(name string) bool {
	for _, contract := range s.Contracts {
		if contract == name {
			return true
		}
	}
	return false
}

// InternalAddress returns the address at which other processes of the system reach this one.
func (s *Settings) InternalAddress() string {
	return s.InternalAddressOf(s.IP)
}

// InternalAddressOf returns the internal address of the process on the machine with this IP. The ports are the same on all
// machines.
func (s *Settings) InternalAddressOf(ip string) string {
	return ip + ":" + strconv.Itoa(s.PortRange[0])
}

// SeedInternalAddresses returns the internal addresses of the seeds, in their order.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		address := netip.MustParseAddrPort(seed) // Parse has checked it
		addresses = append(addresses, s.InternalAddressOf(address.Addr().String()))
	}
	return addresses
}
