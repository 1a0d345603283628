package registry

import (
	"cmp"
	"time"
)

// Defaults of Options. Those named Intervals are multiples of the heartbeat interval.
const (
	defaultSilentAfterIntervals   = 2.5
	defaultGoneAfterIntervals     = 10
	defaultCompleteAfterIntervals = 2
	defaultDigestInterval         = 500 * time.Millisecond
	defaultTombstoneLifetime      = 60 * time.Second
	defaultResendInterval         = 300 * time.Millisecond
	defaultResendTimeout          = 3 * time.Second
)

// Options are the settings of a Table. Fields that are zero get defaults, except HeartbeatInterval, Self, Zone and
// Life.
type Options struct {
	HeartbeatInterval time.Duration // time between two heartbeats of an endpoint
	Self              string        // internal address of this process
	Zone              string        // zone of this process
	RunID             uint64        // random ID of this run of the process; each start has another one
	SilentAfter       time.Duration // time without a heartbeat after which an instance is silent
	GoneAfter         time.Duration // time without a heartbeat after which an instance is gone
	CompleteAfter     time.Duration // time after the start, or after a loss of contact, until the table counts as complete
	DigestInterval    time.Duration // time between digests to the other control processes
	TombstoneLifetime time.Duration // how long a gone instance is remembered
	ResendInterval    time.Duration // time between sends of a change that is not acknowledged
	ResendTimeout     time.Duration // age at which a change is not sent again
	// Durable says that departures count only once they are on disk: the caller writes those that TakeUnsaved returns, and then calls
	// Saved. Otherwise they count at once.
	Durable bool
}

func (o Options) withDefaults() Options {
	interval := float64(o.HeartbeatInterval)
	o.SilentAfter = cmp.Or(o.SilentAfter, time.Duration(defaultSilentAfterIntervals*interval))
	o.GoneAfter = cmp.Or(o.GoneAfter, time.Duration(defaultGoneAfterIntervals*interval))
	o.CompleteAfter = cmp.Or(o.CompleteAfter, time.Duration(defaultCompleteAfterIntervals*interval))
	o.DigestInterval = cmp.Or(o.DigestInterval, defaultDigestInterval)
	o.TombstoneLifetime = cmp.Or(o.TombstoneLifetime, defaultTombstoneLifetime)
	o.ResendInterval = cmp.Or(o.ResendInterval, defaultResendInterval)
	o.ResendTimeout = cmp.Or(o.ResendTimeout, defaultResendTimeout)
	return o
}

// Change is the effect of an input on one instance.
type Change struct {
	Instance Instance
	Changed  bool // the known state or description of the instance changed
	// NeedsReplication reports that the instance announced its departure and that too few control processes are known to
	// hold this. It must not be acknowledged to the instance before the change that Replicate returns is committed.
	NeedsReplication bool
}

// Table is the table of instances at one control process. It isn't safe for concurrent use.
type Table struct {
	options              Options
	records              map[string]*record
	fingerprints         map[uint32]*record // first record of each list that shares a fingerprint
	owners               map[string]*record // owner of each address
	buckets              [bucketCount]uint64
	peers                map[string]*peer
	electorate           []string // names of the voting control processes
	replicas             map[uint64]*replica
	nextReplica          uint64
	newlyCommitted       []uint64  // IDs of the replicas committed since the last TakeCommitted
	unreportedHeartbeats []*record // received a heartbeat here since the last digest
	superseded           []*record // lost their address; returned by the next Tick or Merge
	unsaved              []*record // departures that TakeUnsaved has not returned yet
	heldAcknowledgements map[heldKey]heldAcknowledgement

	majorityReachable  bool
	startedAt          time.Time
	silenceCountedFrom time.Time // silence before this time does not count
	lastTick           time.Time
	lastScan           time.Time
	lastDigest         time.Time
	lastSync           time.Time // last request for a comparison of buckets
}

