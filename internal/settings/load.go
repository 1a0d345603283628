package settings

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and checks a settings file. Keys that it doesn't know are ignored. An error is a KeyError or a FileError, or says that
// the file can't be opened.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Reason: reasonOf(err)}
	}
	return Parse(path, text)
}

// reasonOf leaves out the path that errors of the operating system name.
func reasonOf(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Op + ": " + pathError.Err.Error()
	}
	return err.Error()
}

// Parse is Load for the text of a file; file names it in errors.
func Parse(file string, text []byte) (*Settings, error) {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, notTOML(file, err)
	}
	var fault error
	settings := read(table{file: file, values: values, fault: &fault})
	if fault != nil {
		return nil, fault
	}
	return settings, nil
}

func notTOML(file string, err error) error {
	reason := strings.ReplaceAll(err.Error(), "\n", " ")
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, column := wrong.Position()
		return &FileError{File: file, Reason: fmt.Sprintf("%d:%d: not TOML: %s", row, column, reason)}
	}
	return &FileError{File: file, Reason: "not TOML: " + reason}
}

func read(root table) *Settings {
	settings := &Settings{
		Node:            root.requiredText("node"),
		Role:            root.requiredText("role"),
		MachineClass:    root.text("machineClass"),
		Serves:          readDuties(root),
		IP:              readIP(root),
		Zone:            root.requiredText("zone"),
		Region:          root.requiredText("region"),
		PortRange:       readPortRange(root),
		Seeds:           readSeeds(root),
		Bootstrap:       root.flag("bootstrap"),
		CountsForQuorum: root.flag("countsForQuorum"),
		DataDir:         root.text("dataDir"),
		Discovery:       root.text("discovery"),
		Entry:           root.text("entry"),
		HeartbeatMs:     root.positive("heartbeatMs", defaultHeartbeatMs),
		Contracts:       root.texts("contracts"),
	}
	settings.Zones = readZones(root, settings)
	settings.Listen = readListen(root.sub("listen"), settings)
	settings.Limits = readLimits(root.sub("limits"))
	settings.Tolerate = readTolerate(root.sub("tolerate"))
	settings.Bounds = readBounds(root.sub("bounds"))
	return settings
}

func readDuties(root table) []Duty {
	var duties []Duty
	for _, name := range root.texts("serves") {
		duties = append(duties, Duty(name)) // one that isn't known is for later programs
	}
	return duties
}

const wantIP = "an IPv4 address such as 10.1.0.10"

func readIP(root table) string {
	text := root.requiredText("ip")
	address, err := netip.ParseAddr(text)
	if err != nil || !address.Is4() {
		root.failValue("ip", text, wantIP)
	}
	return text
}

const (
	wantPorts   = "two ports from 1 to 65535, the first one first"
	highestPort = 65535
)

func readPortRange(root table) [2]int {
	value, given := root.values["portRange"]
	if !given {
		root.fail("portRange", "nothing", wantPorts)
		return [2]int{}
	}
	list, isList := value.([]any)
	if !isList || len(list) != 2 {
		root.failValue("portRange", value, wantPorts)
		return [2]int{}
	}
	first, firstOK := toPort(list[0])
	last, lastOK := toPort(list[1])
	if !firstOK || !lastOK || first > last {
		root.failValue("portRange", value, wantPorts)
	}
	return [2]int{first, last}
}

func toPort(value any) (int, bool) {
	number, isNumber := toNumber(value)
	if !isNumber || !isWhole(number) || number < 1 || number > highestPort {
		return 0, false
	}
	return int(number), true
}

func readSeeds(root table) []string {
	seeds := root.texts("seeds")
	if len(seeds) == 0 {
		root.fail("seeds", "nothing", "one address at least, such as 10.1.0.13:8166")
	}
	for _, seed := range seeds {
		if !isAddress(seed) {
			root.failValue("seeds", seed, wantAddress)
		}
	}
	return seeds
}

const wantAddress = "an IPv4 address with a port, such as 10.1.0.13:8166"

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Addr().Is4() && address.Port() != 0
}

// readZones reads the region of each zone. The process's own zone is there in any case.
func readZones(root table, settings *Settings) map[string]string {
	under := root.sub("zones")
	zones := make(map[string]string, len(under.values)+1)
	for _, zone := range slices.Sorted(maps.Keys(under.values)) {
		zones[zone] = under.requiredText(zone)
	}
	if region, given := zones[settings.Zone]; given && region != settings.Region {
		under.failValue(settings.Zone, region, "the own region, "+describe(settings.Region))
	}
	if settings.Zone != "" {
		zones[settings.Zone] = settings.Region
	}
	return zones
}

func readListen(listen table, settings *Settings) Listen {
	edge := settings.ServesDuty(DutyEdge)
	return Listen{
		Front:     listen.address("front", edge),
		Ready:     listen.address("ready", edge),
		Control:   listen.address("control", settings.ServesDuty(DutyControl)),
		Directory: listen.address("directory", settings.ServesDuty(DutyDirectory)),
	}
}

// address reads an address that may be missing where it isn't required.
func (t table) address(key string, required bool) string {
	value, given := t.values[key]
	if !given {
		if required {
			t.fail(key, "nothing", wantAddress)
		}
		return ""
	}
	text, isText := value.(string)
	if !isText || !isAddress(text) {
		t.failValue(key, value, wantAddress)
	}
	return text
}

func readLimits(limits table) Limits {
	return Limits{
		CPUShare: limits.positive("cpuShare", defaultCPUShare),
		Cores:    limits.positive("cores", defaultCores),
		MemoryMB: limits.positive("memoryMb", defaultMemoryMB),
		MaxFDs:   limits.count("maxFds", defaultMaxFDs),
		LinkMbps: limits.positive("linkMbps", defaultLinkMbps),
		DiskMB:   limits.amount("diskMb", 0),
	}
}

func readTolerate(tolerate table) Tolerate {
	return Tolerate{
		Machines: tolerate.count("machines", defaultTolerateMachines),
		Zones:    tolerate.count("zones", 0),
		Regions:  tolerate.count("regions", 0),
	}
}

// The values of what a file leaves out.
const (
	defaultHeartbeatMs      = 1200
	defaultCPUShare         = 1
	defaultCores            = 1
	defaultMemoryMB         = 256
	defaultMaxFDs           = 1024
	defaultLinkMbps         = 1000
	defaultTolerateMachines = 1
)
