package swim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Options are the settings of a Node.
type Options struct {
	// Self is this process; its incarnation and status are set by New.
	Self Member
	// Seeds are internal addresses of processes to join through; the own address may be among them.
	Seeds []string
	// ContactBound is the time within which the system must have noticed what happened (bounds.contactMs). All times of
	// the protocol are derived from it.
	ContactBound time.Duration
	// Random is the source of chance.
	Random *rand.Rand
}

// Fixed counts of the protocol.
const (
	// watchers is how many members probe each member in every period.
	watchers = 3
	// helpers is how many members are asked to probe a silent target.
	helpers = 3
	// fanout is how many members get a datagram of updates at a time.
	fanout = 3
	// maxHealth bounds the local health score; waits for answers grow with it.
	maxHealth = 3
	// confirmations is how many further accusers shorten a suspicion to its least.
	confirmations = watchers - 1
	// updateFactor times the binary logarithm of the fleet is how often a member passes an update on.
	updateFactor = 2
	// urgentPerTick bounds the probes out of turn that one Tick starts.
	urgentPerTick = 4
	// maxUrgent bounds the probes out of turn that wait.
	maxUrgent = 1024
	// lookAroundProbes is about how many members probe each member near a new suspect.
	lookAroundProbes = 4
	// maxGraves bounds the dead that are remembered.
	maxGraves = 1024
	// strangerScale is the fleet size from which contacts to the dead and to absent seeds get rarer for each member.
	strangerScale = 32
)

// Fixed times of the protocol.
const (
	joinInterval   = 200 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// maxTickGap is how long after a call of Tick the next one may come before the member takes itself for frozen.
	maxTickGap = 350 * time.Millisecond
	// directWait and helperWait are how long answers may take beyond the round trip.
	directWait = 150 * time.Millisecond
	helperWait = 250 * time.Millisecond
	// relayedProbeWait is the same for a helper, short enough that its word reaches the asker before that gives up.
	relayedProbeWait = 100 * time.Millisecond
	// remoteRoundTrip is assumed for another region until it has been measured.
	remoteRoundTrip = 150 * time.Millisecond
	// answerSyncPause is the least time between exchanges that something unexpected started.
	answerSyncPause = 500 * time.Millisecond
)

// timing holds the times that follow from the contact bound.
type timing struct {
	period        time.Duration // of the probes of one member by each of its watchers
	suspicion     time.Duration // the least suspicion in a fleet of ten or fewer
	random        time.Duration // between probes of members picked by chance
	compare       time.Duration // between comparisons of digests
	compareEarly  time.Duration // the same soon after the start
	early         time.Duration // how long a member counts as new
	graveLifetime time.Duration // how long the dead are remembered
}

const (
	defaultContactBound = 4 * time.Second
	leastPeriod         = 250 * time.Millisecond
	longestPeriod       = time.Second
	leastSuspicion      = 250 * time.Millisecond
)

func newTiming(bound time.Duration) timing {
	if bound <= 0 {
		bound = defaultContactBound
	}
	period := min(max(bound/8, leastPeriod), longestPeriod)
	return timing{
		period:        period,
		suspicion:     max(bound/12, leastSuspicion),
		random:        4 * period,
		compare:       10 * period,
		compareEarly:  2 * period,
		early:         20 * period,
		graveLifetime: 30 * bound,
	}
}

// suspicionBounds returns the least and longest time a suspect has to refute in a fleet of the given size.
func (t timing) suspicionBounds(members int) (least, longest time.Duration) {
	scale := max(1, math.Log10(float64(members)))
	least = time.Duration(float64(t.suspicion) * scale)
	return least, least * 7 / 4
}

// updateLimit is how often a member passes one update on in a fleet of the given size.
func updateLimit(members int) int {
	return updateFactor * int(math.Ceil(math.Log2(float64(members+1))))
}
