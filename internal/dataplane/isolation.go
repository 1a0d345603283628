package dataplane

import (
	"time"

	"wallflow/internal/settings"
	"wallflow/internal/swim"
)

const (
	// isolationSilence is how long members of other regions must not have answered before a relay whose feed is not fresh counts as
	// isolated. Meanwhile it probes some of them at each tick; an answer takes a round trip between regions.
	isolationSilence = 350 * time.Millisecond
	// contactProbes is the number of members that are probed at each tick.
	contactProbes = 3
)

// isolation tells whether this relay is cut off together with its surroundings, rather than that the control processes alone are away. An
// isolated relay does not hear that zones are evacuated and restored, so that it cannot know which endpoints are cold.
type isolation struct {
	outside      map[string]bool // zones of other regions or, if there is one region alone, the other zones
	unfreshSince time.Time       // since when the feed has not been fresh; zero: it is fresh
	isolated     bool
}

func newIsolation(cfg *settings.Settings) isolation {
	i := isolation{outside: make(map[string]bool)}
	for zone, region := range cfg.Zones {
		if region != cfg.Region {
			i.outside[zone] = true
		}
	}
	if len(i.outside) > 0 {
		return i
	}
	for zone := range cfg.Zones {
		if zone != cfg.Zone {
			i.outside[zone] = true
		}
	}
	return i
}

// update records whether the feed is fresh and when a member outside last answered, and returns whether this relay is isolated. A relay
// stays isolated until its feed is fresh again, when it knows what it has missed.
func (i *isolation) update(now time.Time, fresh bool, lastContact time.Time) bool {
	if fresh {
		i.unfreshSince, i.isolated = time.Time{}, false
		return false
	}
	if i.unfreshSince.IsZero() {
		i.unfreshSince = now
	}
	if lastContact.Before(i.unfreshSince) {
		lastContact = i.unfreshSince
	}
	i.isolated = i.isolated || len(i.outside) > 0 && now.Sub(lastContact) >= isolationSilence
	return i.isolated
}

// updateIsolation finds out whether this relay is isolated, and tells the selector.
func (p *Process) updateIsolation(now time.Time) {
	fresh := p.subscriber.Fresh(now)
	if !fresh && !p.isolation.isolated {
		p.sendMembership(p.members.CheckContact(now, p.isolation.outside, contactProbes))
	}
	relays := 0
	if p.isolation.update(now, fresh, p.members.LastContact(p.isolation.outside)) {
		relays = p.countRelaysInside()
	}
	if relays == p.isolatedRelays {
		return
	}
	if (relays > 0) != (p.isolatedRelays > 0) {
		p.log.Info("isolation changed", "isolated", relays > 0, "relays", relays)
	}
	p.isolatedRelays = relays
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetIsolated(relays)
}

// countRelaysInside returns the number of relays, this one included, that may be cut off together with this one.
func (p *Process) countRelaysInside() int {
	count := 1
	for _, member := range p.members.Members() {
		if isRelay(member) && member.Name != p.settings.Node && !p.isolation.outside[member.Meta.Zone] {
			count++
		}
	}
	return count
}

func isRelay(member swim.Member) bool { return member.Meta.Front != "" }
