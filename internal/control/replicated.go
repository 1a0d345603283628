package control

import (
	"github.com/gravitational/trace"

	"wallflow/internal/chain"
	"wallflow/internal/config"
)

// replicated lets the chain carry the operator's configuration.
type replicated struct {
	state *config.State
}

// Apply carries out one encoded order.
func (r replicated) Apply(command []byte) (chain.State, chain.Reply) {
	order, err := config.DecodeOrder(command)
	if err != nil {
		return r, chain.Reply{Status: 400, Body: []byte(err.Error())}
	}
	next, verdict := r.state.ApplyOrder(order)
	reply := chain.Reply{Accepted: verdict.Accepted, Status: verdict.Status, Body: []byte(verdict.Message)}
	return replicated{next}, reply
}

// Encode writes the whole state.
func (r replicated) Encode() []byte { return r.state.Encode() }

func decodeReplicated(data []byte) (chain.State, error) {
	state, err := config.DecodeState(data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return replicated{state}, nil
}
