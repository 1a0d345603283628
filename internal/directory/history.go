package directory

import (
	"slices"
	"sync"
	"time"

	"wallflow/internal/swim"
)

// lostRelayRetention is how long a relay is remembered after it was last seen serving or, if this process has not seen it serve, after it was
// first heard of.
const lostRelayRetention = 20 * time.Second

// relayHistory remembers the relays that served clients, or were stopped by plan, within lostRelayRetention.
type relayHistory struct {
	region string // of this process

	mu   sync.Mutex
	seen map[string]observation // by the relay's client-facing address
}

// observation is what the directory remembers of a relay.
type observation struct {
	at       time.Time // when it was last seen serving or, if it never was, first heard of
	region   string
	served   bool // it was seen serving
	stopping bool // it does not serve by its own account, or has left: a planned stop or a start
}

// record updates the history from the current members and the members that have left, and removes observations that have expired.
func (h *relayHistory) record(now time.Time, members []swim.Member, departures []swim.Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = make(map[string]observation)
	}
	for _, member := range members {
		h.recordMember(now, member)
	}
	for _, departure := range departures {
		h.recordStop(departure.LearnedAt, departure.Meta)
	}
	for address, last := range h.seen {
		if now.Sub(last.at) > lostRelayRetention && !isAnyAddress(members, address) {
			delete(h.seen, address)
		}
	}
}

// isAnyAddress reports whether a member has the client-facing address.
func isAnyAddress(members []swim.Member, address string) bool {
	return slices.ContainsFunc(members, func(member swim.Member) bool { return member.Meta.Front == address })
}

func (h *relayHistory) recordMember(now time.Time, member swim.Member) {
	switch {
	case member.Meta.Front == "" || member.Status != swim.Alive:
	case member.Meta.Serving:
		h.seen[member.Meta.Front] = observation{at: now, region: member.Meta.Region, served: true}
	default:
		h.recordStop(now, member.Meta)
	}
}

// recordStop records that a relay does not serve by its own account. A relay that this process has not seen before counts as well: a
// directory that has just started must not take the relays that are being restarted for lost ones.
func (h *relayHistory) recordStop(at time.Time, relay swim.Meta) {
	if relay.Front == "" {
		return
	}
	last, known := h.seen[relay.Front]
	if !known {
		last = observation{at: at, region: relay.Region}
	}
	last.stopping = true
	h.seen[relay.Front] = last
}

// lostRelays returns the remembered relays of other regions that may serve a host. It returns none if any relay of another region is
// still serving. This process may be the only directory near its clients, and they may reach relays that it cannot reach.
func (h *relayHistory) lostRelays(now time.Time, homes homeRegions) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var addresses []string
	for address, last := range h.seen {
		switch {
		case last.region == h.region || !last.served:
		case last.at.Equal(now):
			return nil
		case homes.allow(last.region):
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// expectsReturn reports whether a relay that may serve the client was stopped or started by plan within lostRelayRetention, so that it is
// likely to serve soon.
func (h *relayHistory) expectsReturn(now time.Time, client query) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, last := range h.seen {
		if last.stopping && client.allows(last.region) && now.Sub(last.at) <= lostRelayRetention {
			return true
		}
	}
	return false
}
