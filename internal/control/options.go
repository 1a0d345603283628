// Package control implements the control process. It connects the state machines for configuration, membership, endpoint instances and
// distribution to sockets and disk, and serves the operators' API, the endpoints' heartbeats and the directory.
//
// The configuration is replicated by a chain of control processes. A view names the voters and the order of the chain; its number is the
// epoch. A process is fresh, or has a quorum, while a majority of the voters has recently confirmed its epoch.
package control

import "time"

const (
	// directoryRecordInterval is the interval at which the directory records the current members.
	directoryRecordInterval = time.Second
	// tickInterval is the period of the timer that drives the state machines.
	tickInterval = 100 * time.Millisecond
	// answerTimeout is how long a client waits for the outcome of a request to the chain. Clients try another process after a second
	// without an answer.
	answerTimeout = 900 * time.Millisecond
	// largeBodyBytes is the size above which an order gets largeBodyTimeout instead of answerTimeout, since its body is sent along the
	// whole chain.
	largeBodyBytes   = 64 << 10
	largeBodyTimeout = 2500 * time.Millisecond
	// replicationTimeout is how long a departure waits to be replicated to a majority of the control processes.
	replicationTimeout = 800 * time.Millisecond
	// retireTimeout bounds how long a stopping process waits until the others have formed a chain without it, and retirePollInterval is
	// how often it checks.
	retireTimeout      = 1500 * time.Millisecond
	retirePollInterval = 20 * time.Millisecond
	// maxOrderBytes is the largest accepted body of an order.
	maxOrderBytes = 8 << 20
	// maxHeartbeatBytes is the largest accepted body of a heartbeat.
	maxHeartbeatBytes = 64 << 10
)
