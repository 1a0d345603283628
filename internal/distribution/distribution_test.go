package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

const (
	ready    = registry.StateReady
	draining = registry.StateDraining
	silent   = registry.StateSilent
	gone     = registry.StateGone
)

func list(instances ...registry.Instance) []registry.Instance { return instances }

// calmWorld has two control processes and a relay that prefers the first.
func calmWorld() (*world, *Subscriber) {
	w := newWorld()
	w.addControl("c1")
	w.addControl("c2")
	w.setConfig(wholeUpdate(1, "one"), "c1", "c2")
	w.setInstances(list(instanceOf("1", ready, 1), instanceOf("2", ready, 1)), "c1", "c2")
	relay := w.addRelay("r1", "c1", "c2")
	w.run(time.Second)
	return w, relay
}

func TestNewSubscriberLearnsAll(t *testing.T) {
	w, relay := calmWorld()
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(w.now))
	assert.Assert(t, relay.Complete())
	assert.Equal(t, string(relay.Config().Document), "one")
	assert.Equal(t, relay.Config().Generation, uint64(10))
	assert.Equal(t, len(relay.Instances()), 2)
	assert.Assert(t, w.outputs["r1"].ConfigChanged)
	assert.Equal(t, len(w.outputs["r1"].InstancesChanged), 2)
}

func TestDrainArrivesAtOnce(t *testing.T) {
	w, relay := calmWorld()
	w.setInstances(list(instanceOf("1", draining, 2)), "c1")
	w.run(testLatency)
	assert.Equal(t, stateAt(relay, "1"), draining)
}

func TestChangesThatAreNotUrgentAreGathered(t *testing.T) {
	w, relay := calmWorld()
	publisher := w.publishers["c1"]
	w.setInstances(list(instanceOf("3", ready, 1)), "c1")
	sequence := publisher.sequence
	for index := range 10 {
		w.setInstances(list(instanceOf(fmt.Sprint(10+index), ready, 1)), "c1")
	}
	assert.Equal(t, publisher.sequence, sequence)
	w.run(150 * time.Millisecond)
	assert.Equal(t, publisher.sequence, sequence+1)
	assert.Equal(t, len(relay.Instances()), 13)
}

func TestPatchIsSentAsAPatch(t *testing.T) {
	w, relay := calmWorld()
	update := w.publishers["c1"].SetConfig(w.now, patchUpdate(1, 2, "one", "+two")).Sends[0].Message.GetUpdate()
	assert.Assert(t, !update.GetConfig().GetWhole())
	w.take("", relay.Receive(w.now, "c1", &feedpb.FeedMessage{Source: w.publishers["c1"].source, Update: update}))
	assert.Equal(t, string(relay.Config().Document), "one+two")
	assert.Equal(t, relay.WholeUpdates(), 0)
}

func TestSubscriberThatMissedPatchesGetsThem(t *testing.T) {
	w, relay := calmWorld()
	w.down["r1"] = true
	w.setConfig(patchUpdate(1, 2, "one", "+two"), "c1", "c2")
	w.setConfig(patchUpdate(2, 5, "one+two", "+five"), "c1", "c2")
	w.down["r1"] = false
	w.run(time.Second)
	assert.Equal(t, string(relay.Config().Document), "one+two+five")
	assert.Equal(t, relay.Config().Revision, uint64(5))
	assert.Equal(t, relay.WholeUpdates(), 0)
}

func TestPatchThatFailsOrDiffersIsReplacedByTheWhole(t *testing.T) {
	for _, patch := range []string{"!", "+two"} {
		w, relay := calmWorld()
		update := patchUpdate(1, 2, "one", patch)
		update.Document = []byte("something else that is longer than the patch")
		w.setConfig(update, "c1", "c2")
		w.run(500 * time.Millisecond)
		assert.Equal(t, string(relay.Config().Document), "something else that is longer than the patch")
		assert.Equal(t, relay.WholeUpdates(), 1)
	}
}

