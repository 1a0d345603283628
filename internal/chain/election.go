package chain

import (
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// election is the state that decides when this node proposes a view.
type election struct {
	proposeAt      time.Time           // zero: no reason to propose
	maxRound       uint64              // highest ballot round seen
	pendingInquiry *unsupportedInquiry // newest inquiry that is not supported yet
}

// unsupportedInquiry is an inquiry of another voter for which this node does not see the need yet.
type unsupportedInquiry struct {
	from       Identity
	inquiry    *chainpb.Inquiry
	receivedAt time.Time
}

// delayUntil keeps this node from proposing before a time, so that another one goes first.
func (e *election) delayUntil(until time.Time) {
	if e.proposeAt.Before(until) {
		e.proposeAt = until
	}
}

// tickElection starts an attempt if there is a reason to propose, and drives the current attempt.
func (n *Node) tickElection() {
	n.answerPendingInquiry()
	if n.attempt != nil {
		n.tickAttempt()
		return
	}
	reason := n.proposalReason()
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

// proposalReason returns why a new view is needed, or REASON_UNSPECIFIED if none is.
func (n *Node) proposalReason() chainpb.Reason {
	switch {
	case !n.isElector() || n.impaired():
		return chainpb.Reason_REASON_UNSPECIFIED
	case n.view.Epoch == 0:
		return chainpb.Reason_REASON_FOUND
	case n.hasPromised() && n.now.Sub(n.acceptor.promisedAt) >= undecidedTimeout:
		return chainpb.Reason_REASON_UNDECIDED
	case n.hasPromised():
		return chainpb.Reason_REASON_UNSPECIFIED
	case slices.ContainsFunc(n.view.Chain, n.isUnavailable):
		return chainpb.Reason_REASON_DEAD
	case n.isStuck():
		return chainpb.Reason_REASON_STUCK
	}
	return chainpb.Reason_REASON_UNSPECIFIED
}

// isStuck reports whether the chain makes no progress as far as a chain member can see. The head checks uncommitted
// entries and unanswered heartbeats, the other members check when their predecessor last sent anything.
func (n *Node) isStuck() bool {
	timeout := n.options.AckBound/stuckDivisor + transferTime(n.log.uncommittedBytes())
	if !n.inChain() {
		return false
	}
	if !n.isHead() {
		return n.now.Sub(n.predecessorLastContact) >= timeout
	}
	entryStuck := !n.uncommittedSince.IsZero() && n.now.Sub(n.uncommittedSince) >= timeout
	heartbeatStuck := !n.heartbeatUnansweredSince.IsZero() && n.now.Sub(n.heartbeatUnansweredSince) >= timeout
	return entryStuck || heartbeatStuck
}

// backoff returns a delay that keeps proposers apart: by rank, plus a random part.
func (n *Node) backoff() time.Duration {
	jitter := time.Duration(n.options.Random.Int63n(int64(maxRandomBackoff)))
	return time.Duration(n.proposerRank())*rankBackoff + jitter
}

// proposerRank returns the number of available voters that precede this node in the proposer order. For the first view
// it is the index in the seeds.
func (n *Node) proposerRank() int {
	if n.view.Epoch == 0 {
		return max(0, slices.Index(n.options.Seeds, n.self.Address))
	}
	rank := 0
	for _, identity := range n.proposerOrder() {
		if identity == n.self.Identity {
			return rank
		}
		if !n.isUnavailable(identity) {
			rank++
		}
	}
	return rank
}

// proposerOrder returns the chain followed by the other voters.
func (n *Node) proposerOrder() []Identity {
	order := slices.Clone(n.view.Chain)
	for _, voter := range n.view.Voters {
		if n.view.ChainIndex(voter.Identity) < 0 {
			order = append(order, voter.Identity)
		}
	}
	return order
}

// abandonAttempt ends the current attempt and delays the next one.
func (n *Node) abandonAttempt() {
	n.attempt = nil
	n.voterChangeNotBefore = n.now.Add(candidateProbation)
	delay := rankBackoff + time.Duration(n.options.Random.Int63n(int64(2*rankBackoff)))
	n.election.proposeAt = n.now.Add(delay + n.backoff())
}
