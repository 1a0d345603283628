package registry

import (
	"cmp"
	"time"
)

// Defaults of Options, as multiples of the heartbeat interval where the name says so.
const (
	defaultSilentIntervals   = 2.5
	defaultGoneIntervals     = 10
	defaultCompleteIntervals = 2
	defaultDigestInterval    = 500 * time.Millisecond
	defaultTombstone         = 60 * time.Second
	defaultResendInterval    = 300 * time.Millisecond
	defaultResendFor         = 3 * time.Second
)

// Options are the settings of a Table. Fields left at zero get their defaults, HeartbeatInterval and Self excepted.
type Options struct {
	HeartbeatInterval time.Duration // of the endpoints
	Self              string        // internal address of this process
	Zone              string        // of this process
	Life              uint64        // random number of this life of the process
	SilentAfter       time.Duration // without a heartbeat an instance is silent
	GoneAfter         time.Duration // without a heartbeat an instance is gone
	CompleteAfter     time.Duration // after a start, until the table counts as filled
	DigestInterval    time.Duration // between digests to the other control processes
	Tombstone         time.Duration // a gone instance is remembered for so long
	ResendInterval    time.Duration // between sendings of a change that is not acknowledged
	ResendFor         time.Duration // no longer than that
}

func (o Options) withDefaults() Options {
	interval := float64(o.HeartbeatInterval)
	o.SilentAfter = cmp.Or(o.SilentAfter, time.Duration(defaultSilentIntervals*interval))
	o.GoneAfter = cmp.Or(o.GoneAfter, time.Duration(defaultGoneIntervals*interval))
	o.CompleteAfter = cmp.Or(o.CompleteAfter, time.Duration(defaultCompleteIntervals*interval))
	o.DigestInterval = cmp.Or(o.DigestInterval, defaultDigestInterval)
	o.Tombstone = cmp.Or(o.Tombstone, defaultTombstone)
	o.ResendInterval = cmp.Or(o.ResendInterval, defaultResendInterval)
	o.ResendFor = cmp.Or(o.ResendFor, defaultResendFor)
	return o
}

// Change is what an input did to one instance.
type Change struct {
	Instance Instance
	Changed  bool // what is known of the instance is different now
	// NeedsReplica: the instance said that it leaves, and too few control processes are known to have that yet. It gets its
	// acknowledgement once Replicate's change is safe.
	NeedsReplica bool
}

// Table is the table of instances at one control process. It isn't safe for use by several goroutines at once.
type Table struct {
	options      Options
	records      map[string]*record
	fingerprints map[uint32]*record // heads of the lists of the records that share a fingerprint
	holders      map[string]*record // by address: the instance that has it
	buckets      [bucketCount]uint64
	peers        map[string]*peer
	electorate   []string // names of the control processes of which a majority decides
	replicas     map[uint64]*replica
	nextReplica  uint64
	safe         []uint64  // replicas that became safe since TakeSafe
	beaten       []*record // heard here since the last digest
	superseded   []*record // lost their address; Tick tells of them

	inTouch    bool
	startedAt  time.Time
	watchFrom  time.Time // silence counts from then at the earliest
	lastTick   time.Time
	lastScan   time.Time
	lastDigest time.Time
	lastSync   time.Time // when a comparison of buckets was last asked for
}

// record is an instance with what the table itself needs to know of it.
type record struct {
	Instance
	heardAt         time.Time          // its newest heartbeat at any control process
	knownSince      time.Time          // its first heartbeat
	heardBy         string             // the process that the newest heartbeat came to
	goneSince       time.Time          // for the tombstone
	heldBy          map[string]holding // by name of the process: what is known to be held elsewhere of a leaving instance
	pendingBeat     bool               // a heartbeat came here since the last digest
	hash            uint64             // its part of the bucket
	nextFingerprint *record
}

// NewTable returns an empty table.
func NewTable(options Options, now time.Time) *Table {
	return &Table{
		options:      options.withDefaults(),
		records:      make(map[string]*record),
		fingerprints: make(map[uint32]*record),
		holders:      make(map[string]*record),
		peers:        make(map[string]*peer),
		replicas:     make(map[uint64]*replica),
		inTouch:      true,
		startedAt:    now,
		watchFrom:    now,
		lastTick:     now,
	}
}

// Instances returns all instances known, gone ones included as long as they are remembered.
func (t *Table) Instances() []Instance {
	instances := make([]Instance, 0, len(t.records))
	for _, known := range t.records {
		instances = append(instances, known.Instance)
	}
	return instances
}

// Instance returns one instance.
func (t *Table) Instance(id string) (instance Instance, known bool) {
	found, known := t.records[id]
	if !known {
		return Instance{}, false
	}
	return found.Instance, true
}

// Complete says whether the process has been in touch for long enough that every instance had time to call.
func (t *Table) Complete(now time.Time) bool {
	return t.inTouch && now.Sub(t.watchFrom) >= t.options.CompleteAfter
}

// SetInTouch tells whether this process is in touch with the majority of the control processes. While it isn't, no instance
// expires, and afterwards silence counts afresh.
func (t *Table) SetInTouch(now time.Time, inTouch bool) {
	if inTouch && !t.inTouch {
		t.watchFrom = now
	}
	t.inTouch = inTouch
	t.settleReplicas()
}

// add makes a record for an id that isn't known.
func (t *Table) add(id string) *record {
	fingerprint := fingerprintOf(id)
	added := &record{Instance: Instance{ID: id}, nextFingerprint: t.fingerprints[fingerprint]}
	t.records[id] = added
	t.fingerprints[fingerprint] = added
	return added
}

// forget takes a record out.
func (t *Table) forget(known *record) {
	delete(t.records, known.ID)
	if t.holders[known.Address] == known {
		delete(t.holders, known.Address)
	}
	t.removeFingerprint(known)
	bucket := bucketOf(known.ID)
	t.buckets[bucket] -= known.hash
}

func (t *Table) removeFingerprint(known *record) {
	fingerprint := fingerprintOf(known.ID)
	if t.fingerprints[fingerprint] == known {
		if known.nextFingerprint == nil {
			delete(t.fingerprints, fingerprint)
			return
		}
		t.fingerprints[fingerprint] = known.nextFingerprint
		return
	}
	for other := t.fingerprints[fingerprint]; other != nil; other = other.nextFingerprint {
		if other.nextFingerprint == known {
			other.nextFingerprint = known.nextFingerprint
			return
		}
	}
}

// rehash brings a record's part of its bucket up to date. Silence isn't part of it: each process judges that by itself.
func (t *Table) rehash(known *record) {
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
