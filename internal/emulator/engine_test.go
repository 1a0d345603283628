package emulator_test

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/emulator"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runToCompletion runs a model until it is idle, and returns all its events.
func runToCompletion(model emulator.Model) []emulator.Event {
	var events []emulator.Event
	for {
		next, ok := model.Next()
		if !ok {
			return events
		}
		events = append(events, model.Advance(next)...)
	}
}

// eventsOf returns the events of one job.
func eventsOf(events []emulator.Event, id emulator.JobID) []emulator.Event {
	var matching []emulator.Event
	for _, event := range events {
		if event.Job == id {
			matching = append(matching, event)
		}
	}
	return matching
}

func prompt(parts ...emulator.Part) []emulator.Part { return parts }

func TestSingleJobDurationIsSumOfSteps(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 379}), Output: 7}))
	events := runToCompletion(engine)
	assert.Equal(t, len(events), 2)
	step := 4630*time.Microsecond + 153*time.Microsecond
	prefillTime := 10 * time.Millisecond // 379 tokens at 37.9 tokens per millisecond
	assert.DeepEqual(t, events[0], emulator.Event{Job: 1, Kind: emulator.EventTokens, At: startTime.Add(prefillTime + 5*step),
		Number: 1, Tokens: 5})
	assert.DeepEqual(t, events[1], emulator.Event{Job: 1, Kind: emulator.EventTokens, At: startTime.Add(prefillTime + 7*step),
		Number: 2, Tokens: 2, Last: true})
	assert.DeepEqual(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

func TestStepTimeGrowsWithBatchSize(t *testing.T) {
	totalTime := func(jobs int) time.Duration {
		engine := emulator.NewEngine(emulator.EngineOptions{})
		for id := range jobs {
			assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: emulator.JobID(id + 1), Output: 10}))
		}
		events := runToCompletion(engine)
		return events[len(events)-1].At.Sub(startTime)
	}
	// The first job generates its first token before the others are admitted.
	assert.Equal(t, totalTime(1), 10*(4630+153)*time.Microsecond)
	assert.Equal(t, totalTime(8), (4630+153)*time.Microsecond+10*(4630+8*153)*time.Microsecond-153*time.Microsecond)
}

func TestChunkedPrefillInterleavesWithDecoding(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{ChunkTokens: 100})
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 1, Output: 20}))
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 2, Parts: prompt(emulator.Part{ID: "long", Tokens: 1000}), Output: 5}))
	events := runToCompletion(engine)
	first, second := eventsOf(events, 1), eventsOf(events, 2)
	assert.Equal(t, len(first), 4)
	// Ten chunks are prefilled while the first job continues to decode: its second event precedes the first token of the long prompt.
	assert.Assert(t, first[1].At.Before(second[0].At))
	assert.Equal(t, engine.PrefilledTokens(), uint64(1000))
}

func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	shared := emulator.Part{ID: "shared", Tokens: 3000}
	runJob := func(id emulator.JobID, suffixID string) {
		assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: id, Parts: prompt(shared, emulator.Part{ID: suffixID, Tokens: 100}), Output: 5}))
		runToCompletion(engine)
	}
	runJob(1, "x")
	assert.Equal(t, engine.PrefilledTokens(), uint64(3100))
	runJob(2, "y")
	assert.Equal(t, engine.PrefilledTokens(), uint64(3200))
	// A part is used from the cache only if all parts before it are cached: the same parts in another order are prefilled.
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 3, Parts: prompt(emulator.Part{ID: "z", Tokens: 10}, shared), Output: 5}))
	runToCompletion(engine)
	assert.Equal(t, engine.PrefilledTokens(), uint64(6210))
	// Models do not share cached parts.
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 4, Model: "other", Parts: prompt(shared), Output: 5}))
	runToCompletion(engine)
	assert.Equal(t, engine.PrefilledTokens(), uint64(9210))
}

