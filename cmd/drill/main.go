// Command drill lets a simulator drive package policy over standard input and output: it runs one Sender for each
// simulated instance, reads batches of events and writes the resulting actions. It makes no decisions itself.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"wallflow/internal/wire"
	"wallflow/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is the Sender of one simulated relay, with its events in the current batch.
type instance struct {
	number  int
	sender  *policy.Sender
	events  []policy.Event
	inBatch bool // the current batch has an item for it
}

// run serves batches until the input ends. Malformed input and invalid settings are errors.
func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]*instance{}
	var b wire.Batch
	var active []*instance
	for {
		if err := r.Next(&b); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		active = active[:0]
		for i := range b.Items {
			item := &b.Items[i]
			n := instances[item.Instance]
			if n == nil {
				n = &instance{number: item.Instance}
				instances[item.Instance] = n
			}
			if !n.inBatch {
				n.inBatch = true
				active = append(active, n)
			}
			switch item.Kind {
			case wire.Start:
				s, err := policy.New(item.Settings, item.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: %v", item.Instance, err)
				}
				n.sender, n.events = s, n.events[:0]
			case wire.Stop:
				n.sender, n.events = nil, n.events[:0]
			case wire.Event:
				n.events = append(n.events, item.Event)
			}
		}
		for _, n := range active {
			n.inBatch = false
			if n.sender != nil {
				step(w, n, b.Now)
			}
			n.events = n.events[:0]
		}
		if err := w.EndBatch(b.Number); err != nil {
			return err
		}
	}
}

// step lets one instance decide; a panic is reported in the reply and ends the instance.
func step(w *wire.Writer, n *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			w.Panic(n.number, fmt.Sprint(p))
			n.sender = nil
		}
	}()
	w.Actions(n.number, n.sender.Step(now, n.events))
}
