package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// applyConfig applies a configuration update if it is newer. It returns false if the update can't be applied to the current document.
func (s *Subscriber) applyConfig(now time.Time, update *feedpb.ConfigUpdate, output *Output) bool {
	if update == nil || update.GetRevision() <= s.config.Revision {
		return true
	}
	document, steps, err := s.newDocument(update)
	if err != nil {
		s.wantsFullDocument = s.wantsFullDocument || err.needsFullDocument
		return false
	}
	s.wantsFullDocument = false
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
	output.AppliedUpdate = &Update{ConfigState: s.config, Steps: steps}
	return true
}

// stepError reports that an update could not be applied to the current document.
type stepError struct {
	needsFullDocument bool // the full document must be requested, since the same steps would fail again
}

// newDocument returns the document after an update, and the steps that were applied. Steps up to the current revision are skipped.
func (s *Subscriber) newDocument(update *feedpb.ConfigUpdate) ([]byte, []Step, *stepError) {
	if update.GetWhole() {
		return update.GetDocument(), nil, nil
	}
	document := s.config.Document
	revision := s.config.Revision
	var steps []Step
	for _, step := range update.GetSteps() {
		if step.GetRevision() <= revision {
			continue
		}
		if step.GetBase() != revision {
			return nil, nil, &stepError{}
		}
		patched, ok := s.applyPatch(document, step.GetPatch())
		if !ok {
			return nil, nil, s.requireFullDocument()
		}
		document = patched
		revision = step.GetRevision()
		steps = append(steps, Step{
			Base:       step.GetBase(),
			Revision:   step.GetRevision(),
			Generation: step.GetGeneration(),
			Patch:      step.GetPatch(),
		})
	}
	if revision != update.GetRevision() {
		return nil, nil, &stepError{}
	}
	if DocumentHash(document) != update.GetDocumentHash() {
		return nil, nil, s.requireFullDocument()
	}
	return document, steps, nil
}

// requireFullDocument returns the error for steps that failed, and counts it.
func (s *Subscriber) requireFullDocument() *stepError {
	s.fullDocumentRequests++
	return &stepError{needsFullDocument: true}
}

// applyPatch applies the patch of one step. It returns false if the patch fails.
func (s *Subscriber) applyPatch(document, patch []byte) (patched []byte, ok bool) {
	if len(patch) == 0 {
		return document, true
	}
	if s.options.ApplyPatch == nil {
		return nil, false
	}
	patched, err := s.options.ApplyPatch(document, patch)
	return patched, err == nil
}

// heldInstance is an instance as known to a subscriber.
type heldInstance struct {
	registry.Instance
	listingNumber uint32 // number of the last listing that contained it
	contentHash   uint64 // contribution to the digest of its bucket
	goneSince     time.Time
}

// applyInstances applies the instances of an update. If the update is authoritative, that is, from the current source and not outdated, the
// sender also decides which instances are silent or expired and which are listed.
func (s *Subscriber) applyInstances(now time.Time, update *feedpb.Update, authoritative bool, output *Output) {
	if authoritative && update.GetListing() && update.GetPart() == 0 {
		s.markSameBuckets(update.GetSameBuckets())
	}
	for _, received := range update.GetInstances() {
		s.applyInstance(now, registry.FromWire(now, received), authoritative, output)
	}
}

// markSameBuckets marks the instances of these buckets as listed, since the source holds the same.
func (s *Subscriber) markSameBuckets(sameBuckets []uint32) {
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
			known.listingNumber = s.listingNumber
		}
	}
}

// applyInstance applies a received instance. The state that the instance reported itself never goes back: neither to an older heartbeat,
// nor from draining to ready, nor from gone to anything else. Whether it is silent is a judgement of the source, and changes with it.
func (s *Subscriber) applyInstance(now time.Time, received registry.Instance, authoritative bool, output *Output) {
	known := s.instances[received.ID]
	if known == nil {
		s.addInstance(now, received, authoritative, output)
		return
	}
	if authoritative {
		known.listingNumber = s.listingNumber
	}
	if known.Final() {
		return
	}
	previous := known.Instance
	known.mergeDescription(received)
	known.mergeState(received, authoritative)
	s.recordChange(now, known, previous, output)
}

