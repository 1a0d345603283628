package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"
)

// Verdict is the outcome of an order.
type Verdict struct {
	Accepted bool   // whether the order changed the state
	Status   int    // HTTP status of the answer
	Message  string // text for the operator
}

// ApplyOrder applies an order and returns the resulting state and the verdict. If nothing changes, it returns s itself.
//
// A configuration change is answered as follows, and the first rule that fits applies:
//   - 200 if it is identical to one of the last accepted changes, whatever was accepted since;
//   - 400 without If-Match;
//   - 412 if If-Match is not the current version;
//   - 400 if the resulting document is invalid or its version is not higher than the current one.
//
// A PATCH before the first configuration applies to an empty document. Orders about zones are idempotent and answered 200, except for
// stale ones, which are answered 503. The caller checks whether the zone exists.
func (s *State) ApplyOrder(order Order) (*State, Verdict) {
	switch order.Kind {
	case Put, Patch:
		return s.applyChange(order)
	}
	if order.Zone == "" || !utf8.ValidString(order.Zone) {
		return s, refusedVerdict(http.StatusBadRequest, fmt.Sprintf("%q is no name of a zone", order.Zone))
	}
	switch order.Kind {
	case Evacuate:
		return s.applyEvacuation(order)
	case Restore:
		return s.applyRestoration(order)
	}
	return s, refusedVerdict(http.StatusBadRequest, order.Kind.String())
}

func (s *State) applyChange(order Order) (*State, Verdict) {
	sum := order.digest()
	if slices.Contains(s.acceptedDigests, sum) {
		return s, Verdict{Status: http.StatusOK, Message: "taken before"}
	}
	if !order.HasMatch {
		return s, refusedVerdict(http.StatusBadRequest, "If-Match is missing")
	}
	if order.Match != s.generation {
		return s, refusedVerdict(http.StatusPreconditionFailed, fmt.Sprintf("version %d is current", s.generation))
	}
	text, parsed, err := s.buildDocument(order)
	if err != nil {
		return s, refusedVerdict(http.StatusBadRequest, err.Error())
	}
	generation := parsed.document.Generation
	if generation <= s.generation {
		reason := fmt.Sprintf("/generation: %d: must be above %d", generation, s.generation)
		return s, refusedVerdict(http.StatusBadRequest, reason)
	}
	next := s.cloneForChange()
	next.generation = generation
	next.document = text
	next.parsed = parsed
	next.acceptedDigests = appendDigest(s.acceptedDigests, sum)
	return next, acceptedVerdict(fmt.Sprintf("version %d", generation))
}

// buildDocument returns the complete document that results from an order, as text and as parsed and validated.
func (s *State) buildDocument(order Order) ([]byte, *parsedDocument, error) {
	text, err := s.buildDocumentText(order)
	if err != nil {
		return nil, nil, err
	}
	document, index, err := parseReusingItems(text, s.knownItems(), checkNumbersAndSchema)
	if err != nil {
		return nil, nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, nil, err
	}
	return text, newParsedDocument(document, index), nil
}

// buildDocumentText returns the complete document that results from an order as syntactically valid JSON.
func (s *State) buildDocumentText(order Order) ([]byte, error) {
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
	index, found := s.findEvacuation(order.Zone)
	if found {
		return s, Verdict{Status: http.StatusOK, Message: "evacuated before"}
	}
	if verdict, stale := s.refuseStaleZoneOrder(order); stale {
		return s, verdict
	}
	next := s.cloneForChange()
	next.evacuated = slices.Insert(slices.Clone(s.evacuated), index, Evacuation{Zone: order.Zone, Revision: next.changes})
	next.restored = removeZone(s.restored, order.Zone)
	return next, acceptedVerdict("evacuated")
}

func (s *State) applyRestoration(order Order) (*State, Verdict) {
	index, found := s.findEvacuation(order.Zone)
	if !found {
		return s, Verdict{Status: http.StatusOK, Message: "not evacuated"}
	}
	if verdict, stale := s.refuseStaleZoneOrder(order); stale {
		return s, verdict
	}
	next := s.cloneForChange()
	next.evacuated = slices.Delete(slices.Clone(s.evacuated), index, index+1)
	next.restored = append(removeZone(s.restored, order.Zone), Restoration{Zone: order.Zone, Revision: next.changes})
	slices.SortFunc(next.restored, func(a, b Restoration) int { return strings.Compare(a.Zone, b.Zone) })
	return next, acceptedVerdict("taken back")
}

// refuseStaleZoneOrder refuses an order about a zone if the process that received it did not yet know the zone's last change. Such an
// order may have been delayed for a long time, and the operator may have decided otherwise since. An operator who still wants it
// sends it again. The second result is false if the order is not stale.
func (s *State) refuseStaleZoneOrder(order Order) (Verdict, bool) {
	lastChange := s.lastZoneRevision(order.Zone)
	if !order.HasKnownChanges || order.KnownChanges >= lastChange {
		return Verdict{}, false
	}
	reason := fmt.Sprintf("zone %s was changed by change %d, and this order knew of %d", order.Zone, lastChange, order.KnownChanges)
	return refusedVerdict(http.StatusServiceUnavailable, reason), true
}

// removeZone returns a copy of the list without the entry of a zone.
func removeZone(list []Restoration, zone string) []Restoration {
	return slices.DeleteFunc(slices.Clone(list), func(r Restoration) bool { return r.Zone == zone })
}

// appendDigest returns a copy of the list with sum appended. It drops the oldest digest once there are more than maxRememberedOrders.
func appendDigest(digests []digest, sum digest) []digest {
	first := max(0, len(digests)+1-maxRememberedOrders)
	return append(slices.Clone(digests[first:]), sum)
}

func acceptedVerdict(message string) Verdict {
	return Verdict{Accepted: true, Status: http.StatusOK, Message: message}
}

func refusedVerdict(status int, message string) Verdict {
	return Verdict{Status: status, Message: message}
}
