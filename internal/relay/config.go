package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"wallflow/internal/wire"
	"wallflow/policy"
)

// maxTick limits the configured tick, so that clients do not wait too long for their answers.
const maxTick = 20 * time.Millisecond

// Config is the configuration of a relay, from a file and the environment.
type Config struct {
	Name       string
	Listen     string // address for clients
	Mgmt       string // management address for operators; empty: none
	Discovery  string // address of discovery's agent
	StateDir   string // folder for persistent state: the write-ahead log and the takeover socket
	Seed       uint64
	Limits     Limits
	KnownHosts HostList // host list to start with; may be outdated or empty
	Settings   policy.Settings

	Classes   []string
	Customers []string // empty: messages carry no customer
	Zones     []string
	Kinds     []string

	ConnectTimeout time.Duration
	KeepAlive      time.Duration // hosts close connections that have been idle for this long
	Tick           time.Duration // least time between two steps of the loop
	MayDuplicate   bool          // two attempts of a message may be in flight at once
	ReportFields   []string      // fields of the hosts' load reports; empty: hosts send none

	FleetAgent string // address of the agent that reports the fleet policy; empty: no fleet

	raw map[string]any // the parsed file, to check a new one for missing keys
}

// Limits are the resources that the relay may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// envSetting is a setting that may come from an environment variable or from the file.
type envSetting struct {
	variable, key string
	field         func(*Config) *string
	description   string // of the value, for the error if it is missing; empty: it is optional
	fileWins      bool   // the file takes precedence over the variable
}

// envSettings lists all settings with a ROUTER_ variable. The variable takes precedence over the file, except for
// ROUTER_DISCOVERY: the file may be replaced while the relay runs, and its address of discovery is newer then.
var envSettings = []envSetting{
	{"ROUTER_NAME", "name", func(c *Config) *string { return &c.Name }, "", false},
	{"ROUTER_LISTEN", "listen", func(c *Config) *string { return &c.Listen },
		"the address where clients connect, such as 127.0.0.1:3000", false},
	{"ROUTER_DISCOVERY", "discovery", func(c *Config) *string { return &c.Discovery },
		"the address of discovery's agent, such as 127.0.0.1:8500", true},
	{"ROUTER_STATE", "", func(c *Config) *string { return &c.StateDir },
		"the folder for persistent state, which holds the journal of messages", false},
	{"ROUTER_MGMT", "mgmt", func(c *Config) *string { return &c.Mgmt }, "", false},
}

// LoadConfig reads the file that ROUTER_CONFIG names, and the other ROUTER_ variables.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG is not set: it names the file that holds the relay's configuration, as JSON")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := parseConfig(data)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %s: %w", path, err)
	}
	for _, s := range envSettings {
		field := s.field(&c)
		if v := getenv(s.variable); v != "" && (!s.fileWins || *field == "") {
			*field = v
		}
		if *field == "" && s.description != "" {
			if s.key != "" {
				return Config{}, fmt.Errorf("%s is not set, and %s has no %q: %s", s.variable, path, s.key, s.description)
			}
			return Config{}, fmt.Errorf("%s is not set: %s", s.variable, s.description)
		}
	}
	return c, nil
}

// locateJSONError adds the line and column in the file, and the key if it is known, to an error of package json. offset is
// where the decoded value starts in data.
func locateJSONError(err error, data []byte, offset int64) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax) && offset+syntax.Offset >= int64(len(data)):
		return fmt.Errorf("%s: the file ends too early: %w", position(data, int64(len(data))), err)
	case errors.As(err, &syntax):
		return fmt.Errorf("%s: %w", position(data, offset+syntax.Offset), err)
	case errors.As(err, &wrongType):
		return fmt.Errorf("%s: %s: wanted is %s, not a JSON %s",
			position(data, offset+wrongType.Offset), wrongType.Field, wrongType.Type, wrongType.Value)
	}
	return err
}

