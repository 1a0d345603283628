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
	Accepted bool   // whether the order is recorded in the resulting state
	Status   int    // HTTP status of the answer
	Message  string // text for the operator
	// Revision is State.Changes immediately after an order about a zone if it was accepted, and after the order that made it stale if it
	// is stale. Otherwise it is 0.
	Revision uint64
}

// ApplyOrder applies an order and returns the resulting state and the verdict. If the order is not accepted, it returns s itself.
//
// A configuration change is answered as follows, and the first rule that fits applies:
//   - 200 if it is identical to one of the last accepted changes, whatever was accepted since;
//   - 400 without If-Match;
//   - 412 if If-Match is not the current version;
//   - 400 if the resulting document is invalid or its version is not higher than the current one.
//
// A PATCH before the first configuration applies to an empty document. Orders about zones are idempotent and answered 200, except for
// stale ones that would change the zone, which are answered 503. One that finds the zone as it wants it is recorded all the same, so
// that it makes older orders stale. The caller checks whether the zone exists.
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
	return next, Verdict{Accepted: true, Status: http.StatusOK, Message: fmt.Sprintf("version %d", generation)}
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
		return s.confirm(order.Zone, "evacuated before")
	}
	if verdict, stale := s.refuseStaleZoneOrder(order); stale {
		return s, verdict
	}
	next := s.cloneForChange()
	next.evacuated = slices.Insert(slices.Clone(s.evacuated), index, Evacuation{Zone: order.Zone, Revision: next.changes})
	next.restored = removeZone(s.restored, order.Zone)
	next.confirmed = s.withoutConfirmation(order.Zone)
	return next, next.zoneVerdict("evacuated")
}

func (s *State) applyRestoration(order Order) (*State, Verdict) {
	index, found := s.findEvacuation(order.Zone)
	if !found {
		return s.confirm(order.Zone, "not evacuated")
	}
	if verdict, stale := s.refuseStaleZoneOrder(order); stale {
		return s, verdict
	}
	next := s.cloneForChange()
	next.evacuated = slices.Delete(slices.Clone(s.evacuated), index, index+1)
	next.restored = append(removeZone(s.restored, order.Zone), Restoration{Zone: order.Zone, Revision: next.changes})
	slices.SortFunc(next.restored, func(a, b Restoration) int { return strings.Compare(a.Zone, b.Zone) })
	next.confirmed = s.withoutConfirmation(order.Zone)
	return next, next.zoneVerdict("taken back")
}

// confirm records an order that found its zone as it wanted it. The revision of the evacuation or restoration stays, since it tells the
// relays when the zone last changed.
func (s *State) confirm(zone, message string) (*State, Verdict) {
	next := s.cloneForChange()
	index, found := s.findConfirmation(zone)
	next.confirmed = slices.Clone(s.confirmed)
	if !found {
		next.confirmed = slices.Insert(next.confirmed, index, Confirmation{Zone: zone})
	}
	next.confirmed[index].Revision = next.changes
	return next, next.zoneVerdict(message)
}

// withoutConfirmation returns the confirmations without that of a zone, which a change of the zone replaces.
func (s *State) withoutConfirmation(zone string) []Confirmation {
	index, found := s.findConfirmation(zone)
	if !found {
		return s.confirmed
	}
	return slices.Delete(slices.Clone(s.confirmed), index, index+1)
}

// refuseStaleZoneOrder refuses an order about a zone if the process that received it did not yet know the zone's last order. Such an
// order may have been delayed for a long time, and the operator may have decided otherwise since. An operator who still wants it
// sends it again. The second result is false if the order is not stale.
func (s *State) refuseStaleZoneOrder(order Order) (Verdict, bool) {
	lastChange := s.lastZoneRevision(order.Zone)
	if !order.HasKnownChanges || order.KnownChanges >= lastChange {
		return Verdict{}, false
	}
	reason := fmt.Sprintf("change %d was ordered for zone %s, and this order knew of %d: send it again if it still holds",
		lastChange, order.Zone, order.KnownChanges)
	verdict := refusedVerdict(http.StatusServiceUnavailable, reason)
	verdict.Revision = lastChange
	return verdict, true
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

// zoneVerdict is the verdict about the accepted order about a zone that resulted in this state.
func (s *State) zoneVerdict(message string) Verdict {
	return Verdict{Accepted: true, Status: http.StatusOK, Message: message, Revision: s.changes}
}

func refusedVerdict(status int, message string) Verdict {
	return Verdict{Status: status, Message: message}
}
