package distribution

import (
	"cmp"
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

const (
	hintKey            = "hints"
	defaultHintsOfPeer = 512
	defaultHintPeers   = 64
	defaultHintAge     = 2 * time.Minute
)

// HintKeeper returns the member that keeps the hints for a peer that is away: its named neighbour, the same one at every
// process that knows the same members. It returns "" where there is no other member.
func HintKeeper(peer string, members []string) string {
	others := make([]string, 0, len(members))
	for _, member := range members {
		if member != peer {
			others = append(others, member)
		}
	}
	return Home(peer, others, hintKey)
}

// HintOptions bound a store of hints. Fields left at zero get their defaults.
type HintOptions struct {
	PerPeer int           // instances kept for one peer
	Peers   int           // peers that something is kept for
	Age     time.Duration // hints older than that are of no use: the peer compares everything instead
}

func (o HintOptions) withDefaults() HintOptions {
	if o.PerPeer == 0 {
		o.PerPeer = defaultHintsOfPeer
	}
	if o.Peers == 0 {
		o.Peers = defaultHintPeers
	}
	o.Age = cmp.Or(o.Age, defaultHintAge)
	return o
}

// Hints keeps, for peers that are away, the departures of instances and the newest revision that they must get (hinted
// handoff). It isn't safe for use by several goroutines at once.
type Hints struct {
	options HintOptions
	peers   map[string]*hints
}

// hints is what is kept for one peer.
type hints struct {
	instances  map[string]registry.Instance
	revision   uint64
	overflowed bool // not all could be kept
	since      time.Time
}

// NewHints returns an empty store.
func NewHints(options HintOptions) *Hints {
	return &Hints{options: options.withDefaults(), peers: make(map[string]*hints)}
}

// Keep keeps what a peer that is away misses: the instances that leave, of those that changed, and the newest revision. It
// returns false where the store has no room for another peer.
func (h *Hints) Keep(now time.Time, peer string, changed []registry.Instance, revision uint64) bool {
	kept := h.peers[peer]
	if kept == nil {
		if len(h.peers) >= h.options.Peers {
			return false
		}
		kept = &hints{instances: make(map[string]registry.Instance), since: now}
		h.peers[peer] = kept
	}
	kept.revision = max(kept.revision, revision)
	for _, instance := range changed {
		if instance.Reported != registry.StateReady {
			kept.keep(instance, h.options.PerPeer)
		}
	}
	return true
}

// keep keeps one departure, unless a later one of the instance is kept already.
func (h *hints) keep(instance registry.Instance, most int) {
	before, known := h.instances[instance.ID]
	if !known && len(h.instances) >= most {
		h.overflowed = true
		return
	}
	if known && registry.Furthest(before.Reported, instance.Reported) != instance.Reported {
		return
	}
	h.instances[instance.ID] = instance
}

// HandOver takes out what was kept for a peer that has returned, as a message to it; nil: nothing was kept.
func (h *Hints) HandOver(now time.Time, peer string) *feedpb.FeedMessage {
	kept := h.peers[peer]
	if kept == nil {
		return nil
	}
	delete(h.peers, peer)
	handoff := &feedpb.Handoff{Revision: kept.revision, Overflowed: kept.overflowed}
	for _, instance := range kept.instances {
		handoff.Instances = append(handoff.Instances, registry.ToWire(now, instance))
	}
	return &feedpb.FeedMessage{Handoff: handoff}
}

// Waiting returns the number of peers that something is kept for.
func (h *Hints) Waiting() int { return len(h.peers) }

// Tick drops what is too old.
func (h *Hints) Tick(now time.Time) {
	for peer, kept := range h.peers {
		if now.Sub(kept.since) >= h.options.Age {
			delete(h.peers, peer)
		}
	}
}
