package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// applyConfig takes in a newer state. It returns false where the steps don't follow on the revision held.
func (s *Subscriber) applyConfig(now time.Time, update *feedpb.ConfigUpdate, output *Output) bool {
	if update == nil || update.GetRevision() <= s.config.Revision {
		return true
	}
	document, steps, err := s.newDocument(update)
	if err != nil {
		s.wantWhole = s.wantWhole || err.needsWhole
		return false
	}
	s.wantWhole = false
	s.config = ConfigState{
		Revision:   update.GetRevision(),
		Generation: update.GetGeneration(),
		Document:   document,
	}
	for _, zone := range update.GetEvacuated() {
		evacuation := Evacuation{Zone: zone.GetZone(), Revision: zone.GetRevision()}
		s.config.Evacuated = append(s.config.Evacuated, evacuation)
	}
	for _, zone := range update.GetRestored() {
		at := now.Add(-time.Duration(zone.GetAgoMs()) * time.Millisecond)
		restoration := Restoration{Zone: zone.GetZone(), Revision: zone.GetRevision(), At: at}
		s.config.Restored = append(s.config.Restored, restoration)
	}
	output.ConfigChanged = true
	output.Applied = &Update{ConfigState: s.config, Steps: steps}
	return true
}

// stepError says why an update could not be applied to the document held.
type stepError struct {
	needsWhole bool // asking for the steps again is no use
}

// newDocument returns the document after an update, and the steps that led to it.
func (s *Subscriber) newDocument(update *feedpb.ConfigUpdate) ([]byte, []Step, *stepError) {
	if update.GetWhole() {
		return update.GetDocument(), nil, nil
	}
	document := s.config.Document
	at := s.config.Revision
	var steps []Step
	for _, step := range update.GetSteps() {
		if step.GetRevision() <= at {
			continue
		}
		if step.GetBase() != at {
			return nil, nil, &stepError{}
		}
		patched, ok := s.patched(document, step.GetPatch())
		if !ok {
			return nil, nil, s.needWhole()
		}
		document = patched
		at = step.GetRevision()
		steps = append(steps, Step{
			Base:       step.GetBase(),
			Revision:   step.GetRevision(),
			Generation: step.GetGeneration(),
			Patch:      step.GetPatch(),
		})
	}
	if at != update.GetRevision() {
		return nil, nil, &stepError{}
	}
	if DocumentHash(document) != update.GetDocumentHash() {
		return nil, nil, s.needWhole()
	}
	return document, steps, nil
}

func (s *Subscriber) needWhole() *stepError {
	s.wholeUpdates++
	return &stepError{needsWhole: true}
}

// patched applies one patch.
func (s *Subscriber) patched(document, patch []byte) (after []byte, ok bool) {
	if len(patch) == 0 {
		return document, true
	}
	if s.options.ApplyPatch == nil {
		return nil, false
	}
	after, err := s.options.ApplyPatch(document, patch)
	return after, err == nil
}

// held is an instance at a subscriber.
type held struct {
	registry.Instance
	listing   uint32 // number of the listing that it was last in
	hash      uint64 // its part of the bucket
	goneSince time.Time
}

// applyInstances takes in the instances of an update. With opinion, what the sender thinks of their silence counts too.
func (s *Subscriber) applyInstances(now time.Time, update *feedpb.Update, opinion bool, output *Output) {
	if opinion && update.GetListing() && update.GetPart() == 0 {
		s.markListed(update.GetSameBuckets())
	}
	for _, told := range update.GetInstances() {
		s.applyInstance(now, registry.FromWire(now, told), opinion, output)
	}
}

// markListed notes that the source holds the instances of these buckets as this process does.
func (s *Subscriber) markListed(sameBuckets []uint32) {
	if len(sameBuckets) == 0 {
		return
	}
	var same [bucketCount]bool
	for _, bucket := range sameBuckets {
		if bucket < bucketCount {
			same[bucket] = true
		}
	}
	for id, known := range s.instances {
		if same[bucketOf(id)] {
			known.listing = s.listing
		}
	}
}

