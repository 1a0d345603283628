package selector

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decision that can be switched off, so that its effect can be measured.
type Mechanism string

// The mechanisms. Their values are the names used in settings and flags. "Opening" stands for prompt prefix there,
// "reading" for prefill, and "kept" for cached or, with connections, open.
const (
	PrefixAffinity  Mechanism = "affinity"         // endpoints are ranked by the hash of the prompt prefix
	PrefixHomes     Mechanism = "opening-homes"    // a prompt is first tried in the region that its prefix hashes to
	CachedParts     Mechanism = "kept-parts"       // prompts that this relay sent to an engine count as cached there
	SharedPrefixes  Mechanism = "shared-openings"  // prefixes that other relays sent to an engine count as cached there
	FreePlacement   Mechanism = "free-placing"     // a prefix that no endpoint caches is prefilled wherever that costs least
	SharedLoads     Mechanism = "shared-loads"     // the load of other relays at engines counts
	SharedSuspicion Mechanism = "shared-suspicion" // answers overdue at other relays count
	Admission       Mechanism = "admission"        // requests are held or refused when all engines are full
	Urgency         Mechanism = "urgency"          // less urgent requests are refused first
	LoadedPrefill   Mechanism = "loaded-reading"   // prefill costs more at engines with more requests, since it delays them
	LearnedSpeed    Mechanism = "learned-speed"    // the prefill rate of engines is learned from their answers
	LearnedDistance Mechanism = "learned-distance" // round trips to zones are learned from connect times
	Lateness        Mechanism = "lateness"         // an endpoint that answered late is expected to do so again
	Pacing          Mechanism = "pace"             // the send rate to an endpoint is bounded after it answered that it is full
	Skips           Mechanism = "skips"            // failing endpoints are skipped for a time
	ZoneWatch       Mechanism = "zone-watch"       // a silent zone is avoided as a whole
	Penalty         Mechanism = "penalty"          // recent failures raise the cost of an endpoint
	Suspicion       Mechanism = "suspicion"        // an overdue answer raises the cost of an endpoint
	PlacementCosts  Mechanism = "prices"           // bytes sent between zones and regions, and cold endpoints, have a cost
	OpenConnections Mechanism = "kept-connections" // opening a connection has a cost, so open ones are preferred
	Waiting         Mechanism = "waiting"          // a request waits for an endpoint instead of being refused at once
	RetrySpread     Mechanism = "retry-spread"     // the wait advised to refused clients is jittered
	ColdBound       Mechanism = "cold-bound"       // the send rate to cold endpoints is bounded (rule FAILBACK of the specification)
)

// mechanismDescriptions says for each mechanism what happens without it, in the order of listing.
var mechanismDescriptions = []struct {
	Mechanism
	without string
}{
	{PrefixAffinity, "requests with the same prompt prefix reach the same endpoint only by chance"},
	{PrefixHomes, "each region prefills each prompt prefix"},
	{CachedParts, "every prompt counts as not cached"},
	{SharedPrefixes, "prefixes that other relays sent to engines are predicted by the ranking alone"},
	{FreePlacement, "a prefix that no endpoint caches is prefilled where its hash maps to"},
	{SharedLoads, "the load of other relays at engines is estimated from this relay's own requests"},
	{SharedSuspicion, "each relay has to detect silent endpoints by itself"},
	{Admission, "nothing is refused for overload"},
	{Urgency, "requests of all priorities are refused alike"},
	{LoadedPrefill, "prefill costs the same at an idle engine and at a full one"},
	{LearnedSpeed, "engines are assumed to be as fast as the prior says"},
	{LearnedDistance, "round trips to zones and regions are assumed to be as the prior says"},
	{Lateness, "late answers do not change the estimates for their endpoint"},
	{Pacing, "endpoints that answered that they are full are called as often as before"},
	{Skips, "failing endpoints are called like any other"},
	{ZoneWatch, "a silent zone is detected endpoint by endpoint"},
	{Penalty, "failures cost nothing until an endpoint is skipped"},
	{Suspicion, "overdue answers cost nothing until an endpoint is skipped"},
	{PlacementCosts, "another region costs nothing but its round trip"},
	{OpenConnections, "endpoints with an open connection are not preferred"},
	{Waiting, "a request that no endpoint admits now is refused"},
	{RetrySpread, "all refused clients are advised the same wait"},
	{ColdBound, "owners call cold endpoints like warm ones; violates rule FAILBACK"},
}

// Mechanisms lists the names of all mechanisms.
func Mechanisms() []Mechanism {
	var names []Mechanism
	for _, description := range mechanismDescriptions {
		names = append(names, description.Mechanism)
	}
	return names
}

// DescribeMechanisms returns a line for each mechanism that says what happens without it.
func DescribeMechanisms() string {
	var lines []string
	for _, description := range mechanismDescriptions {
		lines = append(lines, fmt.Sprintf("%s: %s", description.Mechanism, description.without))
	}
	return strings.Join(lines, "\n")
}

// UnknownMechanismError is returned for a name that is not a mechanism.
type UnknownMechanismError struct{ Name string }

// Error implements error. It lists the known mechanisms.
func (e *UnknownMechanismError) Error() string {
	return fmt.Sprintf("unknown mechanism %q; known mechanisms: %v", e.Name, Mechanisms())
}

// ParseMechanisms converts names to mechanisms.
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

// mechanismSet holds the mechanisms that are switched off.
type mechanismSet map[Mechanism]bool

func newMechanismSet(disabled []Mechanism) mechanismSet {
	set := make(mechanismSet, len(disabled))
	for _, mechanism := range disabled {
		set[mechanism] = true
	}
	return set
}

// enabled reports whether a mechanism is switched on.
func (s *Selector) enabled(mechanism Mechanism) bool {
	return len(s.disabled) == 0 || !s.disabled[mechanism]
}
