package dataplane

import (
	"time"

	"wallflow/internal/distribution"
)

// ownAfter is how long a relay must have been in touch before it owns cold endpoints: one that has just started sees itself alone,
// and so do the others that started with it.
const ownAfter = 1500 * time.Millisecond

// ownership says whether this relay may own cold endpoints. One that is cut off may not, since the others have passed on what it
// owned; while they find that out there are two owners, for which the bound of a cold endpoint has room.
type ownership struct {
	since time.Time // since when the feed has been fresh; zero: it is not
}

// update takes whether the feed is fresh.
func (o *ownership) update(now time.Time, fresh bool) (mayOwn bool) {
	if !fresh {
		o.since = time.Time{}
		return false
	}
	if o.since.IsZero() {
		o.since = now
	}
	return now.Sub(o.since) >= ownAfter
}

// owner is the one relay that may call a cold endpoint: one of the endpoint's zone, or, where that has none, of all relays. It is
// empty while this relay may own nothing.
func (v peerView) owner(zone, instanceID string) string {
	if !v.mayOwn {
		return ""
	}
	relays := v.zones[zone]
	if len(relays) == 0 {
		relays = v.all
	}
	return distribution.Home(zone, relays, instanceID)
}
