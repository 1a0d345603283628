package chain

import (
	"fmt"
	"testing"
	"time"
)

// scenario drives a random walk to a situation that reveals an injected fault. Many details are random.
type scenario struct {
	initial int
	count   int
	script  func(w *randomWalk)
}

// run runs a scenario with faults injected in every process and returns the violations.
func (c scenario) run(t *testing.T, seed int64, injected injectedFaults, keepsWipedIdentity bool) []string {
	w := newRandomWalk(t, seed, c.count, c.initial, seededChooser(seed))
	w.keepsWipedIdentity = keepsWipedIdentity
	for _, p := range w.processes {
		p.injectedFaults = injected
	}
	w.run(4 * time.Second)
	c.script(w)
	if len(w.violations) == 0 {
		w.healAndCheck()
	}
	return w.violations
}

// partition cuts the links between the given processes and all others.
func (w *randomWalk) partition(side ...*process) {
	inside := make(map[int]bool)
	for _, p := range side {
		inside[p.number] = true
	}
	for _, a := range w.processes {
		for _, b := range w.processes {
			w.network.cut[[2]int{a.number, b.number}] = inside[a.number] != inside[b.number]
		}
	}
}

// randomDuration returns a random duration below a limit.
func (w *randomWalk) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(limit)))
}

// chainAndRest returns the processes of the chain of the newest view, and the other processes.
func (w *randomWalk) chainAndRest() (members, rest []*process) {
	view := w.newestView()
	for _, identity := range view.Chain {
		members = append(members, w.byIdentity(identity))
	}
	for _, p := range w.processes {
		if p.node == nil || view.ChainIndex(p.node.Identity()) < 0 {
			rest = append(rest, p)
		}
	}
	return members, rest
}

// randomSteps performs random steps without a particular order.
var randomSteps = scenario{initial: 3, count: 5, script: func(w *randomWalk) {
	for range 30 {
		if w.step(); len(w.violations) > 0 {
			return
		}
	}
}}

// lostVote makes the head decide a view with the vote of the other member. That member loses power before its disk has
// the vote, and then decides with the third voter while the head is isolated.
var lostVote = scenario{initial: 3, count: 4, script: func(w *randomWalk) {
	members, rest := w.chainAndRest()
	epoch := w.newestView().Epoch
	for _, p := range w.processes {
		p.syncTime = 200 * time.Millisecond
	}
	w.partition(rest[0])
	w.run(2500 * time.Millisecond)
	w.processes[3].start(false)
	for waited := 0; members[0].node.View().Epoch == epoch && waited < 2000; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.partition(members[0])
	members[1].kill(true)
	w.run(w.randomDuration(300 * time.Millisecond))
	w.ensureRunning(members[1])
	w.run(4 * time.Second)
}}

// isolatedHead isolates the head in one direction or briefly while commands are submitted to it.
var isolatedHead = scenario{initial: 3, count: 3, script: func(w *randomWalk) {
	for range 6 {
		members, rest := w.chainAndRest()
		for _, p := range rest {
			w.network.cut[[2]int{p.number, members[0].number}] = true
		}
		if w.random.Intn(2) == 0 {
			w.network.cut[[2]int{members[1].number, members[0].number}] = true
		}
		w.run(w.randomDuration(3 * time.Second))
		clear(w.network.cut)
		w.run(w.randomDuration(time.Second))
	}
}}

// learnersCutOff isolates two learners and one voter from the chain.
var learnersCutOff = scenario{initial: 3, count: 5, script: func(w *randomWalk) {
	members, _ := w.chainAndRest()
	w.processes[3].start(false)
	w.processes[4].start(false)
	w.run(100*time.Millisecond + w.randomDuration(700*time.Millisecond))
	w.partition(members...)
	w.run(4 * time.Second)
}}

// chainCutOff adds two learners. Shortly before they become voters, the messages of the tail no longer reach processes
// outside the chain, and once they are voters the whole chain is isolated.
var chainCutOff = scenario{initial: 3, count: 5, script: func(w *randomWalk) {
	members, _ := w.chainAndRest()
	head, tail := members[0], members[len(members)-1]
	w.processes[3].start(false)
	w.processes[4].start(false)
	for waited := 0; len(head.node.candidates) < 2 && waited < 500; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.run(candidateProbation - 50*time.Millisecond - w.randomDuration(400*time.Millisecond))
	for _, p := range w.processes {
		w.network.cut[[2]int{tail.number, p.number}] = p != head
	}
	for waited := 0; len(head.node.View().Voters) < 4 && waited < 500; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.run(50*time.Millisecond + w.randomDuration(100*time.Millisecond))
	w.partition(members...)
	w.run(4 * time.Second)
}}

// TestInjectedFaultsAreDetected verifies that the checks of the random walk detect each injected fault.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name               string
		scenario           scenario
		injected           injectedFaults
		keepsWipedIdentity bool
	}{
		{"vote not synced", lostVote, injectedFaults{sendUnsyncedVotes: true}, false},
		{"wiped voter votes again", randomSteps, injectedFaults{}, true},
		{"read without confirmation", randomSteps, injectedFaults{serveUnconfirmedReads: true}, false},
		{"single-member chain", randomSteps, injectedFaults{allowSingleMemberChain: true}, false},
		{"old head continues", isolatedHead, injectedFaults{ignoreEpochEnd: true}, false},
		{"learner counted", learnersCutOff, injectedFaults{countLearnerVotes: true}, false},
		{"two replacements", chainCutOff, injectedFaults{replaceSeveralVoters: true}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 60
			for seed := range int64(maxSeeds) {
				if violations := test.scenario.run(t, seed, test.injected, test.keepsWipedIdentity); len(violations) > 0 {
					t.Logf("detected with seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("not detected with %d seeds", maxSeeds)
		})
	}
}

// TestNoViolationsWithoutInjectedFaults verifies that the same scenarios report nothing without an injected fault.
func TestNoViolationsWithoutInjectedFaults(t *testing.T) {
	for index, each := range []scenario{randomSteps, lostVote, isolatedHead, learnersCutOff, chainCutOff} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(12) {
				if violations := each.run(t, seed, injectedFaults{}, false); len(violations) > 0 {
					t.Errorf("seed %d: %v", seed, violations)
				}
			}
		})
	}
}
