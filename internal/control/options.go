// Package control is the control process: it joins the cores for configuration state, membership, endpoint instances and
// distribution to sockets and disk, and serves the operator's API, the endpoints' heartbeats and the directory.
package control

import "time"

const (
	// noteEvery is how often the directory looks at the members.
	noteEvery = time.Second
	// tickEvery is how often the cores are told the time.
	tickEvery = 100 * time.Millisecond
	// answerWithin is how long a caller waits for the outcome of an order. Callers move on after a second of silence.
	answerWithin = 900 * time.Millisecond
	// largeBody is the size from which a caller waits longer, since the body travels the chain.
	largeBody       = 64 << 10
	largeBodyWithin = 2500 * time.Millisecond
	// replicatedWithin is how long a leaving endpoint waits until a majority of the control processes knows of it.
	replicatedWithin = 800 * time.Millisecond
	// retireWithin bounds how long a process that is told to stop waits until the others have a chain without it, and retireLook is
	// the time between two looks.
	retireWithin = 1500 * time.Millisecond
	retireLook   = 20 * time.Millisecond
	// maxOrderBytes is the largest order that is read.
	maxOrderBytes = 8 << 20
	// maxHeartbeatBytes is the largest heartbeat that is read.
	maxHeartbeatBytes = 64 << 10
)
