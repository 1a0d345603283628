package control

import (
	"github.com/gravitational/trace"

	"wallflow/internal/chain"
	"wallflow/internal/config"
)

// replicatedConfig implements chain.State, so that the chain replicates the operators' configuration.
type replicatedConfig struct {
	state *config.State
}

// Apply decodes an order and applies it to the configuration.
func (r replicatedConfig) Apply(command []byte) (chain.State, chain.Reply) {
	order, err := config.DecodeOrder(command)
	if err != nil {
		return r, chain.Reply{Status: 400, Body: []byte(err.Error())}
	}
	next, verdict := r.state.ApplyOrder(order)
	reply := chain.Reply{
		Accepted: verdict.Accepted, Status: verdict.Status, Body: []byte(verdict.Message), Revision: verdict.Revision,
	}
	return replicatedConfig{next}, reply
}

// Encode returns the encoded state.
func (r replicatedConfig) Encode() []byte { return r.state.Encode() }

func decodeReplicatedConfig(data []byte) (chain.State, error) {
	state, err := config.DecodeState(data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return replicatedConfig{state}, nil
}
