package config

import (
	"slices"
	"strings"
	"sync"
)

// rememberedOrders is how many of the newest orders taken are known again when they come once more: at ten changes a second those of
// more than three minutes, in 32 KiB.
const rememberedOrders = 2048

// State is what the operator's orders have led to: the configuration and the evacuated zones. It never changes; an order that is
// taken leads to a new State. The same orders in the same order lead to the same bytes on every machine.
type State struct {
	generation uint64
	document   []byte
	changes    uint64
	evacuated  []Evacuation // in order of the name
	restored   []Restoration
	taken      []digest // the oldest first

	parsed *parsed // of the document; nil before the first; states with the same document share it
}

// Evacuation is a zone that nothing is to be sent to.
type Evacuation struct {
	Zone     string
	Revision uint64 // what Changes was just after it
}

// Restoration is a zone that was evacuated and taken back.
type Restoration struct {
	Zone     string
	Revision uint64 // what Changes was just after it
}

// EmptyState is the state before the first order.
func EmptyState() *State { return &State{} }

// Generation is the version of the current configuration; 0 before the first.
func (s *State) Generation() uint64 { return s.generation }

// Document is the JSON of the current configuration; nil before the first. It must not be changed.
func (s *State) Document() []byte { return s.document }

// Changes counts the orders that changed the state.
func (s *State) Changes() uint64 { return s.changes }

// Evacuated returns the zones that nothing is to be sent to, in order of the name.
func (s *State) Evacuated() []string {
	zones := make([]string, 0, len(s.evacuated))
	for _, evacuation := range s.evacuated {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

// findEvacuation is the place of a zone among those that are evacuated, or the one where it would be.
func (s *State) findEvacuation(zone string) (at int, found bool) {
	return slices.BinarySearchFunc(s.evacuated, zone, func(e Evacuation, zone string) int { return strings.Compare(e.Zone, zone) })
}

// zoneChangedAt is what Changes was just after the newest order that changed a zone; 0: none did, as far as is remembered.
func (s *State) zoneChangedAt(zone string) uint64 {
	if at, found := s.findEvacuation(zone); found {
		return s.evacuated[at].Revision
	}
	for _, restoration := range s.restored {
		if restoration.Zone == zone {
			return restoration.Revision
		}
	}
	return 0
}

// IsEvacuated tells whether nothing is to be sent to a zone.
func (s *State) IsEvacuated(zone string) bool {
	_, found := s.findEvacuation(zone)
	return found
}

// Restored returns the zones whose evacuation was taken back last, in order of the name. It must not be changed.
func (s *State) Restored() []Restoration { return s.restored }

// Compiled returns the configuration made ready for look-ups; nil before the first. It is made at the first call.
func (s *State) Compiled() *Compiled {
	if s.parsed == nil {
		return nil
	}
	return s.parsed.compiled()
}

// next returns a copy for the state after one more change.
func (s *State) next() *State {
	next := *s
	next.changes++
	return &next
}

// parsed is a document as it was read, and what is made of it at the first need.
type parsed struct {
	document *Document
	index    *itemIndex
	compiled func() *Compiled
}

func newParsed(document *Document, index *itemIndex) *parsed {
	compile := func() *Compiled { return Compile(document) }
	return &parsed{document: document, index: index, compiled: sync.OnceValue(compile)}
}

// knownItems returns the items that were checked and read before.
func (s *State) knownItems() *itemIndex {
	if s.parsed == nil {
		return newItemIndex()
	}
	return s.parsed.index
}
