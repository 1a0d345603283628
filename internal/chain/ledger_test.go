package chain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ledger is the replicated state of the tests: the accepted commands in order. A command is "id" or "id@version", where
// the version is the number of commands that it expects. A repeated command is accepted and changes nothing.
type ledger struct{ commands []string }

const (
	statusAccepted = 200
	statusConflict = 412
)

func (l ledger) Apply(command []byte) (State, Reply) {
	id, base, conditional := strings.Cut(string(command), "@")
	if slices.Contains(l.commands, id) {
		return l, Reply{Accepted: true, Status: statusAccepted}
	}
	if conditional && base != strconv.Itoa(len(l.commands)) {
		return l, Reply{Status: statusConflict, Body: []byte(fmt.Sprint(len(l.commands)))}
	}
	return ledger{commands: append(slices.Clip(slices.Clone(l.commands)), id)}, Reply{Accepted: true, Status: statusAccepted}
}

func (l ledger) Encode() []byte { return []byte(strings.Join(l.commands, " ")) }

func decodeLedger(encoded []byte) (State, error) {
	return ledger{commands: strings.Fields(string(encoded))}, nil
}
