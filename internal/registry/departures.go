package registry

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/distribution/feedpb"
)

// restoredAge is how long ago the first heartbeat of a restored instance counts as received: any instance that is heard of now is younger,
// and gets the address if both name the same.
const restoredAge = 24 * time.Hour

// greetingsPerRun is how often a process that has started is told of all departures. Messages may be lost.
const greetingsPerRun = 3

// Departure is what an instance has said of its end, as it is kept on disk.
type Departure struct {
	ID       string
	Reported State  // draining or gone
	Encoded  []byte // the instance, for Restore
}

// heldKey identifies a change of another process whose acknowledgement is held.
type heldKey struct {
	sender string
	runID  uint64
	change uint64
}

// heldAcknowledgement is the acknowledgement of a change that waits until the departures in it are on disk.
type heldAcknowledgement struct {
	instanceIDs []string
	since       time.Time
}

// queueDeparture queues the departure of an instance to be saved, if it is news.
func (t *Table) queueDeparture(known *record) {
	if stateRank(known.Reported) <= stateRank(known.queuedState) {
		return
	}
	known.queuedState = known.Reported
	if !t.options.Durable {
		known.savedState = known.Reported
		return
	}
	t.unsaved = append(t.unsaved, known)
}

// TakeUnsaved returns the departures that are to be written to disk and were not returned before.
func (t *Table) TakeUnsaved(now time.Time) []Departure {
	var departures []Departure
	for _, known := range t.unsaved {
		departures = append(departures, departureOf(now, known))
	}
	t.unsaved = t.unsaved[:0]
	return departures
}

// Departures returns the departures of all known instances, which is all that has to be kept on disk.
func (t *Table) Departures(now time.Time) []Departure {
	var departures []Departure
	for _, known := range t.records {
		if known.Departing() {
			departures = append(departures, departureOf(now, known))
		}
	}
	return departures
}

// departureOf encodes the departure of an instance. Remaining times are left out, since they do not count on while they are on disk.
func departureOf(now time.Time, known *record) Departure {
	stored := known.Instance
	stored.ColdUntil, stored.GoneAt = time.Time{}, time.Time{}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToWire(now, stored))
	if err != nil {
		panic(fmt.Sprintf("registry: %v", err)) // a text is not UTF-8: heartbeats and messages are checked for that
	}
	return Departure{ID: known.ID, Reported: known.Reported, Encoded: encoded}
}

// Saved records that departures are on disk. It returns the acknowledgements that waited for them; see TakeCommitted for the changes of this
// process.
func (t *Table) Saved(departures []Departure) []Send {
	for _, departure := range departures {
		if known := t.records[departure.ID]; known != nil {
			known.savedState = FurthestState(known.savedState, departure.Reported)
		}
	}
	t.updateAllCommitted()
	return t.releaseAcknowledgements()
}

// Restore adds an instance from the disk, of which this process knew before it restarted that it drains or is gone. The instance counts as
// heard of now.
func (t *Table) Restore(now time.Time, encoded []byte) error {
	message := new(feedpb.Instance)
	if err := proto.Unmarshal(encoded, message); err != nil {
		return trace.Wrap(err, "departure of an instance")
	}
	stored := FromWire(now, message)
	if stored.ID == "" || !stored.Departing() {
		return trace.BadParameter("departure of an instance: %q is %s", stored.ID, stored.Reported)
	}
	known := t.records[stored.ID]
	if known == nil {
		known = t.add(stored.ID)
		known.Reported = StateReady
	}
	reported := FurthestState(known.Reported, stored.Reported)
	known.Instance = stored
	known.queuedState, known.savedState = reported, reported
	known.lastHeartbeatAt, known.firstSeenAt = now, now.Add(-restoredAge)
	if reported == StateGone {
		known.Reported = StateReady // for markFinal
		t.markFinal(now, known)
		return nil
	}
	known.State, known.Reported = reported, reported
	t.rehash(known)
	return nil
}

// acknowledge returns the acknowledgement of a change of another process. It returns nil as long as departures in it are not on disk: Saved
// returns the acknowledgement then.
func (t *Table) acknowledge(now time.Time, message *feedpb.RegistryMessage) *feedpb.Acknowledgement {
	held := heldAcknowledgement{since: now}
	for _, instance := range message.GetInstances() {
		held.instanceIDs = append(held.instanceIDs, instance.GetId())
	}
	if !t.allSaved(held.instanceIDs) {
		key := heldKey{sender: message.GetSource(), runID: message.GetLife(), change: message.GetDelta()}
		t.heldAcknowledgements[key] = held
		return nil
	}
	return &feedpb.Acknowledgement{Life: message.GetLife(), Delta: message.GetDelta()}
}

// allSaved reports whether the departures of all these instances are on disk. Instances that do not depart have none.
func (t *Table) allSaved(instanceIDs []string) bool {
	return !slices.ContainsFunc(instanceIDs, func(id string) bool {
		known := t.records[id]
		return known != nil && stateRank(known.savedState) < stateRank(known.Reported)
	})
}

// releaseAcknowledgements returns the held acknowledgements of changes whose departures are on disk now.
func (t *Table) releaseAcknowledgements() []Send {
	var sends []Send
	for key, held := range t.heldAcknowledgements {
		if !t.allSaved(held.instanceIDs) {
			continue
		}
		delete(t.heldAcknowledgements, key)
		message := t.newMessage()
		message.Acknowledgement = &feedpb.Acknowledgement{Life: key.runID, Delta: key.change}
		sends = append(sends, Send{To: key.sender, Message: message})
	}
	slices.SortFunc(sends, compareSends)
	return sends
}

// greet tells a process that has started of all departures, in the answers to its first digests: instances that are gone are not part of
// digests, so it would not miss those that it has not heard of. A relay that it feeds may have missed them as well.
func (t *Table) greet(now time.Time, sender *peer, answer *feedpb.RegistryMessage) {
	if sender.greetings >= greetingsPerRun {
		return
	}
	sender.greetings++
	for _, known := range t.records {
		if known.Departing() {
			t.appendInstance(now, known, answer)
		}
	}
}

// compareSends orders acknowledgements by recipient and change, so that runs repeat.
func compareSends(a, b Send) int {
	if byRecipient := strings.Compare(a.To, b.To); byRecipient != 0 {
		return byRecipient
	}
	return cmp.Compare(a.Message.GetAcknowledgement().GetDelta(), b.Message.GetAcknowledgement().GetDelta())
}

// forgetHeldAcknowledgements drops the acknowledgements that nobody waits for any more.
func (t *Table) forgetHeldAcknowledgements(now time.Time) {
	for key, held := range t.heldAcknowledgements {
		if now.Sub(held.since) >= t.options.ResendTimeout {
			delete(t.heldAcknowledgements, key)
		}
	}
}
