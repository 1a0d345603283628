// Package history records what all parties of a trial saw, in order and on one clock.
//
// The trial process plays every party except the relays and list servers, and all connections of these go through it.
// One monotonic clock therefore stamps all events, and invariants can be checked from the events alone, after the trial
// or later from the file.
package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	Want   Kind = "want"   // a client wants a message delivered, whether or not its relay is up
	Submit Kind = "hand"   // a client has sent the last byte of a message to its relay
	Answer Kind = "answer" // the client has the answer, or none: then Status is 0 and Note says why
	Call   Kind = "call"   // the last byte of a call has arrived from a relay; one event for each message in it
	Reply  Kind = "reply"  // outcome of the call for that message
	// An answer with an advised wait reached its relay, Duration before this event, and the relay kept the connection
	WaitDelivered Kind = "heard"
	Notice        Kind = "notice" // a relay ended a message by a notice, which was answered 204
	ListUpdate    Kind = "told"   // a relay was told the state of an endpoint
	ProcessState  Kind = "proc"   // a process was started, became ready, was sent a signal, or ended
	Fault         Kind = "fault"  // the trial injected a fault
	// A write of a list entry that started at Began: ID, Value (0: removed), Outcome OK, Refused or ConnectionLost
	ListWrite      Kind = "put"
	ListRead       Kind = "confirmed" // a consistent read of the list that started at Began: Values, Version
	FollowerUpdate Kind = "seen"      // a follower of the list has Version now: State is the cluster, Note the digest
	FollowerFinal  Kind = "settle"    // as FollowerUpdate, at the end; Status 0: it did not reach the last version
	// An agent forwarded a notice that it had acknowledged; without ID: the first Number events were examined
	NoticeForwarded Kind = "passed"
	// Without Relay: outcome of policy change Number; with Relay: the policy that it follows at the end, Status 1 if in force
	PolicyOutcome Kind = "agreed"
	Sample        Kind = "sample" // resources in use by a process
	Lag           Kind = "lag"    // the harness itself was late by Duration
)

// Outcomes of a call, in events of kind Reply.
const (
	OK                = "ok"      // processed
	Error             = "error"   // may have been processed
	Refused           = "refused" // not processed; Wait: the wait that the endpoint advised, whether or not the answer was received
	Deferred          = "later"   // not processed; reported for one message of several
	Finished          = "gone"    // the message has ended
	AttemptsExhausted = "spent"   // the message has used all its attempts
	ConnectionLost    = "broken"  // no answer: it may have been processed, or may still be
)

// States of processes, in the Note of events of kind ProcessState.
const (
	Started   = "started"
	Ready     = "ready"
	Term      = "SIGTERM"
	Kill      = "SIGKILL"
	Stop      = "SIGSTOP"
	Cont      = "SIGCONT"
	Hup       = "SIGHUP"
	Ended     = "ended"
	Successor = "successor started"
	TookOver  = "took over"
	PortTaken = "its port was taken by others" // the start is repeated with another port
)

