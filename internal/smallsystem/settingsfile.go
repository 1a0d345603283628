package smallsystem

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// settingsFile is the settings file of a process, as far as a small system has something to say.
type settingsFile struct {
	Node            string            `toml:"node"`
	Role            string            `toml:"role"`
	MachineClass    string            `toml:"machineClass"`
	Serves          []string          `toml:"serves"`
	IP              string            `toml:"ip"`
	Zone            string            `toml:"zone"`
	Region          string            `toml:"region"`
	PortRange       []int             `toml:"portRange"`
	Seeds           []string          `toml:"seeds"`
	Bootstrap       bool              `toml:"bootstrap"`
	CountsForQuorum bool              `toml:"countsForQuorum"`
	DataDir         string            `toml:"dataDir,omitempty"`
	HeartbeatMs     int               `toml:"heartbeatMs"`
	Zones           map[string]string `toml:"zones"`
	Listen          listenTable       `toml:"listen"`
	Limits          limitsTable       `toml:"limits"`
	Tolerate        tolerateTable     `toml:"tolerate"`
	Bounds          boundsTable       `toml:"bounds"`
}

type listenTable struct {
	Front     string `toml:"front,omitempty"`
	Ready     string `toml:"ready,omitempty"`
	Control   string `toml:"control,omitempty"`
	Directory string `toml:"directory,omitempty"`
}

type limitsTable struct {
	MemoryMB int `toml:"memoryMb"`
	MaxFDs   int `toml:"maxFds"`
}

type tolerateTable struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// boundsTable holds the bounds that differ from what a process takes where none are given.
type boundsTable struct {
	ContactMs     int `toml:"contactMs"`
	AckMs         int `toml:"ackMs"`
	DrainMs       int `toml:"drainMs"`
	GraceS        int `toml:"graceS"`
	ConfigApplyMs int `toml:"configApplyMs"`
	EvacMs        int `toml:"evacMs"`
	TTLMaxS       int `toml:"ttl_max_s"`
}

const (
	heartbeatMs = 1200
	memoryMB    = 284
	maxFDs      = 4100
	drainMs     = 3000
	graceS      = 8
)

// settingsOf is what a machine is told whatever it serves.
func (l layout) settingsOf(machine machine) settingsFile {
	zones := make(map[string]string, len(places))
	for _, place := range places {
		zones[place.zone] = place.region
	}
	return settingsFile{
		Node:        machine.name,
		IP:          machine.ip,
		Zone:        machine.zone,
		Region:      machine.region,
		PortRange:   []int{portInternal, portLast},
		Seeds:       l.seeds(),
		Bootstrap:   true,
		HeartbeatMs: heartbeatMs,
		Zones:       zones,
		Limits:      limitsTable{MemoryMB: memoryMB, MaxFDs: maxFDs},
		Tolerate:    tolerateTable{Machines: 1, Zones: 1, Regions: 1},
		Bounds: boundsTable{
			ContactMs:     4000,
			AckMs:         5000,
			DrainMs:       drainMs,
			GraceS:        graceS,
			ConfigApplyMs: 3000,
			EvacMs:        5000,
			TTLMaxS:       5,
		},
	}
}

func (l layout) controlSettings(machine machine, dataDir string) settingsFile {
	settings := l.settingsOf(machine)
	settings.Role = "control"
	settings.MachineClass = "core"
	settings.Serves = []string{"control", "directory"}
	settings.CountsForQuorum = true
	settings.DataDir = dataDir
	settings.Listen = listenTable{Control: machine.at(portControl), Directory: machine.at(portDirectory)}
	return settings
}

func (l layout) relaySettings(machine machine) settingsFile {
	settings := l.settingsOf(machine)
	settings.Role = "proxy"
	settings.MachineClass = "edge"
	settings.Serves = []string{"edge"}
	settings.Listen = listenTable{Front: machine.at(portFront), Ready: machine.at(portReady)}
	return settings
}

const (
	folderMode   = 0o700
	fileMode     = 0o600
	settingsName = "settings.toml"
)

// write puts the settings into the folder of a process, and returns their path.
func (s settingsFile) write(folder string) (path string, err error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return "", trace.Wrap(err)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", trace.ConvertSystemError(err)
	}
	path = filepath.Join(folder, settingsName)
	return path, trace.ConvertSystemError(os.WriteFile(path, text, fileMode))
}
