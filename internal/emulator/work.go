package emulator

import "time"

// JobID names a job inside one model.
type JobID uint64

// Job is one request as a model sees it.
type Job struct {
	ID       JobID
	Model    string
	Priority int    // 0 is the most urgent
	Parts    []Part // of the prompt, in order
	Output   int    // tokens to make
	Done     int    // tokens that the client has already: a stream that is taken up again
	Deadline time.Time
	Work     time.Duration // of a plain service: how long it holds its place
}

// Part is a piece of a prompt. The same piece in two prompts has the same ID.
type Part struct {
	ID     string
	Tokens int
}

// promptTokens is the size of the prompt.
func (j *Job) promptTokens() int {
	total := 0
	for _, part := range j.Parts {
		total += part.Tokens
	}
	return total
}

// EventKind says what happened to a job.
type EventKind uint8

// The kinds of event.
const (
	EventTokens  EventKind = iota + 1 // tokens were made; the first such event is the start of the run
	EventExpired                      // the deadline passed in the queue: the job never ran
	EventCutOff                       // the deadline passed while it ran
)

// Event is something that a model did for a job.
type Event struct {
	Job    JobID
	Kind   EventKind
	At     time.Time
	Number int  // of the stream's event, from 1
	Tokens int  // in this event
	Last   bool // the job is done
}

// Load is what a model says of itself.
type Load struct {
	Queued  int
	Running int
	KVUsed  int // tokens that can't give way
	KVTotal int
}

// Model is what an endpoint works with. It is not safe for concurrent use.
type Model interface {
	// Submit takes a job, or returns false: there is no place for it, and it never runs.
	Submit(now time.Time, job Job) bool
	// Cancel ends a job whose caller has gone.
	Cancel(now time.Time, id JobID)
	// Advance returns what happened up to now, in order.
	Advance(now time.Time) []Event
	// Next returns when Advance has something to do next; false: nothing is under way.
	Next() (time.Time, bool)
	// Load returns the load as of now.
	Load() Load
}
