package config

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/config/configpb"
)

// Encode returns the state in its replicated encoding.
func (s *State) Encode() []byte {
	message := &configpb.State{
		Generation: s.generation,
		Document:   s.document,
		Changes:    s.changes,
	}
	for _, evacuation := range s.evacuated {
		message.Evacuated = append(message.Evacuated, evacuation.Zone)
		message.EvacuatedAt = append(message.EvacuatedAt, evacuation.Revision)
	}
	for _, restoration := range s.restored {
		message.Restored = append(message.Restored, &configpb.Restoration{
			Zone:     restoration.Zone,
			Revision: restoration.Revision,
		})
	}
	for _, confirmation := range s.confirmed {
		message.Confirmed = append(message.Confirmed, &configpb.Confirmation{
			Zone:     confirmation.Zone,
			Revision: confirmation.Revision,
		})
	}
	for index := range s.acceptedDigests {
		message.Taken = append(message.Taken, s.acceptedDigests[index][:])
	}
	return marshal(message)
}

// DecodeState decodes the replicated encoding of a state.
func DecodeState(text []byte) (*State, error) {
	var message configpb.State
	if err := proto.Unmarshal(text, &message); err != nil {
		return nil, trace.Wrap(err, "configuration state")
	}
	state := &State{
		generation: message.Generation,
		document:   message.Document,
		changes:    message.Changes,
	}
	for index, zone := range message.Evacuated {
		evacuation := Evacuation{Zone: zone}
		if index < len(message.EvacuatedAt) { // states of older builds lack the field
			evacuation.Revision = message.EvacuatedAt[index]
		}
		state.evacuated = append(state.evacuated, evacuation)
	}
	for _, restoration := range message.Restored {
		state.restored = append(state.restored, Restoration{Zone: restoration.Zone, Revision: restoration.Revision})
	}
	for _, confirmation := range message.Confirmed {
		state.confirmed = append(state.confirmed, Confirmation{Zone: confirmation.Zone, Revision: confirmation.Revision})
	}
	if err := state.decodeAcceptedDigests(message.Taken); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := state.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	return state, nil
}

func (s *State) decodeAcceptedDigests(sums [][]byte) error {
	for _, sum := range sums {
		if len(sum) != digestSize {
			return trace.BadParameter("configuration state: digest has %d bytes, want %d", len(sum), digestSize)
		}
		s.acceptedDigests = append(s.acceptedDigests, digest(sum))
	}
	return nil
}

// check returns an error for a state that can't result from orders. It also parses the document.
func (s *State) check() error {
	if !slices.IsSorted(s.Evacuated()) {
		return trace.BadParameter("configuration state: evacuated zones are not sorted")
	}
	if !slices.IsSortedFunc(s.confirmed, func(a, b Confirmation) int { return strings.Compare(a.Zone, b.Zone) }) {
		return trace.BadParameter("configuration state: confirmed zones are not sorted")
	}
	if len(s.document) == 0 {
		s.document = nil
		if s.generation != 0 {
			return trace.BadParameter("configuration state: version %d has no document", s.generation)
		}
		return nil
	}
	document, index, err := parseTrusted(s.document, newItemIndex())
	if err != nil {
		return trace.Wrap(err, "configuration state")
	}
	if document.Generation != s.generation {
		return trace.BadParameter("configuration state: version is %d, but its document has version %d", s.generation, document.Generation)
	}
	s.parsed = newParsedDocument(document, index)
	return nil
}
