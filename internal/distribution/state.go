// Package distribution brings the configuration, the evacuations and the endpoint instances to every relay. Publishers run at
// the control processes and at the home relays of a zone; a Subscriber runs at each relay and takes its feed from one of them.
// Both are state machines without input or output of their own: they take messages and the time, and return what to send.
package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// ConfigState is the state that the control processes agreed on at one revision. Documents are shared and never changed.
type ConfigState struct {
	Revision   uint64
	Generation uint64
	Document   []byte // JSON of the whole configuration; nil: there is none yet
	Evacuated  []Evacuation
	Restored   []Restoration
}

// Evacuation is a zone whose endpoints get nothing more.
type Evacuation struct {
	Zone     string
	Revision uint64 // at which it was ordered
}

// Restoration is a zone whose evacuation was taken back lately: its endpoints may be cold.
type Restoration struct {
	Zone     string
	Revision uint64 // at which the evacuation was taken back
	At       time.Time
}

// Step leads from one revision to the next.
type Step struct {
	Base       uint64
	Revision   uint64
	Generation uint64
	Patch      []byte // the change to the document; empty: it stays as it is
}

// Update is a new state, with the steps that lead to it from an earlier one where they are known.
type Update struct {
	ConfigState
	Steps []Step
}

// Send is a message to one process. The same message may stand in several sends: it must not be changed.
type Send struct {
	To      string // internal address
	Message *feedpb.FeedMessage
}

// Output is what an input asks for.
type Output struct {
	Sends            []Send
	ConfigChanged    bool
	Applied          *Update             // with ConfigChanged: what a home relay's publisher passes on
	InstancesChanged []registry.Instance // each as it is known now
}

// join adds what another output asks for.
func (o *Output) join(other Output) {
	o.Sends = append(o.Sends, other.Sends...)
	o.InstancesChanged = append(o.InstancesChanged, other.InstancesChanged...)
	if other.ConfigChanged {
		o.ConfigChanged = true
		o.Applied = other.Applied
	}
}

// DocumentHash returns the hash by which a document brought about by patches is checked.
func DocumentHash(document []byte) uint64 {
	hash := registry.NewHash64()
	for _, part := range document {
		hash = hash.Byte(part)
	}
	return hash.Sum()
}
