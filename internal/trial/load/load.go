// Package load describes the fleet of a trial and its traffic: relays, partners, clients, message classes and the
// network between them. A description is a file whose values carry their units. What a trial draws from it depends on
// the seed alone.
package load

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"wallflow/internal/tomlfile"
	"wallflow/internal/units"
)

//go:embed loads/*.toml
var embedded embed.FS

// Span is a range of durations, from which values are drawn uniformly.
type Span struct{ Low, High units.Duration }

// Range is a range of plain numbers.
type Range struct{ Low, High float64 }

// Load is a fleet and its traffic.
type Load struct {
	Name  string
	About string // description

	Relays    int
	Zones     []string
	Relay     Relay
	Traffic   Traffic
	Clients   Clients
	Network   Network
	Agent     Agent
	Partners  Partners
	Kinds     []Kind     `toml:"kind"`
	Classes   []Class    `toml:"class"`
	Customers []Customer `toml:"customer"`
}

// Relay holds the settings and resources of each relay.
type Relay struct {
	Cores     float64
	Memory    units.Bytes
	Sockets   int
	Disk      units.Bytes
	Slots     int            // calls in flight at once
	MaxHeld   int            `toml:"hold"` // messages held at once
	Attempts  int            // at most, for each message
	KeepAlive units.Duration `toml:"keep_alive"`
	Tick      units.Duration
}

// Traffic describes what clients submit to all relays together.
type Traffic struct {
	Rate      units.Rate
	Skew      float64        // Zipf exponent of the relays' shares of the traffic; 0: equal shares
	Body      Range          // bytes
	Clumps    units.Share    // share of messages that arrive in clumps for one destination
	Clump     units.Duration // a clump has as many messages as its destination accepts in this time
	Peak      float64        // factor on the rate during the peak; 1: no peak
	PeakAfter units.Share    `toml:"peak_after"` // share of the trial before the peak
	PeakFor   units.Share    `toml:"peak_for"`   // share of the trial that the peak lasts
}

// Clients describes how clients behave.
type Clients struct {
	AnswerIn units.Duration `toml:"answer_in"` // how long they wait for an answer
	Retries  int            // at most, after refusals
	Wait     Span           // before the first retry; doubled for each further one
	Heed     units.Share    // share of clients that follow an advised wait
	Again    Span           // before a submission that was not answered is repeated
	Leave    units.Share    // share of submissions whose client disconnects before the answer
}

// Network is the network between relays and partners.
type Network struct {
	Same, Cross Span        // one-way delay within a zone and between zones
	Jitter      units.Share // relative to the delay
}

// Agent describes the platform's discovery.
type Agent struct {
	Notice  Span           // delay until a relay is told of a change
	Moves   bool           // accepted in load files; has no effect
	Renewal units.Duration // interval of empty lines on a watch without changes
}

// Partners are the destinations of messages.
type Partners struct {
	Count     int
	Endpoints Range
	Skew      float64 // Zipf exponent of their shares of the traffic
}

// Kind is one kind of partner.
type Kind struct {
	Name     string
	Share    units.Share    // of the partners; the first kind gets those with the most traffic
	PerCall  int            `toml:"per_call"` // messages allowed in one call
	Together float64        // messages that a call usually carries; scales the rate limit
	Separate bool           // each endpoint has a rate limit of its own
	Window   units.Duration // counting window of the rate limit; 0: token bucket
	Headroom Range          // rate limit relative to the calls that its share of the traffic needs
	Least    units.Rate     // lower bound of the rate limit
	Spare    Range          // capacity relative to the rate limit
	Tells    units.Share    // share of refusals that advise a wait
	Wait     Span           // minimum of the advised wait
	Counted  bool           // refused calls use up the limit as well
	Conns    int            // open connections allowed; 0: any number
	Work     Span           // usual processing time of a message
	Item     units.Share    // work for each further message of a call, relative to the first
	Errors   units.Share    // share of calls answered 500
	ColdFrom units.Share    `toml:"cold_from"` // share of the capacity after an outage
	ColdFor  units.Duration `toml:"cold_for"`  // time until the full capacity is back
	Report   Span           // interval between updates of the load that its answers report
}

