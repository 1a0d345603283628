package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// diskBytes is how long the file of a process is.
func (p *process) diskBytes() int {
	bytes := 0
	for _, record := range p.records() {
		bytes += len(record.Payload) + recordOverhead
	}
	return bytes
}

// A long log is rewritten, and what is in it comes back when power is lost at any moment of that.
func TestRewritesALongLog(t *testing.T) {
	filler := strings.Repeat("-", 8<<10)
	for seed := range int64(6) {
		s := settled(t, seed, 3)
		var commands []string
		for number := range 250 {
			command := fmt.Sprintf("c%d%s", number, filler)
			s.write(command)
			commands = append(commands, command)
			if s.random.Intn(60) == 0 {
				for _, p := range s.processes {
					p.kill(true)
				}
				for _, p := range s.processes {
					p.start(false)
				}
			}
		}
		rewrites := 0
		for _, p := range s.processes {
			rewrites += p.rewrites
			snapshot := len(p.node.log.state.Encode())
			assert.Assert(t, p.diskBytes() < 2*rewriteFactor*snapshot, "%d bytes for a state of %d", p.diskBytes(), snapshot)
		}
		assert.Assert(t, rewrites > 0)
		s.finish(commands...)
	}
}

// keptEntries is how many entries a process in service holds for others.
var keptEntries = uint64(DefaultRetention().Entries)

// leaveBehind ends a process and makes more changes than are kept for one that lags.
func (s *simulation) leaveBehind(away *process) {
	s.t.Helper()
	away.kill(false)
	s.until(4*time.Second, func() bool { return s.newestView().Place(away.node.Identity()) < 0 && s.active() })
	for number := range 3 * keptEntries {
		s.anyUp().submit(fmt.Sprintf("c%d", number), func(Answer) {})
		s.run(10 * time.Millisecond)
	}
	s.run(time.Second)
}

// A process that was away for long gets a snapshot, and follows from there.
func TestReturnsAfterLong(t *testing.T) {
	for seed := range int64(5) {
		s := settled(t, seed, 3)
		away := s.processes[seed%3]
		s.leaveBehind(away)
		away.start(false)
		s.until(3*time.Second, s.committedEverywhere)
		snapshots := uint64(0)
		for _, p := range s.processes {
			snapshots += p.node.Status().Counters.Snapshots
		}
		assert.Assert(t, snapshots > 0)
		s.finish()
	}
}

// What a store holds is not taken for another's, and damage in its meaning is told.
func TestRecoverErrors(t *testing.T) {
	s := settled(t, 1, 3)
	whole := s.processes[0].records()
	cases := map[string][]Record{
		"no identity":      whole[1:],
		"unknown type":     append(append([]Record(nil), whole...), Record{Type: 99}),
		"not a message":    append(append([]Record(nil), whole...), Record{Type: RecordEntry, Payload: []byte{0xFF}}),
		"entry out of row": append(append([]Record(nil), whole...), whole[len(whole)-1], Record{Type: RecordEntry, Payload: []byte{0x10, 0x7F}}),
	}
	for name, records := range cases {
		_, _, err := New(s.processes[0].options(false), records, s.now)
		_, typed := err.(*RecoverError)
		assert.Assert(t, typed, "%s: %v", name, err)
	}
}

// Options that are missing are named.
func TestOptions(t *testing.T) {
	s := newSimulation(t, 1, 3)
	for field, spoil := range map[string]func(*Options){
		"Self.Address": func(o *Options) { o.Self.Address = "" },
		"Initial":      func(o *Options) { o.Initial = nil },
		"Decode":       func(o *Options) { o.Decode = nil },
		"Random":       func(o *Options) { o.Random = nil },
		"AckBound":     func(o *Options) { o.AckBound = 0 },
	} {
		options := s.processes[0].options(true)
		spoil(&options)
		_, _, err := New(options, nil, s.now)
		assert.ErrorContains(t, err, field)
	}
}
