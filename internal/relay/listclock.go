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

// When a change of the list is known here. The platform counts one as told 6 s after discovery had it and could be reached,
// whatever call failed, was refused or was given up in between: all the time that following the list may take is bounded here,
// and added up in worst.
//
// A process is told nothing of how its calls were lost, so no pause and no wait may be longer than this, whatever came before.

const (
	toldAfter = 6 * time.Second        // a change counts as told
	movedIn   = 4 * time.Second        // and where discovery has moved: after the signal
	actWithin = 250 * time.Millisecond // after a list came: reading it, and the loop's step, in a slow process

	// watchSilence is how long a watch may be without a line: one comes every 2 s. So short that a second watch which falls
	// silent right behind its head still leaves time for a third.
	watchSilence = 2300 * time.Millisecond

	watchListMost = 1 << 20 // bytes of one list
)

// errSilent is why a watch was given up.
var errSilent = errors.New("silent for too long")

// listClock bounds the times of a watcher.
type listClock struct {
	silence    time.Duration // a watch with no line for so long is given up
	start      time.Duration // longest pause before the first watch, where there is one
	first      time.Duration // longest pause after a watch that held
	most       time.Duration // and after many that failed
	answer     time.Duration // that a call may take to its answer's head
	answerMost time.Duration // and after many that did not get one
	apart      bool          // calls cost discovery work: after one that failed, half of the pause at least
}

// clockOf is the clock under some settings. An agent on the relay's own machine answers at no cost, and a list from
// it should not wait. Where the list has to be asked for, one discovery serves the whole fleet: it takes so many calls
// a second, and those that it could not answer in time cost it work all the same. Relays that share nothing can only
// spread their calls over a time that grows with their number, as far as the bound on all of it allows.
func clockOf(set policy.Settings) listClock {
	if !set.AskList {
		return listClock{silence: watchSilence, first: 50 * time.Millisecond, most: 750 * time.Millisecond,
			answer: 400 * time.Millisecond, answerMost: 2 * time.Second}
	}
	spread := time.Duration(set.Senders) * askSpan
	return listClock{silence: watchSilence, start: min(spread, 4500*time.Millisecond), first: min(spread, 2500*time.Millisecond),
		most: min(2*spread, 4*time.Second), answer: 800 * time.Millisecond, answerMost: 800 * time.Millisecond, apart: true}
}

// second is the longest pause after the first call that failed behind a watch that held.
func (c listClock) second() time.Duration { return min(c.most, 2*c.first) }

// worst is the longest that a change may take from the moment when discovery had it and could be reached to its being acted
// on: the watch fell silent just before the change, or discovery was away and the first call hangs, or the process has just
// started. Where lists are pushed one more call on the way may be given up at its last moment, or be refused, or a second watch
// may fall silent right behind its head. Where they are asked for there is no room for that: calls in so short a time are so
// many that discovery refuses them, and a fleet learns later than by waiting.
func (c listClock) worst() time.Duration {
	silent, away, started := c.silence+c.first+c.answer, c.answerMost+c.most+c.answerMost, c.start+c.answer
	if !c.apart {
		silent = max(silent+c.second()+min(c.answerMost, 2*c.answer), silent+c.silence+c.second()+c.answer)
		away, started = away+c.most, started+c.second()+min(c.answerMost, 2*c.answer)
	}
	return max(silent, away, started) + actWithin
}

// moved is the longest that a change may take after discovery moved.
func (c listClock) moved() time.Duration { return c.first + c.answer + actWithin }

// listReader reads the lists of a watch: JSON objects that may be indented over many lines, with empty lines between them.
type listReader struct {
	body  io.Reader
	dec   *json.Decoder
	alive func() // something came that a living discovery sends

	begun bool // a list has begun and not ended
	size  int  // bytes since the last list
}

func newListReader(body io.Reader, alive func()) *listReader {
	r := &listReader{body: body, alive: alive}
	r.dec = json.NewDecoder(r)
	return r
}

// Read is the decoder's. A list that has begun has to end soon: bytes in the middle of one are no sign of life.
func (r *listReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if r.size += n; r.size > watchListMost {
		return 0, fmt.Errorf("a list of over %d bytes", watchListMost)
	}
	if n > 0 && !r.begun {
		r.alive()
		r.begun = len(bytes.TrimSpace(b[:n])) > 0
		if !r.begun {
			r.size = 0
		}
	}
	return n, err
}

// next returns the next list.
func (r *listReader) next() (List, error) {
	var raw json.RawMessage
	if err := r.dec.Decode(&raw); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return List{}, fmt.Errorf("unreadable list: %w", err)
	}
	l, err := parseList(raw)
	if err == nil && l.Full && len(l.Entries) == 0 && !hasKey(raw, "servers") {
		err = errors.New(`a whole list without "servers"`) // a list of nobody says so
	}
	if err != nil {
		return List{}, fmt.Errorf("unreadable list: %w", err)
	}
	rest, err := io.ReadAll(r.dec.Buffered())
	if err != nil {
		return List{}, err
	}
	r.begun, r.size = len(bytes.TrimSpace(rest)) > 0, len(rest)
	r.alive()
	return l, nil
}

// hasKey tells whether a JSON object has a key.
func hasKey(object json.RawMessage, key string) bool {
	var keys map[string]json.RawMessage
	if json.Unmarshal(object, &keys) != nil {
		return false
	}
	_, ok := keys[key]
	return ok
}
