package emulator

import "time"

// JobID identifies a job within one model.
type JobID uint64

// Job is one request to a model.
type Job struct {
	ID          JobID
	Model       string
	Priority    int           // 0 is the most urgent
	Parts       []Part        // the prompt, in order
	Output      int           // number of tokens to generate
	Delivered   int           // tokens that the client has already received, if this job resumes a stream
	Deadline    time.Time     // zero: none
	ServiceTime time.Duration // plain service only: how long the job occupies a slot
}

// Part is a contiguous part of a prompt. Equal parts of different prompts have the same ID, so that they can share cached tokens.
type Part struct {
	ID     string
	Tokens int
}

// promptTokens returns the number of tokens of the prompt.
func (j *Job) promptTokens() int {
	total := 0
	for _, part := range j.Parts {
		total += part.Tokens
	}
	return total
}

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	EventTokens  EventKind = iota + 1 // tokens were generated, or a plain service finished the job
	EventExpired                      // the deadline passed in the queue; the job never ran
	EventCutOff                       // the deadline passed after the job had started to run
)

// Event reports progress or the end of a job.
type Event struct {
	Job    JobID
	Kind   EventKind
	At     time.Time
	Number int  // sequence number of the event in the job's stream, from 1
	Tokens int  // number of tokens in this event
	Last   bool // the job has ended
}

// Load is the load of a model.
type Load struct {
	Queued  int
	Running int
	KVUsed  int // tokens of running jobs, which can't be evicted
	KVTotal int // capacity in tokens
}

// Model simulates the processing of jobs. It is not safe for concurrent use.
type Model interface {
	// Submit accepts a job, or returns false if there is no capacity for it; a rejected job never runs.
	Submit(now time.Time, job Job) bool
	// Cancel removes a job whose caller has gone.
	Cancel(now time.Time, id JobID)
	// Advance runs the model up to now and returns the events since the last call, in time order.
	Advance(now time.Time) []Event
	// Next returns the time at which Advance has work to do next, or false if the model is idle.
	Next() (time.Time, bool)
	// Load returns the current load.
	Load() Load
}
