// Package load describes what a trial's fleet is and what goes through it: relays, partners, clients, classes and the
// network between them, with each setting's unit beside it. A description is a file; what a trial then draws from it
// depends on the seed alone.
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
var shipped embed.FS

// Span is a range from which a value is drawn evenly.
type Span struct{ Low, High units.Duration }

// Range is a span of plain figures.
type Range struct{ Low, High float64 }

// Load is a fleet and its traffic.
type Load struct {
	Name  string
	About string

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

// Relay is what each relay is given.
type Relay struct {
	Cores     float64
	Memory    units.Bytes
	Sockets   int
	Disk      units.Bytes
	Slots     int // calls out at once
	Open      int `toml:"hold"` // messages held at once
	Attempts  int
	KeepAlive units.Duration `toml:"keep_alive"`
	Tick      units.Duration
}

// Traffic is what clients hand in, over all relays.
type Traffic struct {
	Rate      units.Rate
	Skew      float64        // exponent by which relays' parts of it differ; 0: all the same
	Body      Range          // bytes
	Clumps    units.Share    // of the messages that come in clumps for one destination
	Clump     units.Duration // a clump is as many as its destination takes in so long
	Peak      float64        // how much more comes in the peak; 1: none
	PeakAfter units.Share    `toml:"peak_after"` // of the trial
	PeakFor   units.Share    `toml:"peak_for"`
}

// Clients is how they behave.
type Clients struct {
	AnswerIn units.Duration `toml:"answer_in"` // they wait no longer
	Retries  int            // after refusals
	Wait     Span           // before one, doubled each time
	Heed     units.Share    // who wait as long as they were told
	Again    Span           // before handing in again what was not answered
	Leave    units.Share    // hand-ins whose client leaves before the answer
}

// Network is between relays and partners.
type Network struct {
	Same, Cross Span // one way, inside a zone and between two
	Jitter      units.Share
}

// Agent is the platform's discovery.
type Agent struct {
	Notice  Span // until a relay is told a change
	Moves   bool // relays are told another address at times
	Renewal units.Duration
}

// Partners are those delivered to.
type Partners struct {
	Count     int
	Endpoints Range
	Skew      float64 // exponent by which their traffic differs
}

// Kind is one kind of partner.
type Kind struct {
	Name     string
	Share    units.Share // of the partners, those with the most traffic first
	PerCall  int         `toml:"per_call"` // messages
	Together float64     // messages that usually share a call, by which the limit is reckoned
	Separate bool        // each endpoint has a limit of its own
	Window   units.Duration
	Headroom Range       // limit over the calls that its part of the traffic makes
	Least    units.Rate  // and no limit is below
	Spare    Range       // what it can do, over its limit
	Tells    units.Share // refusals that tell a wait
	Wait     Span
	Counted  bool // refused calls use up the limit
	Conns    int  // open at once; 0: any number
	Work     Span // usual time for a message
	Item     units.Share
	Errors   units.Share
	ColdFrom units.Share    `toml:"cold_from"`
	ColdFor  units.Duration `toml:"cold_for"`
	Report   Span           // between refreshes of what its answers tell
}

// Class is one class of message.
type Class struct {
	Name      string
	Share     units.Share
	Effect    string // keyed, unsafe or safe
	Group     string // keyed: zone or all
	Window    units.Duration
	Aim       units.Duration
	GiveUp    units.Duration `toml:"give_up"`
	Worth     float64
	LateWorth float64 `toml:"late_worth"`
	Kinds     []string
}

// Customer is one customer.
type Customer struct {
	Name  string
	Share units.Share
}

// Names are the loads that the program ships.
func Names() []string {
	files, err := fs.Glob(shipped, "loads/*.toml")
	if err != nil {
		panic(err) // the pattern is a constant
	}
	for i, f := range files {
		files[i] = strings.TrimSuffix(path.Base(f), ".toml")
	}
	return files
}

// Open reads a load: one that is shipped, by its name, or else a file.
func Open(name string) (*Load, error) {
	var l Load
	file := path.Join("loads", name+".toml")
	data, err := shipped.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrInvalid) {
		file = name
		if data, err = os.ReadFile(name); errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("load %q: neither shipped (there are %s) nor a file", name, strings.Join(Names(), ", "))
		}
	}
	if err != nil {
		return nil, fmt.Errorf("load %q: %w", name, err)
	}
	if err := tomlfile.Parse(file, data, &l); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if err := l.check(); err != nil {
		return nil, fmt.Errorf("load: %s: %w", file, err)
	}
	return &l, nil
}

