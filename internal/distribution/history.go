package distribution

import (
	"bytes"
	"time"

	"wallflow/internal/distribution/feedpb"
)

// maxSteps and maxStepBytes bound the steps that a history keeps, and the total size of their patches.
const (
	maxSteps     = 64
	maxStepBytes = 256 << 10
)

// configHistory is the newest configuration state at a publisher, with the latest steps that led to it.
type configHistory struct {
	state     ConfigState
	hash      uint64 // of the document
	steps     []Step // contiguous; the last one leads to state
	stepBytes int    // total size of the patches
}

// add sets a newer state. It returns false, and changes nothing, if the state isn't newer. Steps that do not lead from the current state to
// the new one are dropped with those before them, unless the document is unchanged.
func (h *configHistory) add(update Update) bool {
	if update.Revision <= h.state.Revision {
		return false
	}
	steps := stepsBetween(update.Steps, h.state.Revision, update.Revision)
	if steps == nil && h.state.Revision != 0 && bytes.Equal(h.state.Document, update.Document) {
		unchanged := Step{Base: h.state.Revision, Revision: update.Revision, Generation: update.Generation}
		steps = []Step{unchanged}
	}
	if steps == nil {
		h.steps, h.stepBytes = nil, 0
	}
	for _, step := range steps {
		h.steps = append(h.steps, step)
		h.stepBytes += len(step.Patch)
	}
	for len(h.steps) > maxSteps || h.stepBytes > maxStepBytes {
		h.stepBytes -= len(h.steps[0].Patch)
		h.steps = h.steps[1:]
	}
	h.state = update.ConfigState
	h.hash = DocumentHash(update.Document)
	return true
}

// stepsBetween returns the steps that lead from one revision to another without a gap, or nil if the steps do not.
func stepsBetween(steps []Step, from, to uint64) []Step {
	for first := range steps {
		if steps[first].Base != from {
			continue
		}
		revision := from
		for _, step := range steps[first:] {
			if step.Base != revision || step.Revision <= step.Base {
				return nil
			}
			revision = step.Revision
		}
		if revision != to {
			return nil
		}
		return steps[first:]
	}
	return nil
}

// updateSince returns the update for a process that holds a revision, or nil if it lacks nothing. The update contains the full document if
// the steps from that revision are not known, or are larger.
func (h *configHistory) updateSince(now time.Time, heldRevision uint64) *feedpb.ConfigUpdate {
	if heldRevision >= h.state.Revision {
		return nil
	}
	message := &feedpb.ConfigUpdate{
		Revision:     h.state.Revision,
		Generation:   h.state.Generation,
		DocumentHash: h.hash,
	}
	h.addZones(now, message)
	steps := stepsBetween(h.steps, heldRevision, h.state.Revision)
	if heldRevision == 0 || steps == nil || patchBytes(steps) > len(h.state.Document) {
		message.Whole = true
		message.Document = h.state.Document
		return message
	}
	for _, step := range steps {
		message.Steps = append(message.Steps, &feedpb.ConfigStep{
			Base:       step.Base,
			Revision:   step.Revision,
			Generation: step.Generation,
			Patch:      step.Patch,
		})
	}
	return message
}

// patchBytes returns the total size of the patches of steps.
func patchBytes(steps []Step) int {
	total := 0
	for _, step := range steps {
		total += len(step.Patch)
	}
	return total
}

// addZones adds the evacuated zones, and those restored recently, to a message.
func (h *configHistory) addZones(now time.Time, message *feedpb.ConfigUpdate) {
	for _, zone := range h.state.Evacuated {
		message.Evacuated = append(message.Evacuated, &feedpb.Evacuation{Zone: zone.Zone, Revision: zone.Revision})
	}
	for _, zone := range h.state.Restored {
		message.Restored = append(message.Restored, &feedpb.Restoration{
			Zone:     zone.Zone,
			Revision: zone.Revision,
			AgoMs:    uint32(max(0, now.Sub(zone.At)/time.Millisecond)),
		})
	}
}
