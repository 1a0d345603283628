package chain

import (
	"fmt"
	"testing"
	"time"
)

// A scenario drives a walk to the kind of moment in which a mistake shows, with much left to chance.
type scenario struct {
	initial int
	count   int
	play    func(w *walk)
}

// play runs a scenario with mistakes planted in every process, and returns what was found broken.
func (c scenario) run(t *testing.T, seed int64, planted mistakes, keepsName bool) []string {
	w := newWalk(t, seed, c.count, c.initial, seededChooser(seed))
	w.keepsName = keepsName
	for _, p := range w.processes {
		p.mistakes = planted
	}
	w.run(4 * time.Second)
	c.play(w)
	if len(w.broken) == 0 {
		w.end()
	}
	return w.broken
}

// separate cuts the processes named from all others.
func (w *walk) separate(side ...*process) {
	inside := make(map[int]bool)
	for _, p := range side {
		inside[p.number] = true
	}
	for _, a := range w.processes {
		for _, b := range w.processes {
			w.trouble.cut[[2]int{a.number, b.number}] = inside[a.number] != inside[b.number]
		}
	}
}

// within draws a time.
func (w *walk) within(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(limit)))
}

// chainAndRest are the processes of the newest view's chain, and the others.
func (w *walk) chainAndRest() (members, rest []*process) {
	view := w.newestView()
	for _, identity := range view.Chain {
		members = append(members, w.byIdentity(identity))
	}
	for _, p := range w.processes {
		if p.node == nil || view.Place(p.node.Identity()) < 0 {
			rest = append(rest, p)
		}
	}
	return members, rest
}

var anything = scenario{initial: 3, count: 5, play: func(w *walk) {
	for range 30 {
		if w.step(); len(w.broken) > 0 {
			return
		}
	}
}}

// The head decides a view with the vote of the other member; that one loses power before its disk has the vote, and decides with
// the third voter, while the head is cut off.
var voteLost = scenario{initial: 3, count: 4, play: func(w *walk) {
	members, rest := w.chainAndRest()
	epoch := w.newestView().Epoch
	for _, p := range w.processes {
		p.syncTime = 200 * time.Millisecond
	}
	w.separate(rest[0])
	w.run(2500 * time.Millisecond)
	w.processes[3].start(false)
	for waited := 0; members[0].node.View().Epoch == epoch && waited < 2000; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.separate(members[0])
	members[1].kill(true)
	w.run(w.within(300 * time.Millisecond))
	w.startOne(members[1])
	w.run(4 * time.Second)
}}

// The head is cut off one way or for a moment, while commands come to it.
var headDeposed = scenario{initial: 3, count: 3, play: func(w *walk) {
	for range 6 {
		members, rest := w.chainAndRest()
		for _, p := range rest {
			w.trouble.cut[[2]int{p.number, members[0].number}] = true
		}
		if w.random.Intn(2) == 0 {
			w.trouble.cut[[2]int{members[1].number, members[0].number}] = true
		}
		w.run(w.within(3 * time.Second))
		clear(w.trouble.cut)
		w.run(w.within(time.Second))
	}
}}

// Two learners and one voter are cut off from the chain.
var learnersCutOff = scenario{initial: 3, count: 5, play: func(w *walk) {
	members, _ := w.chainAndRest()
	w.processes[3].start(false)
	w.processes[4].start(false)
	w.run(100*time.Millisecond + w.within(700*time.Millisecond))
	w.separate(members...)
	w.run(4 * time.Second)
}}

// Two learners come. Shortly before they get their votes the tail is no longer heard outside the chain, and as soon as they have
// them the chain is cut off.
var membersCutOff = scenario{initial: 3, count: 5, play: func(w *walk) {
	members, _ := w.chainAndRest()
	head, tail := members[0], members[len(members)-1]
	w.processes[3].start(false)
	w.processes[4].start(false)
	for waited := 0; len(head.node.candidates) < 2 && waited < 500; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.run(candidateSteady - 50*time.Millisecond - w.within(400*time.Millisecond))
	for _, p := range w.processes {
		w.trouble.cut[[2]int{tail.number, p.number}] = p != head
	}
	for waited := 0; len(head.node.View().Voters) < 4 && waited < 500; waited++ {
		w.run(5 * time.Millisecond)
	}
	w.run(50*time.Millisecond + w.within(100*time.Millisecond))
	w.separate(members...)
	w.run(4 * time.Second)
}}

func TestMistakesAreFound(t *testing.T) {
	cases := []struct {
		name      string
		scenario  scenario
		planted   mistakes
		keepsName bool
	}{
		{"vote not synced", voteLost, mistakes{voteUnsynced: true}, false},
		{"wiped voter votes again", anything, mistakes{}, true},
		{"read without confirmation", anything, mistakes{readUnconfirmed: true}, false},
		{"chain of one", anything, mistakes{chainOfOne: true}, false},
		{"old head goes on", headDeposed, mistakes{headGoesOn: true}, false},
		{"learner counted", learnersCutOff, mistakes{learnerCounts: true}, false},
		{"two replacements", membersCutOff, mistakes{twoReplacements: true}, false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			const walks = 60
			for seed := range int64(walks) {
				if broken := each.scenario.run(t, seed, each.planted, each.keepsName); len(broken) > 0 {
					t.Logf("found by walk %d: %s", seed, broken[0])
					return
				}
			}
			t.Errorf("not found in %d walks", walks)
		})
	}
}

// The same scenarios find nothing where no mistake is planted.
func TestNothingIsFoundWithoutMistakes(t *testing.T) {
	for index, each := range []scenario{anything, voteLost, headDeposed, learnersCutOff, membersCutOff} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(12) {
				if broken := each.run(t, seed, mistakes{}, false); len(broken) > 0 {
					t.Errorf("walk %d: %v", seed, broken)
				}
			}
		})
	}
}