// Event is one thing that a party saw. Times are in microseconds since the start of the trial.
type Event struct {
	At          int64  `json:"at"`
	Kind        Kind   `json:"kind"`
	Relay       string `json:"relay,omitempty"`
	Incarnation int    `json:"life,omitempty"` // ProcessState, Sample: number of the relay's process, from 1
	ID          string `json:"id,omitempty"`   // of the message

	// Submit
	FirstID  string `json:"first,omitempty"` // id of the message's first submission
	Try      string `json:"try,omitempty"`   // value of X-Second-Try
	Class    string `json:"class,omitempty"`
	Customer string `json:"customer,omitempty"`
	Dest     int    `json:"dest,omitempty"` // destination; in ListUpdate: the entry's cell
	Expires  int64  `json:"expires,omitempty"`

	// Answer, Notice
	Status     int    `json:"status,omitempty"`
	End        string `json:"end,omitempty"`    // undeliverable or deferred
	RetryAfter int64  `json:"again,omitempty"`  // advised wait
	Policy     int64  `json:"policy,omitempty"` // Answer: policy under which the message was accepted

	// Call, Reply, WaitDelivered
	Number   int    `json:"number,omitempty"` // of the call, from 1
	Endpoint string `json:"endpoint,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Began    int64  `json:"began,omitempty"` // when the call's first byte arrived from the relay
	Sent     int64  `json:"sent,omitempty"`  // when its last byte arrived, before any delay of the link
	Outcome  string `json:"outcome,omitempty"`
	Wait     int64  `json:"wait,omitempty"`

	// ListUpdate
	State   string `json:"state,omitempty"`
	Version int64  `json:"version,omitempty"`

	// ListWrite, ListRead: values of the entries, by id
	Value  int64            `json:"value,omitempty"`
	Values map[string]int64 `json:"values,omitempty"`

	// Sample: bytes, number of descriptors, microseconds of CPU
	Memory      int64 `json:"memory,omitempty"`
	Disk        int64 `json:"disk,omitempty"`
	Descriptors int   `json:"descriptors,omitempty"`
	CPU         int64 `json:"cpu,omitempty"`

	Duration int64  `json:"took,omitempty"`
	Note     string `json:"note,omitempty"`
}

// Header is the first line of a history: the facts needed to interpret it.
type Header struct {
	Format   string   `json:"format"`
	Scenario string   `json:"scenario"`
	Load     string   `json:"load"`
	Seed     uint64   `json:"seed"`
	Began    string   `json:"began"` // wall clock, informational only
	Rules    Rules    `json:"rules"`
	Relays   []string `json:"relays"`
}

// Rules are the settings of the fleet that the invariants depend on.
type Rules struct {
	Classes      map[string]Class `json:"classes"`
	Cells        map[string]int   `json:"cells"` // destination by endpoint
	Separate     map[string]bool  `json:"separate"`
	MayDuplicate bool             `json:"may_duplicate"`
	DiskLimit    int64            `json:"disk_limit"`
	MemoryLimit  int64            `json:"memory_limit"`
	Descriptors  int              `json:"descriptors"`
}

// Class holds the delivery rules of a message class. Window, Target and GiveUp are in microseconds.
type Class struct {
	Unsafe    bool    `json:"unsafe"`
	GroupAll  bool    `json:"group_all"`
	Window    int64   `json:"window"`
	Target    int64   `json:"aim"`
	GiveUp    int64   `json:"give_up"`
	Value     float64 `json:"worth"`
	LateValue float64 `json:"late_worth"`
}

// Format identifies the format of histories that this package writes and reads.
const Format = "wallflow history 1"

// Recorder collects the events of a running trial and writes them to a file as they come. Its methods may be called from
// any goroutine.
type Recorder struct {
	began time.Time

	mu      sync.Mutex
	buffer  *bufio.Writer // nil: no file
	encoder *json.Encoder
	err     error // first error of writing
	events  []Event
}

// NewRecorder starts the clock and writes the header to w, which may be nil.
func NewRecorder(w io.Writer, h Header) *Recorder {
	r := &Recorder{began: time.Now()}
	if w != nil {
		r.buffer = bufio.NewWriterSize(w, 1<<16)
		r.encoder = json.NewEncoder(r.buffer)
		h.Format = Format
		h.Began = r.began.UTC().Format(time.RFC3339)
		r.err = r.encoder.Encode(h)
	}
	return r
}

// Began returns the start of the clock.
func (r *Recorder) Began() time.Time { return r.began }

// Now returns the time since the start, in microseconds.
func (r *Recorder) Now() int64 { return time.Since(r.began).Microseconds() }

// Stamp returns t as microseconds since the start.
func (r *Recorder) Stamp(t time.Time) int64 { return t.Sub(r.began).Microseconds() }

// Add records an event now. The time is taken under the lock, so that events are in order of time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(e)
}

// AddAll records several events with nothing in between.
func (r *Recorder) AddAll(all []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range all {
		r.add(e)
	}
}

func (r *Recorder) add(e Event) {
	e.At = time.Since(r.began).Microseconds()
	r.events = append(r.events, e)
	if r.buffer != nil && r.err == nil {
		r.err = r.encoder.Encode(e)
	}
}

// Events returns the events so far. The caller must not change them.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)]
}

// Flush writes buffered events and returns the first error of writing.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buffer == nil {
		return nil
	}
	if err := r.buffer.Flush(); r.err == nil {
		r.err = err
	}
	if r.err != nil {
		return fmt.Errorf("history: %w", r.err)
	}
	return nil
}

// Read reads a history that a Recorder wrote. name is used in errors.
func Read(name string, in io.Reader) (h Header, events []Event, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	row := 0
	for lines.Scan() {
		row++
		if row == 1 {
			if err := json.Unmarshal(lines.Bytes(), &h); err != nil {
				return h, nil, fmt.Errorf("%s:1: %w", name, err)
			}
			if h.Format != Format {
				return h, nil, fmt.Errorf("%s:1: format %q, this program reads %q", name, h.Format, Format)
			}
			continue
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return h, nil, fmt.Errorf("%s:%d: %w", name, row, err)
		}
		if n := len(events); n > 0 && e.At < events[n-1].At {
			return h, nil, fmt.Errorf("%s:%d: time goes back from %d to %d µs", name, row, events[n-1].At, e.At)
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return h, nil, fmt.Errorf("%s:%d: %w", name, row+1, err)
	}
	if row == 0 {
		return h, nil, errors.New(name + ": empty")
	}
	return h, events, nil
}
