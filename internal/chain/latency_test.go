package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// separateRegions sets the one-way delay between regions.
func (s *simulation) separateRegions(interRegionDelay time.Duration) {
	s.network.maxJitter = 2 * time.Millisecond
	s.network.interRegionDelay = interRegionDelay
}

// TestLatencyAcrossRegions verifies that with distant regions the latency of changes and the outage after a member
// crash leave a margin to the limits promised to operators.
func TestLatencyAcrossRegions(t *testing.T) {
	for _, count := range []int{3, 5, 9} {
		for _, sync := range []time.Duration{500 * time.Microsecond, 5 * time.Millisecond} {
			for _, interRegionDelay := range []time.Duration{35 * time.Millisecond, 55 * time.Millisecond} {
				name := fmt.Sprintf("%d members, sync %v, %v one way", count, sync, interRegionDelay)
				t.Run(name, func(t *testing.T) { measureAcrossRegions(t, count, sync, interRegionDelay) })
			}
		}
	}
}

func measureAcrossRegions(t *testing.T, count int, sync, interRegionDelay time.Duration) {
	s := newSimulation(t, 1, count)
	s.separateRegions(interRegionDelay)
	for _, p := range s.processes {
		p.syncTime = sync
	}
	s.startAll()
	s.submitAndWait("first")
	s.runUntil(20*time.Second, func() bool { return len(s.newestView().Voters) == count })
	s.runUntil(3*time.Second, s.active)
	s.submitAndWait("second")
	var latencies []time.Duration
	for number := range 100 {
		_, took := s.submitAndWait(fmt.Sprintf("c%d", number))
		latencies = append(latencies, took)
	}
	slices.Sort(latencies)
	outages := s.crashMembers(count / 2)
	t.Logf("change: p50 %v, p99 %v; outage after a member crash: %v", latencies[50], latencies[99], outages)
	assert.Assert(t, latencies[99] < requestTimeout)
	assert.Assert(t, slices.Max(outages) < 1500*time.Millisecond, "%v", outages)
	s.verifyFinalState()
}

// crashMembers kills chain members one after the other. It returns for each the time from its detection by membership
// until the chain worked again.
func (s *simulation) crashMembers(count int) []time.Duration {
	var outages []time.Duration
	for range count {
		view := s.newestView()
		victim := s.byIdentity(view.Chain[len(outages)%len(view.Chain)])
		victim.kill(false)
		detectedAt := s.now.Add(livenessTimeout)
		s.runUntil(4*time.Second, func() bool { return s.newestView().Epoch > view.Epoch && s.active() })
		outages = append(outages, s.now.Sub(detectedAt))
		victim.start(false)
		s.run(3 * time.Second)
	}
	return outages
}

// TestReadsAreAnsweredBeforeRetry verifies that a read is answered as soon as the process has the state at its
// position, also during continuous changes.
func TestReadsAreAnsweredBeforeRetry(t *testing.T) {
	s := newSettledSimulation(t, 3, 5)
	s.network.maxJitter = 10 * time.Millisecond
	s.submitContinuously(4 * time.Millisecond)
	s.run(500 * time.Millisecond)
	longest, answered := time.Duration(0), 0
	const reads = 40
	for number := range reads {
		sentAt := s.now
		s.processes[number%len(s.processes)].read(func(answer Answer) {
			assert.Assert(t, answer.OutcomeKnown)
			longest, answered = max(longest, s.now.Sub(sentAt)), answered+1
		})
		s.run(50 * time.Millisecond)
	}
	s.run(time.Second)
	assert.Equal(t, answered, reads)
	t.Logf("a read took %v at most", longest)
	assert.Assert(t, longest < readRetryInterval)
}