// check looks whether a trial can be played with l; all that is wrong is told at once.
func (l *Load) check() error {
	var all []error
	need := func(ok bool, key, format string, args ...any) {
		if !ok {
			all = append(all, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
		}
	}
	span := func(key string, s Span) {
		need(s.Low.Duration <= s.High.Duration, key, "low %v is above high %v", s.Low, s.High)
	}
	figures := func(key string, r Range, least float64) {
		need(r.Low >= least && r.Low <= r.High, key, "low %v and high %v, wanted are %v or more, low first", r.Low, r.High, least)
	}
	need(l.Name != "", "name", "is missing")
	need(l.Relays >= 1 && l.Relays <= 1000, "relays", "%d, wanted are 1 to 1000", l.Relays)
	need(len(l.Zones) >= 1, "zones", "there are none")
	r := l.Relay
	need(r.Cores > 0, "relay.cores", "%v, wanted is more than 0", r.Cores)
	need(r.Memory.N >= 16<<20, "relay.memory", "%d bytes, wanted are 16MiB at least", r.Memory.N)
	need(r.Disk.N >= 64<<10, "relay.disk", "%d bytes, wanted are 64KiB at least", r.Disk.N)
	need(r.Sockets >= 64, "relay.sockets", "%d, wanted are 64 at least", r.Sockets)
	need(r.Slots >= 1, "relay.slots", "%d, wanted is 1 at least", r.Slots)
	need(r.Open >= 1, "relay.hold", "%d, wanted is 1 at least", r.Open)
	need(r.Attempts >= 1, "relay.attempts", "%d, wanted is 1 at least", r.Attempts)
	need(r.KeepAlive.Duration > 0, "relay.keep_alive", "has to be above 0")
	need(r.Tick.Duration > 0, "relay.tick", "has to be above 0")
	t := l.Traffic
	need(t.Rate.PerSecond > 0, "traffic.rate", "has to be above 0")
	need(t.Skew >= 0 && t.Skew <= 3, "traffic.skew", "%v, wanted is 0 to 3", t.Skew)
	figures("traffic.body", t.Body, 0)
	need(t.Body.High <= 64<<10, "traffic.body", "high %v is above 65536", t.Body.High)
	need(t.Peak >= 1, "traffic.peak", "%v, wanted is 1 or more", t.Peak)
	need(t.PeakAfter.Of1+t.PeakFor.Of1 <= 1, "traffic.peak_for", "the peak ends after the trial")
	c := l.Clients
	need(c.AnswerIn.Duration > 0, "clients.answer_in", "has to be above 0")
	need(c.Retries >= 0, "clients.retries", "%d", c.Retries)
	span("clients.wait", c.Wait)
	span("clients.again", c.Again)
	span("network.same", l.Network.Same)
	span("network.cross", l.Network.Cross)
	span("agent.notice", l.Agent.Notice)
	need(l.Agent.Renewal.Duration > 0, "agent.renewal", "has to be above 0")
	need(l.Partners.Count >= 1, "partners.count", "%d, wanted is 1 at least", l.Partners.Count)
	figures("partners.endpoints", l.Partners.Endpoints, 1)
	need(l.Partners.Skew >= 0, "partners.skew", "%v is below 0", l.Partners.Skew)
	need(len(l.Kinds) > 0, "kind", "there is none")
	whole := 0.0
	var kinds []string
	for i, k := range l.Kinds {
		at := fmt.Sprintf("kind %d (%s)", i+1, k.Name)
		need(k.Name != "" && !slices.Contains(kinds, k.Name), at, "its name is missing or another's")
		kinds = append(kinds, k.Name)
		whole += k.Share.Of1
		need(k.PerCall >= 1, at+".per_call", "%d, wanted is 1 at least", k.PerCall)
		need(k.Together >= 1 && k.Together <= float64(k.PerCall), at+".together", "%v, wanted is 1 to per_call, %d", k.Together, k.PerCall)
		figures(at+".headroom", k.Headroom, 0.1)
		figures(at+".spare", k.Spare, 1)
		span(at+".wait", k.Wait)
		span(at+".work", k.Work)
		span(at+".report", k.Report)
		need(k.ColdFrom.Of1 > 0, at+".cold_from", "has to be above 0%%")
	}
	need(len(l.Kinds) == 0 || (whole > 0.999 && whole < 1.001), "kind", "shares add up to %.1f%%", 100*whole)
	need(len(l.Classes) > 0, "class", "there is none")
	whole = 0
	var names []string
	for i, k := range l.Classes {
		at := fmt.Sprintf("class %d (%s)", i+1, k.Name)
		need(k.Name != "" && !slices.Contains(names, k.Name), at, "its name is missing or another's")
		names = append(names, k.Name)
		whole += k.Share.Of1
		need(slices.Contains([]string{"keyed", "unsafe", "safe"}, k.Effect), at+".effect", "%q, wanted is keyed, unsafe or safe", k.Effect)
		need(k.Effect != "keyed" || k.Group == "zone" || k.Group == "all", at+".group", "%q, wanted is zone or all", k.Group)
		need(k.Effect != "keyed" || k.Window.Duration > 0, at+".window", "has to be above 0")
		need(k.Aim.Duration > 0 && k.Aim.Duration <= k.GiveUp.Duration, at+".aim", "%v, wanted is above 0 and up to give_up, %v", k.Aim, k.GiveUp)
		need(k.Worth > 0, at+".worth", "has to be above 0")
		need(k.LateWorth >= 0 && k.LateWorth <= 1, at+".late_worth", "%v, wanted is 0 to 1", k.LateWorth)
		for _, x := range k.Kinds {
			need(slices.Contains(kinds, x), at+".kinds", "%q is no kind", x)
		}
	}
	need(len(l.Classes) == 0 || (whole > 0.999 && whole < 1.001), "class", "shares add up to %.1f%%", 100*whole)
	whole = 0
	for _, k := range l.Customers {
		need(k.Name != "", "customer", "a name is missing")
		whole += k.Share.Of1
	}
	need(len(l.Customers) > 0 && whole > 0.999 && whole < 1.001, "customer", "shares add up to %.1f%%", 100*whole)
	return errors.Join(all...)
}

// Longest is the longest time that a message has.
func (l *Load) Longest() units.Duration {
	var d units.Duration
	for _, c := range l.Classes {
		d.Duration = max(d.Duration, c.GiveUp.Duration)
	}
	return d
}
