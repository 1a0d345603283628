package chain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ledger is the replicated state of the tests: the commands that were taken, in order. A command is "id" or "id@version", where
// the version is how many commands it builds on. The same command again is accepted and changes nothing.
type ledger struct{ taken []string }

const (
	statusTaken    = 200
	statusConflict = 412
)

func (l ledger) Apply(command []byte) (State, Reply) {
	id, base, conditional := strings.Cut(string(command), "@")
	if slices.Contains(l.taken, id) {
		return l, Reply{Accepted: true, Status: statusTaken}
	}
	if conditional && base != strconv.Itoa(len(l.taken)) {
		return l, Reply{Status: statusConflict, Body: []byte(fmt.Sprint(len(l.taken)))}
	}
	return ledger{taken: append(slices.Clip(slices.Clone(l.taken)), id)}, Reply{Accepted: true, Status: statusTaken}
}

func (l ledger) Encode() []byte { return []byte(strings.Join(l.taken, " ")) }

func decodeLedger(encoded []byte) (State, error) {
	return ledger{taken: strings.Fields(string(encoded))}, nil
}