// addInstance adds an instance that was not known. An instance that is gone is remembered, so that a late message can't bring it back;
// any other is added only if the update is authoritative.
func (s *Subscriber) addInstance(now time.Time, received registry.Instance, authoritative bool, output *Output) {
	if received.ID == "" || !authoritative && !received.Final() {
		return
	}
	added := &heldInstance{Instance: received}
	if received.State == registry.StateSilent { // a source of an older build calls draining instances silent too
		added.State = received.StateWithoutHeartbeats()
	}
	if authoritative {
		added.listingNumber = s.listingNumber
	}
	s.instances[received.ID] = added
	s.recordChange(now, added, registry.Instance{ID: received.ID, State: registry.StateGone}, output)
}

// mergeDescription merges a received instance, without its state: the newest description and heartbeat and the furthest reported state.
func (h *heldInstance) mergeDescription(received registry.Instance) {
	state, reported, seq := h.State, h.Reported, h.Seq
	if received.ChangedSeq > h.ChangedSeq {
		h.Instance = received
	}
	h.State = state
	h.Reported = registry.FurthestState(reported, received.Reported)
	h.Seq = max(seq, received.Seq)
}

// mergeState sets the state from what the instance reported itself and, if the update is authoritative, from whether the source considers
// it silent or gone. An instance that has said that it drains does not become silent, whatever the source knows of that.
func (h *heldInstance) mergeState(received registry.Instance, authoritative bool) {
	switch {
	case h.Final():
		h.State = registry.StateGone
	case authoritative && received.State == registry.StateGone:
		h.State = registry.StateGone
	case authoritative && received.State == registry.StateSilent:
		h.State = h.StateWithoutHeartbeats()
	case authoritative || h.State != registry.StateGone && h.Departing() || h.State == registry.StateReady:
		h.State = h.Reported
	}
}

// recordChange updates the digest of the bucket and, if the instance has changed, adds it to the output.
func (s *Subscriber) recordChange(now time.Time, known *heldInstance, previous registry.Instance, output *Output) {
	contentHash := registry.ContentHash(known.Instance, known.State)
	s.buckets.replace(known.ID, known.contentHash, contentHash)
	known.contentHash = contentHash
	wasGone, isGone := previous.State == registry.StateGone, known.State == registry.StateGone
	if isGone && (!wasGone || known.goneSince.IsZero()) {
		known.goneSince = now
	}
	if wasGone && isGone || known.SameAs(previous) {
		return
	}
	output.InstancesChanged = append(output.InstancesChanged, known.Instance)
}

// dropUnlisted marks the instances that the source does not list as gone. It does so once per listing, when the source has been current and
// complete for UnlistedRetention.
func (s *Subscriber) dropUnlisted(now time.Time, output *Output) {
	source := s.current
	if source == nil || s.droppedListing == s.listingNumber || !s.Fresh(now) || !source.complete || source.hasGap {
		return
	}
	if now.Sub(later(source.startedAt, source.completeSince)) < s.options.UnlistedRetention {
		return
	}
	s.droppedListing = s.listingNumber
	for _, known := range s.instances {
		if known.listingNumber == s.listingNumber || known.State == registry.StateGone {
			continue
		}
		previous := known.Instance
		known.State = registry.StateGone
		s.recordChange(now, known, previous, output)
	}
}

// forgetGoneInterval is the time between two runs of forgetGone.
const forgetGoneInterval = 5 * time.Second

// forgetGone removes instances that have been gone for TombstoneRetention.
func (s *Subscriber) forgetGone(now time.Time) {
	if now.Sub(s.lastForgetAt) < forgetGoneInterval {
		return
	}
	s.lastForgetAt = now
	for id, known := range s.instances {
		if known.State == registry.StateGone && now.Sub(known.goneSince) >= s.options.TombstoneRetention {
			delete(s.instances, id)
		}
	}
}
