package distribution

import (
	"cmp"
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

const (
	// hintKey is the rendezvous hashing key by which the holder of hints is chosen.
	hintKey             = "hints"
	defaultHintsPerPeer = 512
	defaultHintPeers    = 64
	defaultHintAge      = 2 * time.Minute
)

// HintHolder returns the member that stores the hints for an unreachable peer. It is the same at every process that knows the same members.
// It returns "" if there is no other member.
func HintHolder(peer string, members []string) string {
	others := make([]string, 0, len(members))
	for _, member := range members {
		if member != peer {
			others = append(others, member)
		}
	}
	return Home(peer, others, hintKey)
}

// HintOptions limit a store of hints. Zero fields get their defaults.
type HintOptions struct {
	MaxPerPeer int           // instances stored for one peer
	MaxPeers   int           // peers with stored hints
	MaxAge     time.Duration // hints older than this are dropped: a peer that returns later compares all instances anyway
}

func (o HintOptions) withDefaults() HintOptions {
	if o.MaxPerPeer == 0 {
		o.MaxPerPeer = defaultHintsPerPeer
	}
	if o.MaxPeers == 0 {
		o.MaxPeers = defaultHintPeers
	}
	o.MaxAge = cmp.Or(o.MaxAge, defaultHintAge)
	return o
}

// Hints stores, for peers that are unreachable, which instances are leaving and the newest configuration revision, to be delivered when the
// peers return (hinted handoff). It is not safe for concurrent use.
type Hints struct {
	options HintOptions
	peers   map[string]*peerHints
}

// peerHints holds the hints stored for one peer.
type peerHints struct {
	instances  map[string]registry.Instance
	revision   uint64
	overflowed bool      // some instances were not stored, for want of capacity
	since      time.Time // time of the first hint
}

// NewHints returns an empty store.
func NewHints(options HintOptions) *Hints {
	return &Hints{options: options.withDefaults(), peers: make(map[string]*peerHints)}
}

// Store stores what an unreachable peer misses: those changed instances that are draining or gone, and the newest revision. It returns
// false if the limit of peers is reached.
func (h *Hints) Store(now time.Time, peer string, changed []registry.Instance, revision uint64) bool {
	hints := h.peers[peer]
	if hints == nil {
		if len(h.peers) >= h.options.MaxPeers {
			return false
		}
		hints = &peerHints{instances: make(map[string]registry.Instance), since: now}
		h.peers[peer] = hints
	}
	hints.revision = max(hints.revision, revision)
	for _, instance := range changed {
		if instance.Reported != registry.StateReady {
			hints.store(instance, h.options.MaxPerPeer)
		}
	}
	return true
}

// store stores an instance that is leaving, unless a later state of it is stored already.
func (h *peerHints) store(instance registry.Instance, limit int) {
	existing, known := h.instances[instance.ID]
	if !known && len(h.instances) >= limit {
		h.overflowed = true
		return
	}
	if known && registry.FurthestState(existing.Reported, instance.Reported) != instance.Reported {
		return
	}
	h.instances[instance.ID] = instance
}

// TakeHandoff removes the hints for a peer that has returned and gives them as a message to it, or nil if there are none.
func (h *Hints) TakeHandoff(now time.Time, peer string) *feedpb.FeedMessage {
	hints := h.peers[peer]
	if hints == nil {
		return nil
	}
	delete(h.peers, peer)
	handoff := &feedpb.Handoff{Revision: hints.revision, Overflowed: hints.overflowed}
	for _, instance := range hints.instances {
		handoff.Instances = append(handoff.Instances, registry.ToWire(now, instance))
	}
	return &feedpb.FeedMessage{Handoff: handoff}
}

// PeerCount returns the number of peers with stored hints.
func (h *Hints) PeerCount() int { return len(h.peers) }

// Tick drops hints that are older than MaxAge.
func (h *Hints) Tick(now time.Time) {
	for peer, hints := range h.peers {
		if now.Sub(hints.since) >= h.options.MaxAge {
			delete(h.peers, peer)
		}
	}
}
