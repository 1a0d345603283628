package chain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// diskBytes returns the approximate size of the log file of a process.
func (p *process) diskBytes() int {
	bytes := 0
	for _, record := range p.records() {
		bytes += len(record.Payload) + recordOverhead
	}
	return bytes
}

// TestLongLogIsRewritten verifies that a long log file is rewritten and that its content survives a power loss at any
// moment.
func TestLongLogIsRewritten(t *testing.T) {
	filler := strings.Repeat("-", 8<<10)
	for seed := range int64(6) {
		s := newSettledSimulation(t, seed, 3)
		var commands []string
		for number := range 250 {
			command := fmt.Sprintf("c%d%s", number, filler)
			s.submitAndWait(command)
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
			stateBytes := len(p.node.log.state.Encode())
			assert.Assert(t, p.diskBytes() < 2*maxLogFileFactor*stateBytes, "%d bytes for a state of %d", p.diskBytes(), stateBytes)
		}
		assert.Assert(t, rewrites > 0)
		s.verifyFinalState(commands...)
	}
}

// retainedEntries is the number of entries that a node keeps for others by default.
var retainedEntries = uint64(DefaultRetention().Entries)

// makeLag kills a process and makes more changes than are retained.
func (s *simulation) makeLag(lagging *process) {
	s.t.Helper()
	lagging.kill(false)
	s.runUntil(4*time.Second, func() bool { return s.newestView().ChainIndex(lagging.node.Identity()) < 0 && s.active() })
	for number := range 3 * retainedEntries {
		s.anyRunning().submit(fmt.Sprintf("c%d", number), func(Answer) {})
		s.run(10 * time.Millisecond)
	}
	s.run(time.Second)
}

// TestLaggingProcessCatchesUpFromSnapshot verifies that a process that was down for long receives a snapshot and
// follows from there.
func TestLaggingProcessCatchesUpFromSnapshot(t *testing.T) {
	for seed := range int64(5) {
		s := newSettledSimulation(t, seed, 3)
		lagging := s.processes[seed%3]
		s.makeLag(lagging)
		lagging.start(false)
		s.runUntil(3*time.Second, s.committedEverywhere)
		snapshots := uint64(0)
		for _, p := range s.processes {
			snapshots += p.node.Status().Counters.Snapshots
		}
		assert.Assert(t, snapshots > 0)
		s.verifyFinalState()
	}
}

// TestRecoveryErrors verifies that records that cannot be the history of a node are reported as a RecoveryError.
func TestRecoveryErrors(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	whole := s.processes[0].records()
	cases := map[string][]Record{
		"no identity":   whole[1:],
		"unknown type":  append(append([]Record(nil), whole...), Record{Type: 99}),
		"not a message": append(append([]Record(nil), whole...), Record{Type: RecordEntry, Payload: []byte{0xFF}}),
		"entry out of order": append(append([]Record(nil), whole...), whole[len(whole)-1],
			Record{Type: RecordEntry, Payload: []byte{0x10, 0x7F}}),
	}
	for name, records := range cases {
		_, _, err := New(s.processes[0].options(false), records, s.now)
		_, typed := err.(*RecoveryError)
		assert.Assert(t, typed, "%s: %v", name, err)
	}
}

// TestInvalidOptions verifies that the error names the missing option.
func TestInvalidOptions(t *testing.T) {
	s := newSimulation(t, 1, 3)
	for field, invalidate := range map[string]func(*Options){
		"Self.Address": func(o *Options) { o.Self.Address = "" },
		"Initial":      func(o *Options) { o.Initial = nil },
		"Decode":       func(o *Options) { o.Decode = nil },
		"Random":       func(o *Options) { o.Random = nil },
		"AckBound":     func(o *Options) { o.AckBound = 0 },
	} {
		options := s.processes[0].options(true)
		invalidate(&options)
		_, _, err := New(options, nil, s.now)
		assert.ErrorContains(t, err, field)
	}
}
