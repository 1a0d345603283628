package directory

import (
	"slices"
	"sync"
	"time"

	"wallflow/internal/swim"
)

// lostRelayRetention is how long a relay is remembered after it was last seen serving.
const lostRelayRetention = 20 * time.Second

// relayHistory remembers the relays that served clients within lostRelayRetention.
type relayHistory struct {
	region string // of this process

	mu   sync.Mutex
	seen map[string]observation // by the relay's client-facing address
}

// observation records when a relay was last seen serving, and its region.
type observation struct {
	servingAt time.Time
	region    string
	stopping  bool // since then the relay has announced that it no longer serves: a planned stop or a restart
}

// record updates the history from the current members and removes observations that have expired.
func (h *relayHistory) record(now time.Time, members []swim.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = make(map[string]observation)
	}
	for _, member := range members {
		h.recordMember(now, member)
	}
	for address, last := range h.seen {
		if now.Sub(last.servingAt) > lostRelayRetention {
			delete(h.seen, address)
		}
	}
}

func (h *relayHistory) recordMember(now time.Time, member swim.Member) {
	address := member.Meta.Front
	last, known := h.seen[address]
	switch {
	case address == "" || member.Status != swim.Alive:
	case member.Meta.Serving:
		h.seen[address] = observation{servingAt: now, region: member.Meta.Region}
	case known:
		last.stopping = true
		h.seen[address] = last
	}
}

// lostRelays returns the remembered relays of other regions that may serve a host. It returns none if any relay of another region is
// still serving. This process may be the only directory near its clients, and they may reach relays that it cannot reach.
func (h *relayHistory) lostRelays(now time.Time, homes homeRegions) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var addresses []string
	for address, last := range h.seen {
		switch {
		case last.region == h.region:
		case last.servingAt.Equal(now):
			return nil
		case homes.allow(last.region):
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// expectsReturn reports whether a relay that may serve the client announced its stop within lostRelayRetention, so that it is likely to
// come back.
func (h *relayHistory) expectsReturn(now time.Time, client query) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, last := range h.seen {
		if last.stopping && client.allows(last.region) && now.Sub(last.servingAt) <= lostRelayRetention {
			return true
		}
	}
	return false
}