func TestEvacuationDoesNotSendTheDocumentAgain(t *testing.T) {
	w, relay := calmWorld()
	update := wholeUpdate(2, "one")
	update.Evacuated = []Evacuation{{Zone: "hall-a", Revision: 2}}
	update.Restored = []Restoration{{Zone: "hall-b", Revision: 1, At: w.now.Add(-3 * time.Second)}}
	sends := w.publishers["c1"].SetConfig(w.now, update).Sends
	assert.Assert(t, !sends[0].Message.GetUpdate().GetConfig().GetWhole())
	w.takeFrom("c1", sends)
	w.run(testLatency)
	config := relay.Config()
	assert.DeepEqual(t, config.Evacuated, update.Evacuated)
	assert.Equal(t, config.Restored[0].Zone, "hall-b")
	assert.Equal(t, config.Restored[0].At, w.now.Add(-3*time.Second))
	assert.Equal(t, string(config.Document), "one")
}

func TestRevisionNeverGoesBack(t *testing.T) {
	w, relay := calmWorld()
	w.setConfig(wholeUpdate(7, "seven"), "c1")
	w.run(100 * time.Millisecond)
	w.down["c1"] = true
	w.run(3 * time.Second)
	assert.Equal(t, relay.Source(), "c2")
	assert.Equal(t, relay.Config().Revision, uint64(7))
	assert.Equal(t, string(relay.Config().Document), "seven")
	assert.Assert(t, !w.publishers["c2"].SetConfig(w.now, wholeUpdate(1, "one")).ConfigChanged)
}

