package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"wallflow/policy"
)

// This file bounds how long a change of the host list may take to be applied. The platform expects a relay to know a
// change 6 s after discovery had it and was reachable, whatever happens to the relay's calls in between: they may fail, be
// refused or time out. All timeouts and pauses of a watcher are set here, and worstListDelay adds them up.
//
// A relay cannot tell why its calls are lost, so no pause and no timeout may ever exceed these bounds.

const (
	maxListDelay   = 6 * time.Second        // within this, a relay must know a change
	maxMoveDelay   = 4 * time.Second        // the same after discovery has moved to another address, from the signal on
	applyAllowance = 250 * time.Millisecond // for parsing a list and the loop's step in a slow process

	// watchSilenceTimeout is how long a watch may go without a line; discovery sends one every 2 s. It is short enough that
	// if a second watch falls silent right after its response header, a third one still succeeds within maxListDelay.
	watchSilenceTimeout = 2300 * time.Millisecond

	maxListBytes = 1 << 20 // size limit of one list
)

// errSilent says that a watch received nothing for too long.
var errSilent = errors.New("watch received nothing for too long")

// watchTiming holds the timeouts and pauses of a watcher.
type watchTiming struct {
	silenceTimeout   time.Duration // longest time without a line before a watch is abandoned
	startPause       time.Duration // longest pause before the first watch of a relay that already has a list
	firstPause       time.Duration // longest pause after a watch that received data
	maxPause         time.Duration // longest pause after repeated failures
	answerTimeout    time.Duration // timeout for the response header of a call
	maxAnswerTimeout time.Duration // the same after repeated timeouts
	callsAreCostly   bool          // calls cost discovery work: the pause after a failure is at least half of its bound
}

// watchTimingFor returns the timing for the given settings. If lists are pushed by an agent on the relay's own machine,
// calls are cheap and the pauses short. If they have to be requested (AskList), one discovery service serves the whole
// fleet: its call rate is limited, and calls that it answers too late cost it work all the same. Relays do not coordinate,
// so they can only spread their calls over a time that grows with their number, as far as maxListDelay allows.
func watchTimingFor(settings policy.Settings) watchTiming {
	if !settings.AskList {
		return watchTiming{silenceTimeout: watchSilenceTimeout, firstPause: 50 * time.Millisecond, maxPause: 750 * time.Millisecond,
			answerTimeout: 400 * time.Millisecond, maxAnswerTimeout: 2 * time.Second}
	}
	spread := time.Duration(settings.Senders) * askSpreadPerRelay
	return watchTiming{silenceTimeout: watchSilenceTimeout,
		startPause: min(spread, 4500*time.Millisecond), firstPause: min(spread, 2500*time.Millisecond), maxPause: min(2*spread, 4*time.Second),
		answerTimeout: 800 * time.Millisecond, maxAnswerTimeout: 800 * time.Millisecond, callsAreCostly: true}
}

// secondPause returns the longest pause after the second watch in a row that ended.
func (t watchTiming) secondPause() time.Duration { return min(t.maxPause, 2*t.firstPause) }

// worstListDelay returns the longest time from the moment when discovery has a change and is reachable until the change is
// applied. It is the maximum of three cases: the watch fell silent just before the change, discovery was unreachable and
// the first call hangs, or the process has just started. If lists are pushed, one more failure is allowed for: another
// call times out at the last moment or is refused, or a second watch falls silent right after its response header. If
// lists are requested, there is no time for that: shorter pauses would mean more calls than discovery accepts, and the
// fleet would learn of the change later than with longer ones.
func (t watchTiming) worstListDelay() time.Duration {
	silent, away, started := t.silenceTimeout+t.firstPause+t.answerTimeout,
		t.maxAnswerTimeout+t.maxPause+t.maxAnswerTimeout, t.startPause+t.answerTimeout
	if !t.callsAreCostly {
		silent = max(silent+t.secondPause()+min(t.maxAnswerTimeout, 2*t.answerTimeout), silent+t.silenceTimeout+t.secondPause()+t.answerTimeout)
		away, started = away+t.maxPause, started+t.secondPause()+min(t.maxAnswerTimeout, 2*t.answerTimeout)
	}
	return max(silent, away, started) + applyAllowance
}

// worstMoveDelay returns the longest time that a change may take to be applied after discovery has moved.
func (t watchTiming) worstMoveDelay() time.Duration {
	return t.firstPause + t.answerTimeout + applyAllowance
}

// listReader reads the lists of a watch: JSON objects that may span many lines, with empty lines between them.
type listReader struct {
	body       io.Reader
	dec        *json.Decoder
	onActivity func() // called for data that shows that discovery is alive

	inList bool // a list has started and is not complete
	size   int  // bytes since the last list
}

func newListReader(body io.Reader, onActivity func()) *listReader {
	r := &listReader{body: body, onActivity: onActivity}
	r.dec = json.NewDecoder(r)
	return r
}

// Read is called by the decoder. Bytes in the middle of a list do not count as activity, so that a list that never ends
// runs into the watch's timeout.
func (r *listReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if r.size += n; r.size > maxListBytes {
		return 0, fmt.Errorf("list of over %d bytes", maxListBytes)
	}
	if n > 0 && !r.inList {
		r.onActivity()
		r.inList = len(bytes.TrimSpace(b[:n])) > 0
		if !r.inList {
			r.size = 0
		}
	}
	return n, err
}

// next returns the next list of the watch.
func (r *listReader) next() (HostList, error) {
	var raw json.RawMessage
	if err := r.dec.Decode(&raw); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return HostList{}, fmt.Errorf("unreadable list: %w", err)
	}
	l, err := parseList(raw)
	if err == nil && l.Full && len(l.Entries) == 0 && !hasKey(raw, "servers") {
		err = errors.New(`complete list without "servers"`) // an empty list has to be explicit
	}
	if err != nil {
		return HostList{}, fmt.Errorf("unreadable list: %w", err)
	}
	rest, err := io.ReadAll(r.dec.Buffered())
	if err != nil {
		return HostList{}, err
	}
	r.inList, r.size = len(bytes.TrimSpace(rest)) > 0, len(rest)
	r.onActivity()
	return l, nil
}

// hasKey reports whether a JSON object has a key.
func hasKey(object json.RawMessage, key string) bool {
	var keys map[string]json.RawMessage
	if json.Unmarshal(object, &keys) != nil {
		return false
	}
	_, ok := keys[key]
	return ok
}
