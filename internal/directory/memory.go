package directory

import (
	"slices"
	"sync"
	"time"

	"wallflow/internal/swim"
)

// rememberFor is how long a relay that is not heard of any more is remembered.
const rememberFor = 20 * time.Second

// memory remembers relays for the time in which this process is cut off from them. To the clients it may be the only directory near,
// and they reach relays that it doesn't.
type memory struct {
	region string // own

	mu   sync.Mutex
	seen map[string]sighting // by front address
}

// sighting is when a relay was last alive, and where it is.
type sighting struct {
	at     time.Time
	zone   string
	region string
}

// note takes the members that are known now.
func (m *memory) note(now time.Time, members []swim.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil {
		m.seen = make(map[string]sighting)
	}
	for _, member := range members {
		if member.Meta.Front != "" && member.Meta.Serving && member.Status == swim.Alive {
			m.seen[member.Meta.Front] = sighting{at: now, zone: member.Meta.Zone, region: member.Meta.Region}
		}
	}
	for front, last := range m.seen {
		if now.Sub(last.at) > rememberFor {
			delete(m.seen, front)
		}
	}
}

// lost lists the relays of other regions that were alive a while ago, if none of them is alive now.
func (m *memory) lost(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var fronts []string
	for front, last := range m.seen {
		switch {
		case last.region == m.region:
		case last.at.Equal(now):
			return nil
		default:
			fronts = append(fronts, front)
		}
	}
	slices.Sort(fronts)
	return fronts
}
