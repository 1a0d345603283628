package directory

import (
	"slices"
	"sync"
	"time"

	"wallflow/internal/swim"
)

// rememberFor is how long a relay that is not heard of any more is remembered.
const rememberFor = 20 * time.Second

// memory remembers relays that took traffic a while ago.
type memory struct {
	region string // own

	mu   sync.Mutex
	seen map[string]sighting // by front address
}

// sighting is when a relay last took traffic, and where it is.
type sighting struct {
	at       time.Time
	region   string
	stopping bool // it has said since that it takes no more: it stops by plan, or starts again
}

// note takes the members that are known now.
func (m *memory) note(now time.Time, members []swim.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil {
		m.seen = make(map[string]sighting)
	}
	for _, member := range members {
		m.noteMember(now, member)
	}
	for front, last := range m.seen {
		if now.Sub(last.at) > rememberFor {
			delete(m.seen, front)
		}
	}
}

func (m *memory) noteMember(now time.Time, member swim.Member) {
	front := member.Meta.Front
	last, known := m.seen[front]
	switch {
	case front == "" || member.Status != swim.Alive:
	case member.Meta.Serving:
		m.seen[front] = sighting{at: now, region: member.Meta.Region}
	case known:
		last.stopping = true
		m.seen[front] = last
	}
}

// lost lists the relays of other regions that were alive a while ago and may serve a host, if none of another region is alive now. To
// its clients this process may be the only directory near, and they reach relays that it doesn't.
func (m *memory) lost(now time.Time, homes homes) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var fronts []string
	for front, last := range m.seen {
		switch {
		case last.region == m.region:
		case last.at.Equal(now):
			return nil
		case homes.admit(last.region):
			fronts = append(fronts, front)
		}
	}
	slices.Sort(fronts)
	return fronts
}

// returning tells whether a relay that a client may be sent to stopped by plan a while ago, so that it is to be expected back.
func (m *memory) returning(now time.Time, q query) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, last := range m.seen {
		if last.stopping && q.admits(last.region) && now.Sub(last.at) <= rememberFor {
			return true
		}
	}
	return false
}
