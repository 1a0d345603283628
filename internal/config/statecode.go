package config

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/config/configpb"
)

// Encode returns the state's replicated form.
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
	for index := range s.taken {
		message.Taken = append(message.Taken, s.taken[index][:])
	}
	return marshal(message)
}

// DecodeState reads a state's replicated form.
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
		if index < len(message.EvacuatedAt) { // an older state has none
			evacuation.Revision = message.EvacuatedAt[index]
		}
		state.evacuated = append(state.evacuated, evacuation)
	}
	for _, restoration := range message.Restored {
		state.restored = append(state.restored, Restoration{Zone: restoration.Zone, Revision: restoration.Revision})
	}
	if err := state.decodeTaken(message.Taken); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := state.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	return state, nil
}

func (s *State) decodeTaken(sums [][]byte) error {
	for _, sum := range sums {
		if len(sum) != digestSize {
			return trace.BadParameter("configuration state: a digest of %d bytes, want %d", len(sum), digestSize)
		}
		s.taken = append(s.taken, digest(sum))
	}
	return nil
}

// check refuses a state that no orders lead to.
func (s *State) check() error {
	if !slices.IsSorted(s.Evacuated()) {
		return trace.BadParameter("configuration state: zones out of order")
	}
	if len(s.document) == 0 {
		s.document = nil
		if s.generation != 0 {
			return trace.BadParameter("configuration state: version %d without a document", s.generation)
		}
		return nil
	}
	document, index, err := parseTrusted(s.document, newItemIndex())
	if err != nil {
		return trace.Wrap(err, "configuration state")
	}
	if document.Generation != s.generation {
		return trace.BadParameter("configuration state: version %d with the document of %d", s.generation, document.Generation)
	}
	s.parsed = newParsed(document, index)
	return nil
}
