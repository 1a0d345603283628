package registry

import "time"

// endTimeTolerance is the difference up to which two announced end times, of a warm-up or a notice, count as equal.
// Heartbeats announce the remaining time, and their delays vary.
const endTimeTolerance = 250 * time.Millisecond

// Heartbeat applies a heartbeat that this process received.
func (t *Table) Heartbeat(now time.Time, heartbeat Heartbeat) Change {
	known, exists := t.records[heartbeat.ID]
	if !exists {
		known = t.add(heartbeat.ID)
		known.firstSeenAt = now
		known.State, known.Reported = StateReady, StateReady
	}
	if known.Final() {
		return t.change(known, false)
	}
	if exists && heartbeat.Seq < known.Seq {
		return t.change(known, t.advanceReported(known, heartbeat.State))
	}
	before := known.Instance
	known.lastHeartbeatAt = now
	known.receivedBy = t.options.Self
	known.Seq = heartbeat.Seq
	if t.addressClaimRejected(now, known, heartbeat.Address, exists) {
		return t.change(known, t.advanceReported(known, heartbeat.State))
	}
	t.queueForDigest(known)
	applyHeartbeat(now, &known.Instance, heartbeat)
	changed := !exists || !known.SameAs(before)
	if changed {
		known.ChangedSeq = heartbeat.Seq
	}
	t.rehash(known)
	return t.change(known, changed)
}

// advanceReported records the state that a heartbeat reports, of which nothing else is taken, and reports whether that is news. A heartbeat is
// acknowledged even if it is late, and so is that the instance drains.
func (t *Table) advanceReported(known *record, reported State) bool {
	if FurthestState(known.Reported, reported) == known.Reported {
		return false
	}
	known.Reported = reported
	if known.State != StateGone {
		known.State = reported
	}
	t.rehash(known)
	return true
}

// applyHeartbeat copies the fields of a heartbeat. It makes a silent instance ready again, but not one that is
// draining.
func applyHeartbeat(now time.Time, instance *Instance, heartbeat Heartbeat) {
	instance.Backend = heartbeat.Backend
	instance.Address = heartbeat.Address
	instance.Zone = heartbeat.Zone
	instance.Generation = heartbeat.Generation
	instance.Slots = heartbeat.Slots
	instance.Phase = heartbeat.Phase
	instance.Models = heartbeat.Models
	instance.Reported = FurthestState(instance.Reported, heartbeat.State)
	instance.State = instance.Reported
	instance.ColdUntil = mergeColdUntil(now, instance.ColdUntil, heartbeat.Warmup)
	if heartbeat.Notice {
		instance.GoneAt = earliestGoneAt(instance.GoneAt, now.Add(heartbeat.Remaining))
	}
}

// mergeColdUntil returns the end of the warm-up after a heartbeat. It keeps the known end if the announced one is
// within endTimeTolerance, so that not every heartbeat of a cold endpoint counts as a change.
func mergeColdUntil(now, known time.Time, warmup time.Duration) time.Time {
	announced := now.Add(warmup)
	if warmup == 0 {
		announced = time.Time{}
	}
	if !known.After(now) && warmup == 0 {
		return known
	}
	difference := known.Sub(announced)
	if difference.Abs() <= endTimeTolerance {
		return known
	}
	return announced
}

// earliestGoneAt returns the time of termination by a notice. The first announced time stays unless a later notice
// announces one that is earlier by more than endTimeTolerance.
func earliestGoneAt(known, announced time.Time) time.Time {
	if known.IsZero() || announced.Before(known.Add(-endTimeTolerance)) {
		return announced
	}
	return known
}

// Leave applies the report of an instance that it has ended.
func (t *Table) Leave(now time.Time, id string) Change {
	known, exists := t.records[id]
	if !exists {
		known = t.add(id)
		known.firstSeenAt = now
	}
	changed := !known.Final()
	t.markFinal(now, known)
	return t.change(known, changed)
}

// markFinal makes an instance gone for good.
func (t *Table) markFinal(now time.Time, known *record) {
	if known.Final() {
		return
	}
	known.Reported = StateGone
	t.markGone(now, known)
}

// markGone makes an instance gone. Unless the instance reported this itself, a later heartbeat restores it.
func (t *Table) markGone(now time.Time, known *record) {
	known.State = StateGone
	known.goneSince = now
	if t.owners[known.Address] == known {
		delete(t.owners, known.Address)
	}
	t.rehash(known)
}

// addressClaimRejected decides which instance owns an address that a heartbeat names, and reports whether the sender
// does not get it. A new instance replaces the previous owner, which is then gone. An instance that lost the address
// before gets it back only if the present owner is silent, so that a delayed heartbeat cannot replace the present
// owner.
func (t *Table) addressClaimRejected(now time.Time, known *record, address string, exists bool) bool {
	owner := t.owners[address]
	if owner == known {
		return false
	}
	if owner != nil {
		if exists && known.State == StateGone && now.Sub(owner.lastHeartbeatAt) < t.options.SilentAfter {
			return true
		}
		t.markSuperseded(now, owner)
	}
	t.assignAddress(known, address)
	return false
}

// assignAddress makes a record the owner of an address instead of its previous one.
func (t *Table) assignAddress(known *record, address string) {
	if t.owners[known.Address] == known {
		delete(t.owners, known.Address)
	}
	t.owners[address] = known
}

// markSuperseded makes an instance gone because another one has its address. The next Tick or Merge returns it as
// changed.
func (t *Table) markSuperseded(now time.Time, owner *record) {
	t.markGone(now, owner)
	t.superseded = append(t.superseded, owner)
}

// change returns the Change that describes the effect of an input on a record.
func (t *Table) change(known *record, changed bool) Change {
	return Change{
		Instance:         known.Instance,
		Changed:          changed,
		NeedsReplication: t.needsReplica(known),
	}
}

// queueForDigest adds a record to the next digest.
func (t *Table) queueForDigest(known *record) {
	if known.unreported {
		return
	}
	known.unreported = true
	t.unreportedHeartbeats = append(t.unreportedHeartbeats, known)
}