func TestSubscriberLeavesASilentSource(t *testing.T) {
	w, relay := calmWorld()
	w.down["c1"] = true
	w.run(1900 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2")
	assert.Assert(t, relay.Fresh(w.now))
}

func TestSubscriberLeavesASourceThatIsCutOff(t *testing.T) {
	w, relay := calmWorld()
	w.publishers["c1"].SetFresh(false)
	w.run(800 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2")
	assert.Assert(t, relay.Fresh(w.now))
}

func TestSubscriberStaysWhereNoSourceIsBetter(t *testing.T) {
	w, relay := calmWorld()
	w.publishers["c1"].SetFresh(false)
	w.publishers["c2"].SetFresh(false)
	w.run(10 * time.Second)
	assert.Assert(t, relay.Source() != "")
	assert.Assert(t, !relay.Fresh(w.now))
	w.setInstances(list(instanceOf("1", draining, 2)), "c1", "c2")
	w.run(100 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), draining, "what a source that is cut off knows counts all the same")
	w.publishers["c1"].SetFresh(true)
	w.publishers["c2"].SetFresh(true)
	w.run(time.Second)
	assert.Assert(t, relay.Fresh(w.now))
}

func TestSubscriberReturnsToTheBestSource(t *testing.T) {
	w, relay := calmWorld()
	w.down["c1"] = true
	w.run(3 * time.Second)
	w.down["c1"] = false
	w.run(5 * time.Second)
	assert.Equal(t, relay.Source(), "c2", "not at once")
	w.run(20 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Equal(t, w.publishers["c2"].Subscribers(), 0)
}

func TestSubscriberDoesNotReturnToASourceThatIsStillFilling(t *testing.T) {
	w, relay := calmWorld()
	w.down["c1"] = true
	w.run(3 * time.Second)
	w.down["c1"] = false
	w.addControl("c1").SetComplete(false)
	w.run(25 * time.Second)
	assert.Equal(t, relay.Source(), "c2")
}

func TestRestartedControlThatKnowsNothingTakesNothingAway(t *testing.T) {
	w, relay := calmWorld()
	w.down["c2"] = true
	restarted := w.addControl("c1")
	restarted.SetComplete(false)
	w.run(20 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Equal(t, len(relay.Instances()), 2)
	assert.Equal(t, string(relay.Config().Document), "one")
	w.setInstances(list(instanceOf("1", ready, 9)), "c1")
	restarted.SetComplete(true)
	w.run(4 * time.Second)
	assert.Equal(t, len(relay.Instances()), 2, "kept for a while")
	w.run(3 * time.Second)
	assert.Equal(t, len(relay.Instances()), 1)
	assert.Equal(t, stateAt(relay, "1"), ready)
	w.setInstances(list(instanceOf("2", ready, 9)), "c1")
	w.run(time.Second)
	assert.Equal(t, stateAt(relay, "2"), ready, "what was dropped may be listed later")
}

func TestInstancesThatAreTheSameAreNotSentAgain(t *testing.T) {
	w, relay := calmWorld()
	request := Output{}
	relay.ask(w.now, &source{address: "c2"}, &request)
	answer := w.publishers["c2"].Receive(w.now, "r1", request.Sends[0].Message).Sends[0].Message.GetUpdate()
	assert.Equal(t, len(answer.GetInstances()), 0)
	assert.Equal(t, len(answer.GetSameBuckets()), bucketCount)
	assert.Assert(t, answer.GetConfig() == nil)
	w.down["c1"] = true
	w.run(20 * time.Second)
	assert.Equal(t, len(relay.Instances()), 2, "they count as listed")
}

func TestLostPushIsNoticedAndAskedFor(t *testing.T) {
	w, relay := calmWorld()
	w.down["r1"] = true
	w.setInstances(list(instanceOf("1", draining, 2)), "c1")
	w.setConfig(wholeUpdate(2, "two"), "c1")
	w.down["r1"] = false
	w.run(600 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), draining)
	assert.Equal(t, relay.Config().Revision, uint64(2))
}

// TestLostPushOfInstancesIsNoticedByTheDigest loses the only message that tells of a drain.
func TestLostPushOfInstancesIsNoticedByTheDigest(t *testing.T) {
	w, relay := calmWorld()
	w.publishers["c1"].SetInstances(w.now, list(instanceOf("1", draining, 2)))
	w.run(600 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), draining)
}

// TestLostPushIsNoticedByTheNextPush loses a message and lets the next one come.
func TestLostPushIsNoticedByTheNextPush(t *testing.T) {
	w, relay := calmWorld()
	w.run(450 * time.Millisecond) // so that the next question is due
	w.publishers["c1"].SetInstances(w.now, list(instanceOf("1", draining, 2)))
	w.setInstances(list(instanceOf("2", draining, 2)), "c1")
	w.run(3 * testLatency)
	assert.Equal(t, stateAt(relay, "1"), draining)
	assert.Equal(t, relay.current.sequence, w.publishers["c1"].sequence)
}

func TestLostPatchIsAskedForAndNotReplacedByTheWhole(t *testing.T) {
	w, relay := calmWorld()
	w.publishers["c1"].SetConfig(w.now, patchUpdate(1, 2, "one", "+2"))
	w.setConfig(patchUpdate(2, 3, "one+2", "+3"), "c1")
	w.run(600 * time.Millisecond)
	assert.Equal(t, string(relay.Config().Document), "one+2+3")
	assert.Equal(t, relay.WholeUpdates(), 0)
}

func TestRestartedPublisherDoesNotResumeTheLifeBefore(t *testing.T) {
	w, relay := calmWorld()
	w.setInstances(list(instanceOf("3", ready, 1)), "c1")
	w.run(100 * time.Millisecond)
	w.now = w.now.Add(time.Millisecond)
	w.addControl("c1")
	for index := range 5 {
		w.setInstances(list(instanceOf(fmt.Sprint(20+index), draining, 1)), "c1")
	}
	var asked Output
	relay.ask(w.now, relay.current, &asked)
	w.take("r1", asked)
	w.run(600 * time.Millisecond)
	for index := range 5 {
		assert.Equal(t, stateAt(relay, fmt.Sprint(20+index)), draining)
	}
}

func TestRepeatedPushBringsNoOldOpinionBack(t *testing.T) {
	w, relay := calmWorld()
	old := w.publishers["c1"].SetInstances(w.now, list(instanceOf("1", silent, 1))).Sends
	w.takeFrom("c1", old)
	w.run(testLatency)
	assert.Equal(t, stateAt(relay, "1"), silent)
	w.setInstances(list(instanceOf("1", ready, 1)), "c1")
	w.run(100 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), ready)
	w.takeFrom("c1", old)
	w.run(testLatency)
	assert.Equal(t, stateAt(relay, "1"), ready)
}