// Class is one class of messages.
type Class struct {
	Name      string
	Share     units.Share    // of the messages
	Effect    string         // keyed, unsafe or safe
	Group     string         // for keyed messages: zone or all
	Window    units.Duration // deduplication window of keyed messages
	Aim       units.Duration // target latency
	GiveUp    units.Duration `toml:"give_up"` // expiry
	Worth     float64        // value of a message delivered within the target
	LateWorth float64        `toml:"late_worth"` // smallest share of the value of a late message
	Kinds     []string       // kinds of partners that get such messages; empty: all
}

// Customer is one customer.
type Customer struct {
	Name  string
	Share units.Share // of the messages
}

// Names returns the names of the loads that are embedded in the program.
func Names() []string {
	files, err := fs.Glob(embedded, "loads/*.toml")
	if err != nil {
		panic(err) // the pattern is a constant
	}
	for i, f := range files {
		files[i] = strings.TrimSuffix(path.Base(f), ".toml")
	}
	return files
}

// Open reads a load: an embedded one by its name, or else a file.
func Open(name string) (*Load, error) {
	var l Load
	file := path.Join("loads", name+".toml")
	data, err := embedded.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrInvalid) {
		file = name
		if data, err = os.ReadFile(name); errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("load %q: neither an embedded load (%s) nor a file", name, strings.Join(Names(), ", "))
		}
	}
	if err != nil {
		return nil, fmt.Errorf("load %q: %w", name, err)
	}
	if err := tomlfile.Parse(file, data, &l); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if err := l.validate(); err != nil {
		return nil, fmt.Errorf("load: %s: %w", file, err)
	}
	return &l, nil
}

