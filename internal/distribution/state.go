// Package distribution distributes the configuration, the evacuations and the endpoint instances to every relay. Publishers run at
// the control processes and at the home relays of a zone. A Subscriber runs at each relay and receives its feed from one of them.
// Both are pure state machines: they take messages and the time, and return what to send.
package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// ConfigState is the configuration state that the control processes agreed on at one revision. Documents are shared and must not be
// modified.
type ConfigState struct {
	Revision   uint64
	Generation uint64
	Document   []byte // the full configuration as JSON; nil if there is none yet
	Evacuated  []Evacuation
	Restored   []Restoration
}

// Evacuation is a zone whose endpoints get no more requests.
type Evacuation struct {
	Zone     string
	Revision uint64 // at which the evacuation was ordered
}

// Restoration is a zone whose evacuation was recently reversed, so that its endpoints may be cold.
type Restoration struct {
	Zone     string
	Revision uint64 // at which the evacuation was reversed
	At       time.Time
}

// Step is the change from one revision to the next.
type Step struct {
	Base       uint64
	Revision   uint64
	Generation uint64
	Patch      []byte // change of the document; empty if the document is unchanged
}

// Update is a new configuration state, with the steps that lead to it from an earlier one if they are known.
type Update struct {
	ConfigState
	Steps []Step
}

// Send is a message to be sent to a process. Several sends may share a message, so it must not be modified.
type Send struct {
	To      string // internal address
	Message *feedpb.FeedMessage
}

// Output is the result of an input: what to send, and what has changed.
type Output struct {
	Sends            []Send
	ConfigChanged    bool
	AppliedUpdate    *Update             // with ConfigChanged: the update, for the publisher of a home relay to forward
	InstancesChanged []registry.Instance // in their current state
}

// merge adds another output to o.
func (o *Output) merge(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.InstancesChanged = append(o.InstancesChanged, other.InstancesChanged...)
	if other.ConfigChanged {
		o.ConfigChanged = true
		o.AppliedUpdate = other.AppliedUpdate
	}
}

// DocumentHash returns the hash by which a patched document is verified.
func DocumentHash(document []byte) uint64 {
	hash := registry.NewHash64()
	for _, part := range document {
		hash = hash.Byte(part)
	}
	return hash.Sum()
}
