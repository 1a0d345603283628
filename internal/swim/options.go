package swim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options are the settings of a Node.
type Options struct {
	// Self describes this process. New sets its incarnation and status.
	Self Member
	// Seeds are the internal addresses of processes to join through. The address of this process may be among them.
	Seeds []string
	// ContactBound is the time within which the processes must detect membership changes such as failures (setting
	// bounds.contactMs). The intervals and timeouts in timing are derived from it.
	ContactBound time.Duration
	// Random is the source of randomness.
	Random *rand.Rand
}

// Counts of the protocol that do not depend on Options.
const (
	// watcherCount is the number of members that probe each member in every probe interval.
	watcherCount = 3
	// helperCount is the number of members that are asked to probe an unresponsive target.
	helperCount = 3
	// gossipFanout is the number of members that get updates in each round of gossip.
	gossipFanout = 3
	// maxHealthScore bounds the local health score. Probe timeouts are multiplied by the score plus one.
	maxHealthScore = 3
	// maxConfirmations is the number of accusers beyond the first that shorten a suspicion to its minimum.
	maxConfirmations = watcherCount - 1
	// retransmitFactor times the binary logarithm of the fleet size is the number of times that a member sends an
	// update.
	retransmitFactor = 2
	// maxQueuedProbesPerTick bounds the unscheduled probes that one Tick starts.
	maxQueuedProbesPerTick = 4
	// maxQueuedProbes bounds the queue of unscheduled probes.
	maxQueuedProbes = 1024
	// probesPerNearbyMember is the approximate number of probes that each member near a new suspect gets from the
	// rest of the fleet.
	probesPerNearbyMember = 4
	// maxTombstones bounds the remembered members that are dead or have left.
	maxTombstones = 1024
	// recontactFleetSize is the fleet size up to which members contact dead members and absent seeds at the full
	// rate. In a larger fleet each member does so less often, in proportion to the size.
	recontactFleetSize = 32
)

// Times of the protocol that do not depend on Options.
const (
	joinInterval   = 200 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// maxTickGap is the longest time between two calls of Tick after which this process does not count as paused.
	maxTickGap = 350 * time.Millisecond
	// directAckTimeout and indirectAckTimeout are how long the answer to a direct and to a relayed probe may take
	// beyond the expected round trip.
	directAckTimeout   = 150 * time.Millisecond
	indirectAckTimeout = 250 * time.Millisecond
	// relayedAckTimeout is the same for the ping that a helper sends. It is shorter than indirectAckTimeout so that
	// the helper's nack arrives before the requester gives up.
	relayedAckTimeout = 100 * time.Millisecond
	// assumedRemoteRoundTrip is the round trip assumed for members of another region until it is measured.
	assumedRemoteRoundTrip = 150 * time.Millisecond
	// minTriggeredSyncInterval is the minimum time between exchanges that are triggered by a message rather than by
	// the schedule.
	minTriggeredSyncInterval = 500 * time.Millisecond
)

// timing holds the intervals and timeouts that are derived from the contact bound.
type timing struct {
	probeInterval         time.Duration // between probes of a member by each of its watchers
	minSuspicionTimeout   time.Duration // minimum suspicion timeout in a fleet of up to ten members
	randomProbeInterval   time.Duration // between probes of random members
	digestInterval        time.Duration // between comparisons of digests
	initialDigestInterval time.Duration // the same during initialPhase
	initialPhase          time.Duration // time after the start with more frequent joins and digests
	tombstoneLifetime     time.Duration // how long members that are dead or have left are remembered
}

const (
	defaultContactBound   = 4 * time.Second
	minProbeInterval      = 250 * time.Millisecond
	maxProbeInterval      = time.Second
	suspicionTimeoutFloor = 250 * time.Millisecond
)

func newTiming(contactBound time.Duration) timing {
	if contactBound <= 0 {
		contactBound = defaultContactBound
	}
	probeInterval := min(max(contactBound/8, minProbeInterval), maxProbeInterval)
	return timing{
		probeInterval:         probeInterval,
		minSuspicionTimeout:   max(contactBound/12, suspicionTimeoutFloor),
		randomProbeInterval:   4 * probeInterval,
		digestInterval:        10 * probeInterval,
		initialDigestInterval: 2 * probeInterval,
		initialPhase:          20 * probeInterval,
		tombstoneLifetime:     30 * contactBound,
	}
}

// suspicionTimeouts returns the shortest and the longest time that a suspected member of a fleet of the given size
// has to refute.
func (t timing) suspicionTimeouts(members int) (minTimeout, maxTimeout time.Duration) {
	scale := max(1, math.Log10(float64(members)))
	minTimeout = time.Duration(float64(t.minSuspicionTimeout) * scale)
	return minTimeout, minTimeout * 7 / 4
}

// retransmitLimit is the number of times that a member of a fleet of the given size sends one update.
func retransmitLimit(members int) int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(members+1))))
}