func TestLeastRecentlyUsedPartIsEvicted(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{KVCapacity: 1000})
	prefilledFor := func(id emulator.JobID, part string) uint64 {
		before := engine.PrefilledTokens()
		assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: id, Parts: prompt(emulator.Part{ID: part, Tokens: 400}), Output: 5}))
		runToCompletion(engine)
		return engine.PrefilledTokens() - before
	}
	assert.Equal(t, prefilledFor(1, "a"), uint64(400))
	assert.Equal(t, prefilledFor(2, "b"), uint64(400))
	assert.Equal(t, prefilledFor(3, "a"), uint64(0)) // used again, so b is now the least recently used part
	assert.Equal(t, prefilledFor(4, "c"), uint64(400))
	assert.Equal(t, prefilledFor(5, "a"), uint64(0))
	assert.Equal(t, prefilledFor(6, "b"), uint64(400))
}

func TestNewestLeastUrgentJobIsPreemptedAndResumed(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{KVCapacity: 100})
	urgent := emulator.Job{ID: 1, Priority: 0, Parts: prompt(emulator.Part{ID: "a", Tokens: 20}), Output: 60}
	submittedSecond := emulator.Job{ID: 2, Priority: 5, Parts: prompt(emulator.Part{ID: "b", Tokens: 10}), Output: 30}
	submittedFirst := emulator.Job{ID: 3, Priority: 5, Parts: prompt(emulator.Part{ID: "c", Tokens: 10}), Output: 30}
	for _, job := range []emulator.Job{submittedFirst, submittedSecond, urgent} { // the urgent job arrives last and is never preempted
		assert.Assert(t, engine.Submit(startTime, job))
	}
	events := runToCompletion(engine)
	assert.Assert(t, engine.PrefilledTokens() > 40, "nothing was preempted: %d", engine.PrefilledTokens())
	for id, tokens := range map[emulator.JobID]int{1: 60, 2: 30, 3: 30} {
		checkStream(t, eventsOf(events, id), tokens)
	}
	endOf := func(id emulator.JobID) time.Time {
		jobEvents := eventsOf(events, id)
		return jobEvents[len(jobEvents)-1].At
	}
	assert.Assert(t, endOf(2).After(endOf(3)), "the job submitted later is preempted")
}

// checkStream checks that the events of a stream are numbered without gaps or duplicates and that the tokens add up.
func checkStream(t *testing.T, events []emulator.Event, tokens int) {
	t.Helper()
	total := 0
	for i, event := range events {
		assert.Equal(t, event.Kind, emulator.EventTokens)
		assert.Equal(t, event.Number, i+1)
		assert.Equal(t, event.Last, i == len(events)-1)
		total += event.Tokens
	}
	assert.Equal(t, total, tokens)
}

func TestMoreUrgentJobIsAdmittedFirst(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	for id, priority := range []int{5, 5, 0} {
		assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: emulator.JobID(id + 1), Priority: priority, Output: 5}))
	}
	events := runToCompletion(engine)
	assert.Equal(t, events[0].Job, emulator.JobID(1))
	assert.Equal(t, events[1].Job, emulator.JobID(3))
	assert.Equal(t, events[2].Job, emulator.JobID(2))
}

func TestJobBeyondCapacityIsRejected(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1, Queue: 1, KVCapacity: 100})
	assert.Assert(t, !engine.Submit(startTime, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 96}), Output: 5}),
		"the job exceeds the KV capacity")
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 2, Output: 5}))
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 3, Output: 5}))
	assert.Assert(t, !engine.Submit(startTime, emulator.Job{ID: 4, Output: 5}), "the queue is full")
	assert.DeepEqual(t, engine.Load(), emulator.Load{Queued: 1, Running: 1, KVUsed: 0, KVTotal: 100})
}

func TestDeadlineWhileQueuedAndWhileRunning(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	soon := startTime.Add(20 * time.Millisecond)
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 1, Output: 1000, Deadline: soon}))
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 2, Output: 5, Deadline: soon}))
	events := runToCompletion(engine)
	assert.Equal(t, eventsOf(events, 1)[len(eventsOf(events, 1))-1].Kind, emulator.EventCutOff)
	assert.Equal(t, len(eventsOf(events, 2)), 1)
	assert.Equal(t, eventsOf(events, 2)[0].Kind, emulator.EventExpired)
	assert.Equal(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

func TestResumedStreamContinuesWithNextEvent(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{})
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 50}), Output: 20,
		Delivered: 10}))
	events := runToCompletion(engine)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Number, 3)
	assert.Equal(t, events[1].Number, 4)
	assert.Equal(t, engine.PrefilledTokens(), uint64(60), "the prompt and the tokens generated before are prefilled")
}