// record is an instance with the bookkeeping of the table.
type record struct {
	Instance
	lastHeartbeatAt     time.Time               // newest heartbeat at any control process
	firstSeenAt         time.Time               // first heartbeat at any control process
	receivedBy          string                  // name of the process that received the newest heartbeat
	goneSince           time.Time               // start of the tombstone lifetime
	replicatedTo        map[string]replicaState // by peer name: state of the departing instance that it holds
	queuedState         State                   // reported state of the departure that was last queued to be saved
	savedState          State                   // reported state of the departure that is on disk
	unreported          bool                    // a heartbeat was received here since the last digest
	hash                uint64                  // contribution to its bucket
	nextSameFingerprint *record
}

// NewTable returns an empty table.
func NewTable(options Options, now time.Time) *Table {
	return &Table{
		options:              options.withDefaults(),
		records:              make(map[string]*record),
		fingerprints:         make(map[uint32]*record),
		owners:               make(map[string]*record),
		peers:                make(map[string]*peer),
		replicas:             make(map[uint64]*replica),
		heldAcknowledgements: make(map[heldKey]heldAcknowledgement),
		majorityReachable:    true,
		startedAt:            now,
		silenceCountedFrom:   now,
		lastTick:             now,
	}
}

// Instances returns all known instances in no particular order, including gone ones until their tombstones expire.
func (t *Table) Instances() []Instance {
	instances := make([]Instance, 0, len(t.records))
	for _, known := range t.records {
		instances = append(instances, known.Instance)
	}
	return instances
}

// Instance returns the instance with the given ID.
func (t *Table) Instance(id string) (instance Instance, known bool) {
	found, known := t.records[id]
	if !known {
		return Instance{}, false
	}
	return found.Instance, true
}

// Complete reports whether the process has been in contact with a majority for long enough that every instance had
// time to send a heartbeat.
func (t *Table) Complete(now time.Time) bool {
	return t.majorityReachable && now.Sub(t.silenceCountedFrom) >= t.options.CompleteAfter
}

// SetMajorityReachable sets whether this process is in contact with a majority of the control processes. Without that contact
// no instance expires, and when it returns, silence is counted from then on.
func (t *Table) SetMajorityReachable(now time.Time, reachable bool) {
	if reachable && !t.majorityReachable {
		t.silenceCountedFrom = now
	}
	t.majorityReachable = reachable
	t.updateAllCommitted()
}

// add inserts a record for an unknown ID.
func (t *Table) add(id string) *record {
	fingerprint := fingerprintOf(id)
	added := &record{Instance: Instance{ID: id}, nextSameFingerprint: t.fingerprints[fingerprint]}
	t.records[id] = added
	t.fingerprints[fingerprint] = added
	return added
}

// forget deletes a record.
func (t *Table) forget(known *record) {
	delete(t.records, known.ID)
	if t.owners[known.Address] == known {
		delete(t.owners, known.Address)
	}
	t.removeFingerprint(known)
	bucket := bucketOf(known.ID)
	t.buckets[bucket] -= known.hash
}

func (t *Table) removeFingerprint(known *record) {
	fingerprint := fingerprintOf(known.ID)
	if t.fingerprints[fingerprint] == known {
		if known.nextSameFingerprint == nil {
			delete(t.fingerprints, fingerprint)
			return
		}
		t.fingerprints[fingerprint] = known.nextSameFingerprint
		return
	}
	for other := t.fingerprints[fingerprint]; other != nil; other = other.nextSameFingerprint {
		if other.nextSameFingerprint == known {
			other.nextSameFingerprint = known.nextSameFingerprint
			return
		}
	}
}

// rehash updates the hash of a record and its bucket after a change, and queues a departure to be saved. Silence isn't
// part of the hash, because each process judges it by itself.
func (t *Table) rehash(known *record) {
	t.queueDeparture(known)
	state := known.Reported
	if known.State == StateGone {
		state = StateGone
	}
	hash := ContentHash(known.Instance, state)
	t.buckets[bucketOf(known.ID)] += hash - known.hash
	known.hash = hash
}

// hash returns the digest of the whole table.
func (t *Table) hash() uint64 {
	var sum uint64
	for _, bucket := range t.buckets {
		sum += bucket
	}
	return sum
}

const bucketCount = 256

func bucketOf(id string) int { return int(IDHash(id) >> 56) }
