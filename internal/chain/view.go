package chain

import (
	"slices"

	"wallflow/internal/chain/chainpb"
)

// Majority returns the number of voters that form a majority.
func (v View) Majority() int { return len(v.Voters)/2 + 1 }

// Voter returns the voter with an identity, if there is one.
func (v View) Voter(identity Identity) (Member, bool) {
	for _, member := range v.Voters {
		if member.Identity == identity {
			return member, true
		}
	}
	return Member{}, false
}

// ChainIndex returns the index of an identity in the chain, or -1.
func (v View) ChainIndex(identity Identity) int { return slices.Index(v.Chain, identity) }

// Head returns the first identity of the chain, or an empty one.
func (v View) Head() Identity {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail returns the last identity of the chain, or an empty one.
func (v View) Tail() Identity {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// neighbour returns the chain member at an offset from identity, or an empty identity. A positive offset is towards the
// tail.
func (v View) neighbour(identity Identity, offset int) Identity {
	index := v.ChainIndex(identity)
	if index < 0 || index+offset < 0 || index+offset >= len(v.Chain) {
		return ""
	}
	return v.Chain[index+offset]
}

// equal reports whether two views have the same epoch, voters and chain.
func (v View) equal(other View) bool {
	return v.Epoch == other.Epoch && slices.Equal(v.Voters, other.Voters) && slices.Equal(v.Chain, other.Chain)
}

func memberToWire(member Member) *chainpb.Member {
	return &chainpb.Member{
		Identity: string(member.Identity),
		Name:     member.Name,
		Address:  member.Address,
		Zone:     member.Zone,
		Region:   member.Region,
	}
}

func memberFromWire(member *chainpb.Member) Member {
	return Member{
		Identity: Identity(member.GetIdentity()),
		Name:     member.GetName(),
		Address:  member.GetAddress(),
		Zone:     member.GetZone(),
		Region:   member.GetRegion(),
	}
}

func viewToWire(view View) *chainpb.View {
	encoded := &chainpb.View{Epoch: view.Epoch}
	for _, member := range view.Voters {
		encoded.Voters = append(encoded.Voters, memberToWire(member))
	}
	for _, identity := range view.Chain {
		encoded.Chain = append(encoded.Chain, string(identity))
	}
	return encoded
}

func viewFromWire(encoded *chainpb.View) View {
	view := View{Epoch: encoded.GetEpoch()}
	for _, member := range encoded.GetVoters() {
		view.Voters = append(view.Voters, memberFromWire(member))
	}
	for _, identity := range encoded.GetChain() {
		view.Chain = append(view.Chain, Identity(identity))
	}
	return view
}

// ballot identifies and orders the attempts to decide one view. The random nonce distinguishes attempts of the same
// round.
type ballot struct{ round, nonce uint64 }

func (b ballot) less(other ballot) bool {
	if b.round != other.round {
		return b.round < other.round
	}
	return b.nonce < other.nonce
}

func (b ballot) isZero() bool { return b == ballot{} }

func ballotToWire(b ballot) *chainpb.Ballot {
	return &chainpb.Ballot{Round: b.round, Nonce: b.nonce}
}

func ballotFromWire(b *chainpb.Ballot) ballot {
	return ballot{round: b.GetRound(), nonce: b.GetNonce()}
}