func TestPushesInTheWrongOrderAreMended(t *testing.T) {
	w, relay := calmWorld()
	first := w.publishers["c1"].SetInstances(w.now, list(instanceOf("1", silent, 2))).Sends
	second := w.publishers["c1"].SetInstances(w.now, list(instanceOf("1", draining, 3))).Sends
	w.takeFrom("c1", second)
	w.run(testLatency)
	w.takeFrom("c1", first)
	w.run(testLatency)
	w.run(time.Second)
	assert.Equal(t, stateAt(relay, "1"), draining)
	assert.Equal(t, relay.current.sequence, w.publishers["c1"].sequence)
}

func TestGoneStaysGone(t *testing.T) {
	w, relay := calmWorld()
	w.setInstances(list(instanceOf("1", gone, 3)), "c1")
	w.run(100 * time.Millisecond)
	w.setInstances(list(instanceOf("1", ready, 9)), "c1")
	w.run(time.Second)
	assert.Equal(t, stateAt(relay, "1"), gone)
	w.down["c1"] = true
	w.run(10 * time.Second)
	assert.Equal(t, relay.Source(), "c2")
	assert.Equal(t, stateAt(relay, "1"), gone, "though c2 still lists it")
}

func TestExpiredInstanceComesBack(t *testing.T) {
	w, relay := calmWorld()
	expired := instanceOf("1", gone, 1)
	expired.Reported = ready
	w.setInstances(list(expired), "c1")
	w.run(100 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), gone)
	w.setInstances(list(instanceOf("1", ready, 1)), "c1")
	w.run(200 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), ready)
}

func TestSilenceIsTheOpinionOfTheSource(t *testing.T) {
	w, relay := calmWorld()
	w.setInstances(list(instanceOf("1", silent, 50)), "c1")
	w.run(100 * time.Millisecond)
	assert.Equal(t, stateAt(relay, "1"), silent)
	w.down["c1"] = true
	w.run(2 * time.Second)
	assert.Equal(t, relay.Source(), "c2")
	assert.Equal(t, stateAt(relay, "1"), ready, "c2 never missed it")
}

func TestLongListingComesInPartsAndALostOneIsNoticed(t *testing.T) {
	w := newWorld()
	w.addControl("c1")
	const count = 2*mostPerPart + 5
	var many []registry.Instance
	for index := range count {
		many = append(many, instanceOf(fmt.Sprint(index), ready, 1))
	}
	w.setInstances(many, "c1")
	sent := 0
	w.fate = func(from, _ string) []time.Duration {
		if from == "c1" {
			sent++
		}
		if from == "c1" && sent == 2 {
			return nil // the second part
		}
		return []time.Duration{testLatency}
	}
	relay := w.addRelay("r1", "c1")
	w.run(50 * time.Millisecond)
	assert.Assert(t, !relay.Fresh(w.now))
	assert.Assert(t, len(relay.Instances()) < count)
	w.run(time.Second)
	assert.Equal(t, len(relay.Instances()), count)
	assert.Assert(t, relay.Fresh(w.now))
}

func TestDifferenceThatLastsIsMended(t *testing.T) {
	w, relay := calmWorld()
	known := relay.instances["1"]
	known.State = silent // as though something had gone wrong
	var output Output
	relay.settleInstance(w.now, known, instanceOf("1", ready, 1), &output)
	w.run(4 * time.Second)
	assert.Equal(t, stateAt(relay, "1"), silent)
	w.run(3 * time.Second)
	assert.Equal(t, stateAt(relay, "1"), ready)
}

func TestOwnAbsenceIsNotTheSourcesSilence(t *testing.T) {
	w, relay := calmWorld()
	w.now = w.now.Add(10 * time.Second)
	assert.Assert(t, !relay.Fresh(w.now))
	w.take("r1", relay.Tick(w.now))
	assert.Assert(t, relay.candidate == nil)
	assert.Equal(t, relay.Source(), "c1")
}

