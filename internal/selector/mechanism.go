package selector

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decision that can be switched off, so that what it is worth can be measured.
type Mechanism string

// The mechanisms.
const (
	Affinity        Mechanism = "affinity"         // endpoints are ranked by the prompt's opening
	OpeningHomes    Mechanism = "opening-homes"    // a prompt begins in the region that its opening hashes to
	KeptParts       Mechanism = "kept-parts"       // what this relay had read counts as kept
	SharedOpenings  Mechanism = "shared-openings"  // what other relays had read counts as kept
	FreePlacing     Mechanism = "free-placing"     // an opening that nobody keeps is read wherever that is best
	SharedLoads     Mechanism = "shared-loads"     // what other relays have at engines counts
	SharedSuspicion Mechanism = "shared-suspicion" // overdue answers of other relays count
	Admission       Mechanism = "admission"        // what finds all engines full is refused
	Urgency         Mechanism = "urgency"          // the less urgent are refused first
	LoadedReading   Mechanism = "loaded-reading"   // reading costs more where more requests wait for it
	LearnedSpeed    Mechanism = "learned-speed"    // how fast engines read, from their answers
	LearnedDistance Mechanism = "learned-distance" // the time to other zones, from connecting
	Lateness        Mechanism = "lateness"         // an endpoint that answered late is expected to again
	Pace            Mechanism = "pace"             // calls a second are bounded after a refusal as full
	Skips           Mechanism = "skips"            // failing endpoints are skipped
	ZoneWatch       Mechanism = "zone-watch"       // a silent zone is left as a whole
	Penalty         Mechanism = "penalty"          // failures cost an endpoint in comparisons
	Suspicion       Mechanism = "suspicion"        // an overdue answer costs an endpoint in comparisons
	Prices          Mechanism = "prices"           // bytes between zones and regions cost in comparisons
	KeptConnections Mechanism = "kept-connections" // a connection that is to be opened costs its time and its price
	Waiting         Mechanism = "waiting"          // a request waits for an endpoint instead of being refused at once
	RetrySpread     Mechanism = "retry-spread"     // refused clients come back spread over time
	ColdBound       Mechanism = "cold-bound"       // calls to cold endpoints are bounded (rule FAILBACK)
)

// mechanismUses says of each mechanism what goes without it, in the order of listing.
var mechanismUses = []struct {
	Mechanism
	without string
}{
	{Affinity, "prompts with the same opening meet by chance alone"},
	{OpeningHomes, "each region reads each opening"},
	{KeptParts, "every prompt counts as unread"},
	{SharedOpenings, "what other relays had read is guessed by the ranking"},
	{FreePlacing, "an opening that nobody keeps is read where its hash says"},
	{SharedLoads, "what other relays have at engines is guessed from the own requests"},
	{SharedSuspicion, "each relay finds out by itself what is silent"},
	{Admission, "nothing is refused for overload"},
	{Urgency, "all kinds are refused alike"},
	{LoadedReading, "reading costs the same at an idle engine and at a full one"},
	{LearnedSpeed, "engines are taken to be as fast as the prior says"},
	{LearnedDistance, "zones and regions are taken to be as far as the prior says"},
	{Lateness, "late answers teach nothing of their endpoint"},
	{Pace, "endpoints that refused as full are called as often as before"},
	{Skips, "failing endpoints are called like any other"},
	{ZoneWatch, "a silent zone is left endpoint by endpoint"},
	{Penalty, "failures cost nothing until an endpoint is skipped"},
	{Suspicion, "overdue answers cost nothing until an endpoint is skipped"},
	{Prices, "another region costs nothing but its distance"},
	{KeptConnections, "an endpoint to which a connection is open is chosen like any other"},
	{Waiting, "a request that no endpoint takes now is refused"},
	{RetrySpread, "all refused clients are told the same wait"},
	{ColdBound, "cold endpoints are called like warm ones by their owner; breaks rule FAILBACK"},
}

// Mechanisms lists the names of all mechanisms.
func Mechanisms() []Mechanism {
	var names []Mechanism
	for _, use := range mechanismUses {
		names = append(names, use.Mechanism)
	}
	return names
}

// DescribeMechanisms tells of each mechanism what goes without it, a line each.
func DescribeMechanisms() string {
	var lines []string
	for _, use := range mechanismUses {
		lines = append(lines, fmt.Sprintf("%s: %s", use.Mechanism, use.without))
	}
	return strings.Join(lines, "\n")
}

// UnknownMechanismError says that a name is none of a mechanism.
type UnknownMechanismError struct{ Name string }

// Error names the mechanisms that there are.
func (e *UnknownMechanismError) Error() string {
	return fmt.Sprintf("%q is no mechanism; there are %v", e.Name, Mechanisms())
}

// ParseMechanisms reads names of mechanisms.
func ParseMechanisms(names []string) ([]Mechanism, error) {
	var parsed []Mechanism
	for _, name := range names {
		if !slices.Contains(Mechanisms(), Mechanism(name)) {
			return nil, &UnknownMechanismError{Name: name}
		}
		parsed = append(parsed, Mechanism(name))
	}
	return parsed, nil
}

// mechanismSet is the mechanisms that are switched off.
type mechanismSet map[Mechanism]bool

func newMechanismSet(disabled []Mechanism) mechanismSet {
	set := make(mechanismSet, len(disabled))
	for _, mechanism := range disabled {
		set[mechanism] = true
	}
	return set
}

// on tells whether a mechanism works.
func (s *Selector) on(mechanism Mechanism) bool {
	return len(s.disabled) == 0 || !s.disabled[mechanism]
}
