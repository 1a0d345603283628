package registry

import "time"

// coldTolerance is the difference up to which two statements of the end of a warm-up are taken for the same.
const coldTolerance = 250 * time.Millisecond

// Heartbeat takes in a heartbeat that came to this process.
func (t *Table) Heartbeat(now time.Time, heartbeat Heartbeat) Change {
	known, exists := t.records[heartbeat.ID]
	if !exists {
		known = t.add(heartbeat.ID)
		known.knownSince = now
		known.State, known.Reported = StateReady, StateReady
	}
	if known.Final() {
		return t.change(known, false)
	}
	if exists && heartbeat.Seq < known.Seq {
		return t.change(known, false)
	}
	before := known.Instance
	known.heardAt = now
	known.heardBy = t.options.Self
	known.Seq = heartbeat.Seq
	if t.holderBlocks(now, known, heartbeat.Address, exists) {
		return t.change(known, false)
	}
	t.noteHeartbeat(known)
	describe(now, &known.Instance, heartbeat)
	changed := !exists || !known.SameAs(before)
	if changed {
		known.ChangedSeq = heartbeat.Seq
	}
	t.rehash(known)
	return t.change(known, changed)
}

// describe takes over what a heartbeat says. A heartbeat brings a silent instance back, and never one that is draining.
func describe(now time.Time, instance *Instance, heartbeat Heartbeat) {
	instance.Backend = heartbeat.Backend
	instance.Address = heartbeat.Address
	instance.Zone = heartbeat.Zone
	instance.Generation = heartbeat.Generation
	instance.Slots = heartbeat.Slots
	instance.Phase = heartbeat.Phase
	instance.Models = heartbeat.Models
	instance.Reported = Furthest(instance.Reported, heartbeat.State)
	instance.State = instance.Reported
	instance.ColdUntil = coldUntil(now, instance.ColdUntil, heartbeat.Warmup)
	if heartbeat.Notice {
		instance.GoneAt = earliestEnd(instance.GoneAt, now.Add(heartbeat.Remaining))
	}
}

// coldUntil returns the end of the warm-up after a heartbeat. Of two that are nearly the same the known one stays, so that
// each heartbeat of a cold endpoint isn't a change.
func coldUntil(now, known time.Time, warmup time.Duration) time.Time {
	said := now.Add(warmup)
	if warmup == 0 {
		said = time.Time{}
	}
	if !known.After(now) && warmup == 0 {
		return known
	}
	difference := known.Sub(said)
	if difference.Abs() <= coldTolerance {
		return known
	}
	return said
}

// earliestEnd returns the end of a notice; the first one told stays, unless a later one is clearly earlier.
func earliestEnd(known, said time.Time) time.Time {
	if known.IsZero() || said.Before(known.Add(-coldTolerance)) {
		return said
	}
	return known
}

// Leave takes in that an instance said it has ended.
func (t *Table) Leave(now time.Time, id string) Change {
	known, exists := t.records[id]
	if !exists {
		known = t.add(id)
		known.knownSince = now
	}
	changed := !known.Final()
	t.end(now, known)
	return t.change(known, changed)
}

// end makes an instance gone for good.
func (t *Table) end(now time.Time, known *record) {
	if known.Final() {
		return
	}
	known.Reported = StateGone
	t.lose(now, known)
}

// lose makes an instance gone; unless it said so itself, it may come back.
func (t *Table) lose(now time.Time, known *record) {
	known.State = StateGone
	known.goneSince = now
	if t.holders[known.Address] == known {
		delete(t.holders, known.Address)
	}
	t.rehash(known)
}

// holderBlocks settles who has an address when a heartbeat names it. An instance that is new takes it from the one before,
// which is then gone; one that lost its address earlier gets it back only when the new one is silent, so that a heartbeat
// that was long under way can't do that. It returns true where the instance doesn't get the address.
func (t *Table) holderBlocks(now time.Time, known *record, address string, exists bool) bool {
	holder := t.holders[address]
	if holder == known {
		return false
	}
	if holder != nil {
		if exists && known.State == StateGone && now.Sub(holder.heardAt) < t.options.SilentAfter {
			return true
		}
		t.supersede(now, holder)
	}
	t.moveTo(known, address)
	return false
}

// moveTo makes known the holder of address.
func (t *Table) moveTo(known *record, address string) {
	if t.holders[known.Address] == known {
		delete(t.holders, known.Address)
	}
	t.holders[address] = known
}

// supersede makes an instance gone because another one has its address; Tick tells of it.
func (t *Table) supersede(now time.Time, holder *record) {
	t.lose(now, holder)
	t.superseded = append(t.superseded, holder)
}

// change describes what an input did to a record.
func (t *Table) change(known *record, changed bool) Change {
	return Change{
		Instance:     known.Instance,
		Changed:      changed,
		NeedsReplica: t.needsReplica(known),
	}
}

// noteHeartbeat puts a record into the next digest.
func (t *Table) noteHeartbeat(known *record) {
	if known.pendingBeat {
		return
	}
	known.pendingBeat = true
	t.beaten = append(t.beaten, known)
}