// validate checks the load and returns all errors at once.
func (l *Load) validate() error {
	var errs []error
	require := func(ok bool, key, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
		}
	}
	requireSpan := func(key string, s Span) {
		require(s.Low.Duration <= s.High.Duration, key, "low %v is above high %v", s.Low, s.High)
	}
	requireRange := func(key string, r Range, least float64) {
		require(r.Low >= least && r.Low <= r.High, key, "low %v and high %v, want at least %v and low up to high", r.Low, r.High, least)
	}
	require(l.Name != "", "name", "is missing")
	require(l.Relays >= 1 && l.Relays <= 1000, "relays", "%d, want 1 to 1000", l.Relays)
	require(len(l.Zones) >= 1, "zones", "want at least one")
	r := l.Relay
	require(r.Cores > 0, "relay.cores", "%v, want more than 0", r.Cores)
	require(r.Memory.N >= 16<<20, "relay.memory", "%d bytes, want at least 16MiB", r.Memory.N)
	require(r.Disk.N >= 64<<10, "relay.disk", "%d bytes, want at least 64KiB", r.Disk.N)
	require(r.Sockets >= 64, "relay.sockets", "%d, want at least 64", r.Sockets)
	require(r.Slots >= 1, "relay.slots", "%d, want at least 1", r.Slots)
	require(r.MaxHeld >= 1, "relay.hold", "%d, want at least 1", r.MaxHeld)
	require(r.Attempts >= 1, "relay.attempts", "%d, want at least 1", r.Attempts)
	require(r.KeepAlive.Duration > 0, "relay.keep_alive", "has to be above 0")
	require(r.Tick.Duration > 0, "relay.tick", "has to be above 0")
	t := l.Traffic
	require(t.Rate.PerSecond > 0, "traffic.rate", "has to be above 0")
	require(t.Skew >= 0 && t.Skew <= 3, "traffic.skew", "%v, want 0 to 3", t.Skew)
	requireRange("traffic.body", t.Body, 0)
	require(t.Body.High <= 64<<10, "traffic.body", "high %v is above 65536", t.Body.High)
	require(t.Peak >= 1, "traffic.peak", "%v, want at least 1", t.Peak)
	require(t.PeakAfter.Of1+t.PeakFor.Of1 <= 1, "traffic.peak_for", "the peak ends after the trial")
	c := l.Clients
	require(c.AnswerIn.Duration > 0, "clients.answer_in", "has to be above 0")
	require(c.Retries >= 0, "clients.retries", "%d", c.Retries)
	requireSpan("clients.wait", c.Wait)
	requireSpan("clients.again", c.Again)
	requireSpan("network.same", l.Network.Same)
	requireSpan("network.cross", l.Network.Cross)
	requireSpan("agent.notice", l.Agent.Notice)
	require(l.Agent.Renewal.Duration > 0, "agent.renewal", "has to be above 0")
	require(l.Partners.Count >= 1, "partners.count", "%d, want at least 1", l.Partners.Count)
	requireRange("partners.endpoints", l.Partners.Endpoints, 1)
	require(l.Partners.Skew >= 0, "partners.skew", "%v is below 0", l.Partners.Skew)
	require(len(l.Kinds) > 0, "kind", "want at least one")
	totalShare := 0.0
	var kinds []string
	for i, k := range l.Kinds {
		key := fmt.Sprintf("kind %d (%s)", i+1, k.Name)
		require(k.Name != "" && !slices.Contains(kinds, k.Name), key, "its name is missing or not unique")
		kinds = append(kinds, k.Name)
		totalShare += k.Share.Of1
		require(k.PerCall >= 1, key+".per_call", "%d, want at least 1", k.PerCall)
		require(k.Together >= 1 && k.Together <= float64(k.PerCall), key+".together", "%v, want 1 to per_call, %d", k.Together, k.PerCall)
		requireRange(key+".headroom", k.Headroom, 0.1)
		requireRange(key+".spare", k.Spare, 1)
		requireSpan(key+".wait", k.Wait)
		requireSpan(key+".work", k.Work)
		requireSpan(key+".report", k.Report)
		require(k.ColdFrom.Of1 > 0, key+".cold_from", "has to be above 0%%")
	}
	require(len(l.Kinds) == 0 || (totalShare > 0.999 && totalShare < 1.001), "kind", "shares add up to %.1f%%", 100*totalShare)
	require(len(l.Classes) > 0, "class", "want at least one")
	totalShare = 0
	var names []string
	for i, k := range l.Classes {
		key := fmt.Sprintf("class %d (%s)", i+1, k.Name)
		require(k.Name != "" && !slices.Contains(names, k.Name), key, "its name is missing or not unique")
		names = append(names, k.Name)
		totalShare += k.Share.Of1
		require(slices.Contains([]string{"keyed", "unsafe", "safe"}, k.Effect), key+".effect", "%q, want keyed, unsafe or safe", k.Effect)
		require(k.Effect != "keyed" || k.Group == "zone" || k.Group == "all", key+".group", "%q, want zone or all", k.Group)
		require(k.Effect != "keyed" || k.Window.Duration > 0, key+".window", "has to be above 0")
		require(k.Aim.Duration > 0 && k.Aim.Duration <= k.GiveUp.Duration, key+".aim", "%v, want above 0 and up to give_up, %v", k.Aim, k.GiveUp)
		require(k.Worth > 0, key+".worth", "has to be above 0")
		require(k.LateWorth >= 0 && k.LateWorth <= 1, key+".late_worth", "%v, want 0 to 1", k.LateWorth)
		for _, x := range k.Kinds {
			require(slices.Contains(kinds, x), key+".kinds", "%q is no kind", x)
		}
	}
	require(len(l.Classes) == 0 || (totalShare > 0.999 && totalShare < 1.001), "class", "shares add up to %.1f%%", 100*totalShare)
	totalShare = 0
	for _, k := range l.Customers {
		require(k.Name != "", "customer", "a name is missing")
		totalShare += k.Share.Of1
	}
	require(len(l.Customers) > 0 && totalShare > 0.999 && totalShare < 1.001, "customer", "shares add up to %.1f%%", 100*totalShare)
	return errors.Join(errs...)
}

// LongestGiveUp returns the longest give-up time of the classes.
func (l *Load) LongestGiveUp() units.Duration {
	var d units.Duration
	for _, c := range l.Classes {
		d.Duration = max(d.Duration, c.GiveUp.Duration)
	}
	return d
}