func TestCancelledJobFreesItsSlot(t *testing.T) {
	engine := emulator.NewEngine(emulator.EngineOptions{Slots: 1})
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 1, Parts: prompt(emulator.Part{ID: "a", Tokens: 50}), Output: 1000}))
	assert.Assert(t, engine.Submit(startTime, emulator.Job{ID: 2, Output: 5}))
	engine.Cancel(startTime.Add(time.Millisecond), 1)
	events := runToCompletion(engine)
	checkStream(t, events, 5)
	assert.Equal(t, events[0].Job, emulator.JobID(2))
	assert.Equal(t, engine.Load(), emulator.Load{KVTotal: 316_082})
}

// Random sequences of calls: memory accounting stays consistent, every stream is complete, and the same calls give the same events.
func TestRandomCallSequencesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := emulator.EngineOptions{
			Slots:       rapid.IntRange(1, 4).Draw(t, "slots"),
			Queue:       rapid.IntRange(1, 6).Draw(t, "queue"),
			KVCapacity:  rapid.IntRange(60, 300).Draw(t, "memory"),
			ChunkTokens: rapid.IntRange(5, 100).Draw(t, "chunk"),
		}
		first, second := emulator.NewEngine(options), emulator.NewEngine(options)
		accepted := make(map[emulator.JobID]emulator.Job)
		cancelled := make(map[emulator.JobID]bool)
		var events []emulator.Event
		now := startTime
		for id := emulator.JobID(1); id <= 30; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			stepEvents := first.Advance(now)
			if !reflect.DeepEqual(stepEvents, second.Advance(now)) {
				t.Fatalf("the same calls gave different events")
			}
			events = append(events, stepEvents...)
			job := drawJob(t, id)
			ok := first.Submit(now, job)
			if ok != second.Submit(now, job) {
				t.Fatalf("the same call was accepted by one engine and rejected by the other")
			}
			if ok {
				accepted[id] = job
			}
			if victim := emulator.JobID(rapid.IntRange(1, 90).Draw(t, "cancelled")); victim <= id {
				first.Cancel(now, victim)
				second.Cancel(now, victim)
				cancelled[victim] = true
			}
			if load := first.Load(); load.KVUsed < 0 || load.KVUsed > load.KVTotal || load.Running > options.Slots {
				t.Fatalf("load %+v exceeds the limits of %+v", load, options)
			}
		}
		events = append(events, runToCompletion(first)...)
		for id, job := range accepted {
			checkEventSequence(t, eventsOf(events, id), job, cancelled[id])
		}
		if load := first.Load(); load.KVUsed != 0 || load.Running != 0 || load.Queued != 0 {
			t.Fatalf("load after all jobs have ended: %+v", load)
		}
	})
}

// drawJob draws a job whose prompt parts are from a small set, so that jobs share prefixes. Two parts have the same ID and different
// sizes.
func drawJob(t *rapid.T, id emulator.JobID) emulator.Job {
	job := emulator.Job{ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Output: rapid.IntRange(1, 25).Draw(t, "output")}
	for range rapid.IntRange(0, 3).Draw(t, "parts") {
		part := rapid.SampledFrom([]emulator.Part{{ID: "a", Tokens: 30}, {ID: "a", Tokens: 31},
			{ID: "b", Tokens: 20}, {ID: "c", Tokens: 7}}).Draw(t, "part")
		job.Parts = append(job.Parts, part)
	}
	return job
}

// checkEventSequence checks the numbering of a job's events and, unless it was cancelled, that it generated all its tokens.
func checkEventSequence(t *rapid.T, events []emulator.Event, job emulator.Job, cancelled bool) {
	tokens := 0
	for i, event := range events {
		tokens += event.Tokens
		if event.Kind != emulator.EventTokens || event.Number != i+1 {
			t.Fatalf("job %d: unexpected event at index %d: %+v", job.ID, i, event)
		}
	}
	if !cancelled && (tokens != job.Output || !events[len(events)-1].Last) {
		t.Fatalf("job %d: generated %d of %d tokens, or its last event is missing", job.ID, tokens, job.Output)
	}
}
