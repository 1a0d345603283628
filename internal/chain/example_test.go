package chain_test

import (
	"fmt"
	"math/rand"
	"time"

	"wallflow/internal/chain"
)

// counter is a state that counts the commands "add" and rejects all others.
type counter int

func (c counter) Apply(command []byte) (chain.State, chain.Reply) {
	if string(command) != "add" {
		return c, chain.Reply{Status: 400}
	}
	return c + 1, chain.Reply{Accepted: true, Status: 200}
}

func (c counter) Encode() []byte { return fmt.Append(nil, int(c)) }

func decodeCounter(encoded []byte) (chain.State, error) {
	var value counter
	_, err := fmt.Sscan(string(encoded), (*int)(&value))
	return value, err
}

// A system of one process bootstraps itself and accepts commands. The handle function stands in for the process around
// a node, which writes and syncs records before it reports that the write ended.
func ExampleNode() {
	now := time.Unix(0, 0)
	self := chain.Member{Name: "core-1", Address: "10.0.0.1:7000", Zone: "a", Region: "r"}
	node, output, err := chain.New(chain.Options{
		Self:              self,
		Bootstrap:         true,
		Seeds:             []string{self.Address},
		TargetChainLength: 1,
		Initial:           counter(0),
		Decode:            decodeCounter,
		AckBound:          5 * time.Second,
		Random:            rand.New(rand.NewSource(1)),
	}, nil, now)
	if err != nil {
		panic(err)
	}
	handle := func(output chain.Output) {
		for len(output.Writes) > 0 || len(output.Answers) > 0 {
			for _, answer := range output.Answers {
				fmt.Println("request", answer.Request, "known", answer.OutcomeKnown, "status", answer.Reply.Status)
			}
			writes := output.Writes
			output = chain.Output{}
			for _, write := range writes {
				output = node.Written(now, write.Token, nil)
			}
		}
	}
	handle(output)
	for node.View().Epoch == 0 || !node.Fresh(now) {
		now = now.Add(50 * time.Millisecond)
		handle(node.Tick(now))
	}
	handle(node.Submit(now, 1, []byte("add")))
	handle(node.Submit(now, 2, []byte("subtract")))
	state, revision := node.Committed()
	fmt.Println("state", state, "revision", revision)
	// Output:
	// request 1 known true status 200
	// request 2 known true status 400
	// state 1 revision 1
}
