package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"
)

// Verdict is what became of an order.
type Verdict struct {
	Accepted bool   // the state changed
	Status   int    // of the answer
	Message  string // for the operator
}

// ApplyOrder gives an order to the state and returns the state after it, which is the same one where nothing changed.
//
// A change of the configuration that is exactly one of the last that were taken is answered 200 again, whatever came since. Without
// If-Match it is answered 400, with one that isn't the current version 412, when it is invalid or its version isn't higher than the
// current one 400. A PATCH before the first configuration applies to an empty one. Evacuations are
// idempotent and answered 200, but for those that come late, which are answered 503; whether there is such a zone is checked elsewhere.
func (s *State) ApplyOrder(order Order) (*State, Verdict) {
	switch order.Kind {
	case Put, Patch:
		return s.applyChange(order)
	}
	if order.Zone == "" || !utf8.ValidString(order.Zone) {
		return s, refused(http.StatusBadRequest, fmt.Sprintf("%q is no name of a zone", order.Zone))
	}
	switch order.Kind {
	case Evacuate:
		return s.applyEvacuation(order)
	case Restore:
		return s.applyRestoration(order)
	}
	return s, refused(http.StatusBadRequest, order.Kind.String())
}

func (s *State) applyChange(order Order) (*State, Verdict) {
	sum := order.digest()
	if slices.Contains(s.taken, sum) {
		return s, Verdict{Status: http.StatusOK, Message: "taken before"}
	}
	if !order.HasMatch {
		return s, refused(http.StatusBadRequest, "If-Match is missing")
	}
	if order.Match != s.generation {
		return s, refused(http.StatusPreconditionFailed, fmt.Sprintf("version %d is current", s.generation))
	}
	text, read, err := s.newDocument(order)
	if err != nil {
		return s, refused(http.StatusBadRequest, err.Error())
	}
	generation := read.document.Generation
	if generation <= s.generation {
		reason := fmt.Sprintf("/generation: %d: must be above %d", generation, s.generation)
		return s, refused(http.StatusBadRequest, reason)
	}
	next := s.next()
	next.generation = generation
	next.document = text
	next.parsed = read
	next.taken = remember(s.taken, sum)
	return next, accepted(fmt.Sprintf("version %d", generation))
}

// newDocument returns the whole document that an order asks for, checked, as text and as read.
func (s *State) newDocument(order Order) ([]byte, *parsed, error) {
	text, err := s.newText(order)
	if err != nil {
		return nil, nil, err
	}
	document, index, err := readAfter(text, s.knownItems(), checkText)
	if err != nil {
		return nil, nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, nil, err
	}
	return text, newParsed(document, index), nil
}

// newText returns the text of the whole document that an order asks for, which is JSON.
func (s *State) newText(order Order) ([]byte, error) {
	if order.Kind == Patch {
		return ApplyTrustedPatch(s.documentToPatch(), order.Body)
	}
	return order.Body, checkSyntax(order.Body)
}

func (s *State) documentToPatch() []byte {
	if s.document == nil {
		return []byte(emptyDocument)
	}
	return s.document
}

func (s *State) applyEvacuation(order Order) (*State, Verdict) {
	at, found := s.findEvacuation(order.Zone)
	if found {
		return s, Verdict{Status: http.StatusOK, Message: "evacuated before"}
	}
	if verdict, late := s.checkLate(order); late {
		return s, verdict
	}
	next := s.next()
	next.evacuated = slices.Insert(slices.Clone(s.evacuated), at, Evacuation{Zone: order.Zone, Revision: next.changes})
	next.restored = withoutZone(s.restored, order.Zone)
	return next, accepted("evacuated")
}

func (s *State) applyRestoration(order Order) (*State, Verdict) {
	at, found := s.findEvacuation(order.Zone)
	if !found {
		return s, Verdict{Status: http.StatusOK, Message: "not evacuated"}
	}
	if verdict, late := s.checkLate(order); late {
		return s, verdict
	}
	next := s.next()
	next.evacuated = slices.Delete(slices.Clone(s.evacuated), at, at+1)
	next.restored = append(withoutZone(s.restored, order.Zone), Restoration{Zone: order.Zone, Revision: next.changes})
	slices.SortFunc(next.restored, func(a, b Restoration) int { return strings.Compare(a.Zone, b.Zone) })
	return next, accepted("taken back")
}

// checkLate turns down an order about a zone that was taken in before another one about the zone was known there: it may have been on its
// way for long, and the operator has gone on since. One who still means it asks again.
func (s *State) checkLate(order Order) (Verdict, bool) {
	changed := s.zoneChangedAt(order.Zone)
	if !order.HasKnown || order.Known >= changed {
		return Verdict{}, false
	}
	reason := fmt.Sprintf("zone %s was changed by change %d, and this order knew of %d", order.Zone, changed, order.Known)
	return refused(http.StatusServiceUnavailable, reason), true
}

// withoutZone returns a copy of the list without a zone.
func withoutZone(list []Restoration, zone string) []Restoration {
	return slices.DeleteFunc(slices.Clone(list), func(r Restoration) bool { return r.Zone == zone })
}

// remember returns a copy of the list with one more digest at its end, and without the oldest where it grows too long.
func remember(taken []digest, sum digest) []digest {
	first := max(0, len(taken)+1-rememberedOrders)
	return append(slices.Clone(taken[first:]), sum)
}

func accepted(message string) Verdict {
	return Verdict{Accepted: true, Status: http.StatusOK, Message: message}
}

func refused(status int, message string) Verdict {
	return Verdict{Status: status, Message: message}
}
