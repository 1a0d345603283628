package chain

import (
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// election decides when this node proposes a view.
type election struct {
	proposeAt    time.Time // zero: no reason to
	maximumRound uint64    // of ballots seen
	asked        *askedSupport
}

// askedSupport is an inquiry that was not supported yet.
type askedSupport struct {
	by      Identity
	inquiry *chainpb.Inquiry
	at      time.Time
}

// postpone lets another propose first.
func (e *election) postpone(until time.Time) {
	if e.proposeAt.Before(until) {
		e.proposeAt = until
	}
}

// tickElection looks for a reason to propose and drives an attempt that is under way.
func (n *Node) tickElection() {
	n.answerInquiry()
	if n.attempt != nil {
		n.tickAttempt()
		return
	}
	reason := n.suspicion()
	if reason == chainpb.Reason_REASON_UNSPECIFIED {
		n.election.proposeAt = time.Time{}
		return
	}
	if n.election.proposeAt.IsZero() {
		n.election.proposeAt = n.now.Add(n.backoff())
	}
	if !n.now.Before(n.election.proposeAt) {
		n.startAttempt(reason, voterChange{})
	}
}

// suspicion tells why a new view is needed, if it is.
func (n *Node) suspicion() chainpb.Reason {
	switch {
	case !n.votes() || n.impaired():
		return chainpb.Reason_REASON_UNSPECIFIED
	case n.view.Epoch == 0:
		return chainpb.Reason_REASON_FOUND
	case n.promised() && n.now.Sub(n.acceptor.since) >= undecidedTimeout:
		return chainpb.Reason_REASON_UNDECIDED
	case n.promised():
		return chainpb.Reason_REASON_UNSPECIFIED
	case slices.ContainsFunc(n.view.Chain, n.isDead):
		return chainpb.Reason_REASON_DEAD
	case n.stuck():
		return chainpb.Reason_REASON_STUCK
	}
	return chainpb.Reason_REASON_UNSPECIFIED
}

// stuck tells whether the chain does not work, as far as a member of it can see.
func (n *Node) stuck() bool {
	patience := n.options.AckBound/stuckShare + transferTime(n.log.uncommittedBytes())
	if !n.inChain() {
		return false
	}
	if !n.isHead() {
		return n.now.Sub(n.predecessorHeardAt) >= patience
	}
	entryStuck := !n.entryWaits.IsZero() && n.now.Sub(n.entryWaits) >= patience
	heartbeatStuck := !n.heartbeatUnansweredSince.IsZero() && n.now.Sub(n.heartbeatUnansweredSince) >= patience
	return entryStuck || heartbeatStuck
}

// backoff spreads proposers: by their place among those alive, the chain first, and by chance.
func (n *Node) backoff() time.Duration {
	chance := time.Duration(n.options.Random.Int63n(int64(randomBackoff)))
	return time.Duration(n.backoffPlace())*placeBackoff + chance
}

func (n *Node) backoffPlace() int {
	if n.view.Epoch == 0 {
		return max(0, slices.Index(n.options.Seeds, n.self.Address))
	}
	place := 0
	for _, identity := range n.proposerOrder() {
		if identity == n.self.Identity {
			return place
		}
		if !n.isDead(identity) {
			place++
		}
	}
	return place
}

// proposerOrder is the chain, and then the other voters.
func (n *Node) proposerOrder() []Identity {
	order := slices.Clone(n.view.Chain)
	for _, voter := range n.view.Voters {
		if n.view.Place(voter.Identity) < 0 {
			order = append(order, voter.Identity)
		}
	}
	return order
}

// giveUp ends an attempt, and lets the next one wait a little.
func (n *Node) giveUp() {
	n.attempt = nil
	n.votersAfter = n.now.Add(candidateSteady)
	pause := placeBackoff + time.Duration(n.options.Random.Int63n(int64(2*placeBackoff)))
	n.election.proposeAt = n.now.Add(pause + n.backoff())
}
