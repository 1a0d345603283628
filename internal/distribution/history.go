package distribution

import (
	"bytes"
	"time"

	"wallflow/internal/distribution/feedpb"
)

const (
	mostSteps     = 64
	mostStepBytes = 256 << 10
)

// configHistory is the newest state at a publisher, with the steps that led to it as far as they are kept.
type configHistory struct {
	state     ConfigState
	hash      uint64 // of the document
	steps     []Step // each follows on the one before; the last one leads to state
	stepBytes int
}

// take takes in a newer state. It returns false for one that isn't newer.
func (h *configHistory) take(update Update) bool {
	if update.Revision <= h.state.Revision {
		return false
	}
	steps := stepsFrom(update.Steps, h.state.Revision, update.Revision)
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
	for len(h.steps) > mostSteps || h.stepBytes > mostStepBytes {
		h.stepBytes -= len(h.steps[0].Patch)
		h.steps = h.steps[1:]
	}
	h.state = update.ConfigState
	h.hash = DocumentHash(update.Document)
	return true
}

// stepsFrom returns the steps that lead from one revision to another without a gap; nil: they don't.
func stepsFrom(steps []Step, from, to uint64) []Step {
	for first := range steps {
		if steps[first].Base != from {
			continue
		}
		at := from
		for _, step := range steps[first:] {
			if step.Base != at || step.Revision <= step.Base {
				return nil
			}
			at = step.Revision
		}
		if at != to {
			return nil
		}
		return steps[first:]
	}
	return nil
}

// since returns what a process that holds a revision lacks; nil: nothing.
func (h *configHistory) since(now time.Time, held uint64) *feedpb.ConfigUpdate {
	if held >= h.state.Revision {
		return nil
	}
	message := &feedpb.ConfigUpdate{
		Revision:     h.state.Revision,
		Generation:   h.state.Generation,
		DocumentHash: h.hash,
	}
	h.addZones(now, message)
	steps := stepsFrom(h.steps, held, h.state.Revision)
	if held == 0 || steps == nil || patchBytes(steps) > len(h.state.Document) {
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

func patchBytes(steps []Step) int {
	total := 0
	for _, step := range steps {
		total += len(step.Patch)
	}
	return total
}

// addZones adds the evacuations, and those taken back lately.
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