func TestSubscriberThatVanishedIsForgotten(t *testing.T) {
	w, _ := calmWorld()
	w.down["r1"] = true
	w.run(12 * time.Second)
	assert.Equal(t, w.publishers["c1"].Subscribers(), 0)
}

func TestForgottenInstancesForceAListing(t *testing.T) {
	w, _ := calmWorld()
	w.setInstances(list(instanceOf("1", gone, 2)), "c1")
	w.run(time.Second)
	old := &feedpb.Subscribe{Source: w.publishers["c1"].source, Sequence: 1, Revision: 1}
	assert.Assert(t, w.publishers["c1"].canResume(old))
	w.run(70 * time.Second)
	assert.Equal(t, len(w.publishers["c1"].instances), 1)
	assert.Assert(t, !w.publishers["c1"].canResume(old))
}

func TestSourcesThatChangeAreFollowed(t *testing.T) {
	w, relay := calmWorld()
	w.take("r1", relay.SetSources(w.now, []string{"c2"}))
	w.run(300 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2")
	w.take("r1", relay.SetSources(w.now, nil))
	w.run(300 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2", "kept for want of another")
}

func TestCallsWithoutSourcesAskForNothing(t *testing.T) {
	relay := NewSubscriber(SubscriberOptions{Self: "r1"}, start)
	assert.Equal(t, len(relay.Tick(start).Sends), 0)
	assert.Equal(t, relay.Source(), "")
	assert.Assert(t, !relay.Fresh(start))
	assert.Assert(t, !relay.Complete())
}

func TestQuietDigestIsSmall(t *testing.T) {
	w, _ := calmWorld()
	var sends []Send
	for len(sends) == 0 {
		w.now = w.now.Add(100 * time.Millisecond)
		sends = w.publishers["c1"].Tick(w.now).Sends
	}
	size := proto.Size(sends[0].Message)
	assert.Assert(t, size < 64, "%d bytes", size)
}

func TestSettledSubscriberAsksForLittle(t *testing.T) {
	w, relay := calmWorld()
	asked := 0
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, send := range w.publishers["c1"].Tick(w.now).Sends {
			relay.Receive(w.now, "c1", send.Message)
		}
		sends := relay.Tick(w.now).Sends
		asked += len(sends)
		for _, send := range sends {
			w.publishers[send.To].Receive(w.now, "r1", send.Message)
		}
	}
	assert.Assert(t, asked <= 6, "%d messages in 10 s", asked)
	assert.Assert(t, slices.Equal(relay.ordered, []string{"c1", "c2"}))
}

// A subscriber that missed a push and has what was in it from elsewhere asks where its source stands, and is told: else it would take
// itself for behind for good, and drop nothing that the source doesn't list.
func TestSubscriberThatLagsAndLacksNothingIsTold(t *testing.T) {
	w, relay := calmWorld()
	w.fate = func(_, _ string) []time.Duration { return nil }
	w.setConfig(wholeUpdate(2, "two"), "c1")
	w.fate = nil
	elsewhere := &feedpb.FeedMessage{Source: "c2", Update: &feedpb.Update{Config: &feedpb.ConfigUpdate{
		Revision: 2, Generation: 20, Whole: true, Document: []byte("two"),
	}}}
	w.take("r1", relay.Receive(w.now, "c2", elsewhere))
	w.run(2 * time.Second)
	assert.Equal(t, relay.Config().Revision, uint64(2))
	assert.Equal(t, relay.current.sequence, w.publishers["c1"].sequence)
	assert.Assert(t, !relay.current.gap)
}

// What an endpoint said of itself does not go back, whoever tells of it later: neither to an older nor to a newer word of being ready.
func TestDrainingIsNeverTakenBack(t *testing.T) {
	for _, seq := range []uint64{1, 2, 3} {
		w, relay := calmWorld()
		w.setInstances(list(instanceOf("1", draining, 2)), "c1", "c2")
		w.run(testLatency)
		assert.Equal(t, stateAt(relay, "1"), draining)
		w.setInstances(list(instanceOf("1", ready, seq)), "c1", "c2")
		w.run(time.Second)
		assert.Equal(t, stateAt(relay, "1"), draining)
	}
}

// Steps that overlap what is held already are applied from where they go on.
func TestStepsThatOverlapWhatIsHeldAreApplied(t *testing.T) {
	joined := func(document, patch []byte) ([]byte, error) {
		return append(document[:len(document):len(document)], patch...), nil
	}
	s := NewSubscriber(SubscriberOptions{Self: "r", ApplyPatch: joined}, time.Unix(1000, 0))
	s.config = ConfigState{Revision: 2, Document: []byte("two")}
	step := func(base uint64, patch string) *feedpb.ConfigStep {
		return &feedpb.ConfigStep{Base: base, Revision: base + 1, Generation: base + 1, Patch: []byte(patch)}
	}
	document, steps, problem := s.newDocument(&feedpb.ConfigUpdate{Revision: 4, DocumentHash: DocumentHash([]byte("two three four")), Steps: []*feedpb.ConfigStep{
		step(1, " never"), step(2, " three"), step(3, " four"),
	}})
	assert.Assert(t, problem == nil)
	assert.Equal(t, string(document), "two three four")
	assert.Equal(t, len(steps), 2)
}

// Steps lead from one revision to another only if each goes on where the one before ends, and forward.
func TestStepsFrom(t *testing.T) {
	chain := []Step{{Base: 1, Revision: 2}, {Base: 2, Revision: 4}}
	assert.Equal(t, len(stepsFrom(chain, 1, 4)), 2)
	assert.Equal(t, len(stepsFrom(chain, 2, 4)), 1)
	assert.Assert(t, stepsFrom(chain, 1, 2) == nil)
	assert.Assert(t, stepsFrom(chain, 3, 4) == nil)
	assert.Assert(t, stepsFrom([]Step{{Base: 1, Revision: 1}, {Base: 1, Revision: 2}}, 1, 2) == nil)
	assert.Assert(t, stepsFrom([]Step{{Base: 1, Revision: 2}, {Base: 3, Revision: 4}}, 1, 4) == nil)
}

// A publisher that is handed a state it has, or an older one, tells nobody anything.
func TestStateThatIsNotNewerIsNotPublished(t *testing.T) {
	w, _ := calmWorld()
	publisher := w.publishers["c1"]
	held := publisher.config.state.Revision
	assert.Assert(t, held > 0)
	for _, revision := range []uint64{held, held - 1} {
		output := publisher.SetConfig(w.now, wholeUpdate(revision, "other"))
		assert.Equal(t, len(output.Sends), 0)
		assert.Equal(t, publisher.config.state.Revision, held)
	}
}

// Changes that are not urgent are gathered also while many subscribers ask for something: each question is answered, and no question has the
// changes sent to all.
func TestQuestionsDoNotSendWhatIsGathered(t *testing.T) {
	const subscribers, rounds = 50, 20
	now := time.Unix(1000, 0)
	p := NewPublisher("life", now)
	ask := func(subscriber int) Output {
		holdsNothing := &feedpb.Subscribe{Buckets: make([]uint64, bucketCount)}
		return p.Receive(now, fmt.Sprint("r", subscriber), &feedpb.FeedMessage{Subscribe: holdsNothing})
	}
	for subscriber := range subscribers {
		ask(subscriber)
	}
	pushed := 0
	for round := range rounds {
		now = now.Add(gatherFor / 10)
		pushed += len(p.SetInstances(now, list(instanceOf(fmt.Sprint(round), ready, 1))).Sends)
		sends := ask(round % subscribers).Sends
		pushed += len(sends) - 1
		told := sends[len(sends)-1].Message.GetUpdate().GetInstances()
		assert.Equal(t, len(told), round+1, "the answer holds what is gathered as well")
	}
	assert.Assert(t, pushed <= subscribers*(rounds/10+1), "%d messages to %d subscribers in %d tenths of the time of gathering", pushed, subscribers, rounds)
}