// applyInstance takes in what is said of one instance. What the instance said itself never goes back: neither to an older
// heartbeat, nor from draining to ready, nor from gone to anything. Silence is an opinion that goes with the source.
func (s *Subscriber) applyInstance(now time.Time, told registry.Instance, opinion bool, output *Output) {
	known := s.instances[told.ID]
	if known == nil {
		s.addInstance(now, told, opinion, output)
		return
	}
	if opinion {
		known.listing = s.listing
	}
	if known.Final() {
		return
	}
	before := known.Instance
	known.takeDescription(told)
	known.takeState(told, opinion)
	s.settleInstance(now, known, before, output)
}

// addInstance takes in an instance that wasn't known. One that is gone is remembered, so that a late message can't bring it
// back; others are taken from the source alone.
func (s *Subscriber) addInstance(now time.Time, told registry.Instance, opinion bool, output *Output) {
	if told.ID == "" || !opinion && !told.Final() {
		return
	}
	added := &held{Instance: told}
	if opinion {
		added.listing = s.listing
	}
	s.instances[told.ID] = added
	s.settleInstance(now, added, registry.Instance{ID: told.ID, State: registry.StateGone}, output)
}

// takeDescription takes over a newer description.
func (h *held) takeDescription(told registry.Instance) {
	state, reported, seq := h.State, h.Reported, h.Seq
	if told.ChangedSeq > h.ChangedSeq {
		h.Instance = told
	}
	h.State = state
	h.Reported = registry.Furthest(reported, told.Reported)
	h.Seq = max(seq, told.Seq)
}

// takeState sets the state by what the instance said itself and, with opinion, by what the source thinks of its silence.
func (h *held) takeState(told registry.Instance, opinion bool) {
	switch {
	case h.Reported == registry.StateGone:
		h.State = registry.StateGone
	case opinion && (told.State == registry.StateSilent || told.State == registry.StateGone):
		h.State = told.State
	case opinion || h.State == registry.StateReady:
		h.State = h.Reported
	}
}

// settleInstance brings the bucket up to date and tells of a change.
func (s *Subscriber) settleInstance(now time.Time, known *held, before registry.Instance, output *Output) {
	hash := registry.ContentHash(known.Instance, known.State)
	s.buckets.replace(known.ID, known.hash, hash)
	known.hash = hash
	wasGone, isGone := before.State == registry.StateGone, known.State == registry.StateGone
	if isGone && (!wasGone || known.goneSince.IsZero()) {
		known.goneSince = now
	}
	if wasGone && isGone || known.SameAs(before) {
		return
	}
	output.InstancesChanged = append(output.InstancesChanged, known.Instance)
}

// dropUnlisted drops the instances that the source doesn't list, once it had time to learn of all and some more.
func (s *Subscriber) dropUnlisted(now time.Time, output *Output) {
	source := s.current
	if source == nil || s.dropped == s.listing || !s.Fresh(now) || !source.complete || source.gap {
		return
	}
	if now.Sub(later(source.since, source.completeSince)) < s.options.KeepUnlisted {
		return
	}
	s.dropped = s.listing
	for _, known := range s.instances {
		if known.listing == s.listing || known.State == registry.StateGone {
			continue
		}
		before := known.Instance
		known.State = registry.StateGone
		s.settleInstance(now, known, before, output)
	}
}

const forgetGoneInterval = 5 * time.Second

// forget forgets instances that are long gone.
func (s *Subscriber) forget(now time.Time) {
	if now.Sub(s.lastForget) < forgetGoneInterval {
		return
	}
	s.lastForget = now
	for id, known := range s.instances {
		if known.State == registry.StateGone && now.Sub(known.goneSince) >= s.options.Tombstone {
			delete(s.instances, id)
		}
	}
}
