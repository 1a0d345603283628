package control

import "time"

const (
	// refusalDelay is how long the quorum must have been lost before heartbeats are refused. It is longer than a view change takes, so
	// that endpoints do not switch control processes at each view change.
	refusalDelay = time.Second
	// refusalRetention is how long a refusal is remembered.
	refusalRetention = 10 * time.Second
	// minReturnDelay is the time after a refusal within which another heartbeat of the endpoint counts as a repetition of the refused
	// one, not as a return.
	minReturnDelay = 100 * time.Millisecond
)

// heartbeatGate decides whether the heartbeat of a ready endpoint is acknowledged. A control process that has lost contact with a majority
// records heartbeats but refuses them, so that the endpoint switches to another control process: this one cannot pass on what it learns,
// and the others would consider the endpoint gone. An endpoint that returns soon after a refusal has found no other process that
// acknowledges its heartbeats. Either there is no majority, or the endpoint is isolated together with this process. Switching gains
// nothing then, and the heartbeat is acknowledged.
type heartbeatGate struct {
	hadQuorum    bool // a majority has confirmed the epoch since this process started
	quorumLostAt time.Time
	hasQuorum    bool
	refusals     map[string]time.Time // time of the last refusal by instance ID, since the quorum was lost
}

// setQuorum records whether a majority has recently confirmed the epoch.
func (g *heartbeatGate) setQuorum(now time.Time, hasQuorum bool) {
	switch {
	case hasQuorum:
		g.hadQuorum = true
		clear(g.refusals)
	case g.hasQuorum:
		g.quorumLostAt = now
	}
	g.hasQuorum = hasQuorum
}

// shouldRefuse reports whether to refuse the heartbeat of an instance, and records the refusal.
func (g *heartbeatGate) shouldRefuse(now time.Time, instance string) bool {
	if g.hasQuorum || !g.hadQuorum || now.Sub(g.quorumLostAt) < refusalDelay {
		return false
	}
	refusedAt, refused := g.refusals[instance]
	since := now.Sub(refusedAt)
	if refused && since >= minReturnDelay && since < refusalRetention {
		return false
	}
	if g.refusals == nil {
		g.refusals = make(map[string]time.Time)
	}
	g.refusals[instance] = now
	return true
}