// position returns the line and column of an offset in the file.
func position(data []byte, offset int64) string {
	before := data[:max(0, min(offset, int64(len(data))))]
	return fmt.Sprintf("line %d, column %d", 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n'))
}

func parseConfig(data []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Mgmt      string          `json:"mgmt"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Fleet     *struct {
			Agent string `json:"agent"`
		} `json:"fleet"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, locateJSONError(err, data, 0)
	}
	if len(file.Settings) == 0 {
		return Config{}, errors.New(`no "settings": wanted is an object with the fleet's settings`)
	}
	if file.Fleet != nil && file.Fleet.Agent == "" {
		return Config{}, errors.New("fleet.agent: missing: wanted is the address of the agent that reports the fleet policy")
	}
	settingsOffset := int64(bytes.Index(data, file.Settings))
	// The settings that the relay itself uses. Package wire maps those of the decision module.
	var relaySettings struct {
		Services []struct{ Name string }
		Realms   []struct{ Name string }
		Zones    []string
		Kinds    []string
		TickMS   float64 `json:"tick_ms"`
		Stats    struct {
			Fields []string
			How    string
		}
		Bounds struct {
			ConnectTimeoutMS float64 `json:"connect_timeout_ms"`
			KeepAliveMS      float64 `json:"keepalive_ms"`
			MayDuplicate     bool    `json:"may_duplicate"`
		}
	}
	if err := json.Unmarshal(file.Settings, &relaySettings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", locateJSONError(err, data, settingsOffset))
	}
	var tree any
	if err := json.Unmarshal(file.Settings, &tree); err != nil {
		return Config{}, fmt.Errorf("settings: %w", locateJSONError(err, data, settingsOffset))
	}
	values := map[string]string{}
	flatten(values, "", tree)
	settings, err := wire.Settings(values)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	c := Config{
		Name: file.Name, Listen: file.Listen, Mgmt: file.Mgmt, Discovery: file.Discovery, Limits: file.Limits, Settings: settings,
		Zones: relaySettings.Zones, Kinds: relaySettings.Kinds, MayDuplicate: relaySettings.Bounds.MayDuplicate,
		ConnectTimeout: millis(relaySettings.Bounds.ConnectTimeoutMS), KeepAlive: millis(relaySettings.Bounds.KeepAliveMS),
		Tick: min(millis(relaySettings.TickMS), maxTick),
	}
	if file.Fleet != nil {
		c.FleetAgent = file.Fleet.Agent
	}
	// An invalid seed is not an error: ParseUint still returns a fixed value, and random numbers are the same at each start.
	c.Seed, _ = strconv.ParseUint(file.Seed, 16, 64)
	for _, s := range relaySettings.Services {
		c.Classes = append(c.Classes, s.Name)
	}
	for _, r := range relaySettings.Realms {
		c.Customers = append(c.Customers, r.Name)
	}
	if relaySettings.Stats.How == "answers" {
		c.ReportFields = relaySettings.Stats.Fields
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.KnownHosts, err = parseList(file.Known); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	if err := json.Unmarshal(data, &c.raw); err != nil {
		return Config{}, err
	}
	c.setDefaults()
	if len(settings.Classes) == 0 {
		return Config{}, errors.New("settings.services: missing, or empty: wanted are the message classes")
	}
	for i, s := range c.Classes {
		at := fmt.Sprintf("settings.services[%d]", i)
		if s == "" || slices.Index(c.Classes, s) < i {
			return Config{}, fmt.Errorf("%s.name: %q: each class needs a name of its own", at, s)
		}
		if i < len(settings.Classes) && min(settings.Classes[i].GiveUp, settings.Classes[i].Aim) <= 0 {
			return Config{}, fmt.Errorf("%s: goal_time_ms or give_up_ms is missing, or not above 0", at)
		}
	}
	if c.Limits.Sockets < minSockets {
		return Config{}, fmt.Errorf("limits.sockets: %d: must be no fewer than %d", c.Limits.Sockets, minSockets)
	}
	return c, nil
}

// setDefaults fills in optional settings.
func (c *Config) setDefaults() {
	setDefault(&c.ConnectTimeout, time.Second)
	setDefault(&c.KeepAlive, 15*time.Second)
	setDefault(&c.Limits.MemoryMB, 192)
	setDefault(&c.Limits.Sockets, 1024)
	setDefault(&c.Limits.DiskMB, 3)
}

func setDefault[T float64 | int | time.Duration](p *T, v T) {
	if *p <= 0 {
		*p = v
	}
}

// flatten converts nested JSON into the paths and values of the simulator's wire format, which package wire reads.
func flatten(values map[string]string, path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for k, v := range x {
			flatten(values, strings.TrimPrefix(path+"."+k, "."), v)
		}
	case []any:
		plain := make([]string, 0, len(x))
		for i, v := range x {
			if _, nested := v.(map[string]any); nested {
				flatten(values, fmt.Sprintf("%s.%d", path, i), v)
				values[path+".count"] = strconv.Itoa(len(x))
			} else {
				plain = append(plain, formatScalar(v))
			}
		}
		if len(plain) > 0 {
			values[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[path] = formatScalar(x)
	}
}

func formatScalar(x any) string {
	if f, ok := x.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(x)
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// HostList is discovery's list of hosts, either complete (Full) or as changes to the previous version.
type HostList struct {
	Version int64
	Full    bool
	Entries []json.RawMessage // parsed one by one, so that an unreadable entry does not affect the others
}

// hostEntry is the JSON form of a host in a list.
type hostEntry struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   *int    `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

func parseList(data []byte) (HostList, error) {
	var l struct {
		Version int64             `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return HostList{}, err
	}
	return HostList{Version: l.Version, Full: l.Full, Entries: l.Servers}, nil
}

// parseHost parses one entry of a host list. If it fails, the listing still has the host's id if that could be read.
func (c *Config) parseHost(data json.RawMessage) (l policy.Listing, addr string, err error) {
	var m hostEntry
	if err := json.Unmarshal(data, &m); err != nil {
		return policy.Listing{Route: m.ID}, "", err
	}
	l = policy.Listing{Route: m.ID, Zone: slices.Index(c.Zones, m.Zone), Kind: slices.Index(c.Kinds, m.Kind), Weight: m.Weight}
	switch m.State {
	case "ready":
		l.InService = true
	case "draining":
	case "gone":
		l.Gone = true
	default:
		return l, "", fmt.Errorf("unknown state %q", m.State)
	}
	switch {
	case m.ID == "":
		return l, "", errors.New("no id")
	case l.Gone:
		return l, "", nil
	case m.Addr == "" || m.Cell == nil:
		return l, "", errors.New("no address or no cell")
	case l.Zone < 0 || l.Kind < 0:
		return l, "", fmt.Errorf("unknown zone %q or kind %q", m.Zone, m.Kind)
	}
	l.Destination = *m.Cell
	return l, m.Addr, nil
}
