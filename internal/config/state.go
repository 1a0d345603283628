package config

import (
	"slices"
	"strings"
	"sync"
)

// maxRememberedOrders is the number of accepted configuration changes whose digests are kept, so that a repeated one is recognized. At
// ten changes per second they cover more than three minutes, in 32 KiB.
const maxRememberedOrders = 2048

// State is the result of the operator's orders: the configuration and the evacuated zones. It is immutable: an accepted order creates
// a new State. The same sequence of orders results in the same encoded bytes on every machine.
type State struct {
	generation      uint64
	document        []byte
	changes         uint64
	evacuated       []Evacuation   // sorted by zone
	restored        []Restoration  // sorted by zone
	confirmed       []Confirmation // sorted by zone
	acceptedDigests []digest       // of configuration changes, oldest first

	parsed *parsedDocument // of document; nil before the first configuration; shared by states with the same document
}

// Evacuation is a zone whose endpoints get no new requests.
type Evacuation struct {
	Zone     string
	Revision uint64 // State.Changes immediately after the order
}

// Restoration is a zone whose evacuation has ended.
type Restoration struct {
	Zone     string
	Revision uint64 // State.Changes immediately after the order
}

// Confirmation is the newest order about a zone, if it found the zone as it wanted it: evacuated or not. It is recorded because it was
// acknowledged, so that no older order that is delayed may change the zone after it.
type Confirmation struct {
	Zone     string
	Revision uint64 // State.Changes immediately after the order
}

// EmptyState returns the state before the first order.
func EmptyState() *State { return &State{} }

// Generation returns the version of the current configuration, or 0 before the first.
func (s *State) Generation() uint64 { return s.generation }

// Document returns the JSON text of the current configuration, or nil before the first. It must not be changed.
func (s *State) Document() []byte { return s.document }

// Changes returns the number of orders that were accepted.
func (s *State) Changes() uint64 { return s.changes }

// Evacuated returns the names of the evacuated zones, sorted.
func (s *State) Evacuated() []string {
	zones := make([]string, 0, len(s.evacuated))
	for _, evacuation := range s.evacuated {
		zones = append(zones, evacuation.Zone)
	}
	return zones
}

// findEvacuation returns the index of a zone in the list of evacuated zones, or the index at which to insert it.
func (s *State) findEvacuation(zone string) (index int, found bool) {
	return slices.BinarySearchFunc(s.evacuated, zone, func(e Evacuation, zone string) int { return strings.Compare(e.Zone, zone) })
}

// findConfirmation returns the index of a zone in the list of confirmed zones, or the index at which to insert it.
func (s *State) findConfirmation(zone string) (index int, found bool) {
	return slices.BinarySearchFunc(s.confirmed, zone, func(c Confirmation, zone string) int { return strings.Compare(c.Zone, zone) })
}

// lastZoneRevision returns State.Changes immediately after the last acknowledged order about a zone, or 0 if none is recorded.
func (s *State) lastZoneRevision(zone string) uint64 {
	if index, found := s.findConfirmation(zone); found {
		return s.confirmed[index].Revision
	}
	if index, found := s.findEvacuation(zone); found {
		return s.evacuated[index].Revision
	}
	for _, restoration := range s.restored {
		if restoration.Zone == zone {
			return restoration.Revision
		}
	}
	return 0
}

// IsEvacuated reports whether a zone is evacuated.
func (s *State) IsEvacuated(zone string) bool {
	_, found := s.findEvacuation(zone)
	return found
}

// Restored returns the zones that were evacuated and whose last order was to restore them, sorted by name. It must not be changed.
func (s *State) Restored() []Restoration { return s.restored }

// Compiled returns the configuration indexed for look-ups, or nil before the first. It is compiled on the first call.
func (s *State) Compiled() *Compiled {
	if s.parsed == nil {
		return nil
	}
	return s.parsed.compiled()
}

// cloneForChange returns a copy of the state whose number of changes is one higher.
func (s *State) cloneForChange() *State {
	next := *s
	next.changes++
	return &next
}

// parsedDocument is a document with the index of its items, and its compiled form, which is created on first use.
type parsedDocument struct {
	document *Document
	index    *itemIndex
	compiled func() *Compiled
}

func newParsedDocument(document *Document, index *itemIndex) *parsedDocument {
	compile := func() *Compiled { return Compile(document) }
	return &parsedDocument{document: document, index: index, compiled: sync.OnceValue(compile)}
}

// knownItems returns the items of the current document.
func (s *State) knownItems() *itemIndex {
	if s.parsed == nil {
		return newItemIndex()
	}
	return s.parsed.index
}
