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

// Load reads and validates a settings file. Unknown keys are ignored. The error is a *KeyError or a *FileError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Reason: reasonOf(err)}
	}
	return Parse(path, text)
}

// reasonOf returns the text of an error without the path that errors of the operating system contain.
func reasonOf(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Op + ": " + pathError.Err.Error()
	}
	return err.Error()
}

// Parse parses and validates the text of a settings file, as Load does. The file name is used in errors only.
func Parse(file string, text []byte) (*Settings, error) {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, syntaxError(file, err)
	}
	var firstErr error
	settings := read(table{file: file, values: values, firstErr: &firstErr})
	if firstErr != nil {
		return nil, firstErr
	}
	return settings, nil
}

// syntaxError returns the FileError for a file that is not valid TOML, with the position if it is known.
func syntaxError(file string, err error) error {
	reason := strings.ReplaceAll(err.Error(), "\n", " ")
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, column := decodeError.Position()
		return &FileError{File: file, Reason: fmt.Sprintf("%d:%d: invalid TOML: %s", row, column, reason)}
	}
	return &FileError{File: file, Reason: "invalid TOML: " + reason}
}

// read reads all settings from the top-level table.
func read(root table) *Settings {
	settings := &Settings{
		Node:            root.requiredString("node"),
		Role:            root.requiredString("role"),
		MachineClass:    root.optionalString("machineClass"),
		Serves:          readDuties(root),
		IP:              readIP(root),
		Zone:            root.requiredString("zone"),
		Region:          root.requiredString("region"),
		PortRange:       readPortRange(root),
		Seeds:           readSeeds(root),
		Bootstrap:       root.boolean("bootstrap"),
		CountsForQuorum: root.boolean("countsForQuorum"),
		DataDir:         root.optionalString("dataDir"),
		Discovery:       root.optionalString("discovery"),
		Entry:           root.optionalString("entry"),
		HeartbeatMs:     root.positive("heartbeatMs", defaultHeartbeatMs),
		Contracts:       root.stringList("contracts"),
	}
	settings.Zones = readZones(root, settings)
	settings.Listen = readListen(root.subtable("listen"), settings)
	settings.Limits = readLimits(root.subtable("limits"))
	settings.Tolerate = readTolerate(root.subtable("tolerate"))
	settings.Bounds = readBounds(root.subtable("bounds"))
	return settings
}

func readDuties(root table) []Duty {
	var duties []Duty
	for _, name := range root.stringList("serves") {
		duties = append(duties, Duty(name)) // unknown duties are kept: they may belong to a later version
	}
	return duties
}

const wantIP = "an IPv4 address such as 10.1.0.10"

func readIP(root table) string {
	value := root.requiredString("ip")
	address, err := netip.ParseAddr(value)
	if err != nil || !address.Is4() {
		root.failValue("ip", value, wantIP)
	}
	return value
}

const (
	wantPorts   = "two ports from 1 to 65535, the lower one first"
	highestPort = 65535
)

func readPortRange(root table) [2]int {
	value, present := root.values["portRange"]
	if !present {
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
	seeds := root.stringList("seeds")
	if len(seeds) == 0 {
		root.fail("seeds", "nothing", "at least one address, such as 10.1.0.13:8166")
	}
	for _, seed := range seeds {
		if !isAddress(seed) {
			root.failValue("seeds", seed, wantAddress)
		}
	}
	return seeds
}

const wantAddress = "an IPv4 address with a port, such as 10.1.0.13:8166"

func isAddress(value string) bool {
	address, err := netip.ParseAddrPort(value)
	return err == nil && address.Addr().Is4() && address.Port() != 0
}

// readZones reads the region of each zone and adds the zone of the process itself.
func readZones(root table, settings *Settings) map[string]string {
	zoneTable := root.subtable("zones")
	zones := make(map[string]string, len(zoneTable.values)+1)
	for _, zone := range slices.Sorted(maps.Keys(zoneTable.values)) {
		zones[zone] = zoneTable.requiredString(zone)
	}
	if region, present := zones[settings.Zone]; present && region != settings.Region {
		zoneTable.failValue(settings.Zone, region, "the region of this process, "+describe(settings.Region))
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

// address reads an address. It may be missing if it is not required.
func (t table) address(key string, required bool) string {
	value, present := t.values[key]
	if !present {
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
		DiskMB:   limits.nonNegative("diskMb", 0),
	}
}

func readTolerate(tolerate table) Tolerate {
	return Tolerate{
		Machines: tolerate.count("machines", defaultTolerateMachines),
		Zones:    tolerate.count("zones", 0),
		Regions:  tolerate.count("regions", 0),
	}
}

// Defaults of keys that may be missing.
const (
	defaultHeartbeatMs      = 1200
	defaultCPUShare         = 1
	defaultCores            = 1
	defaultMemoryMB         = 256
	defaultMaxFDs           = 1024
	defaultLinkMbps         = 1000
	defaultTolerateMachines = 1
)
