package dataplane

import (
	"time"

	"wallflow/internal/distribution"
)

// ownershipDelay is how long the feed must have been fresh before a relay may own cold endpoints. A relay that has just started knows
// only itself, and so do the others that started at the same time.
const ownershipDelay = 1500 * time.Millisecond

// ownership decides whether this relay may own cold endpoints. An isolated relay may not, since the others have reassigned what it
// owned. Until they agree, an endpoint can have two owners; the load limit of a cold endpoint allows for that.
type ownership struct {
	freshSince time.Time // when the feed became fresh; zero: it is not fresh
}

// update records whether the feed is fresh and returns whether this relay may own cold endpoints.
func (o *ownership) update(now time.Time, fresh bool) (mayOwn bool) {
	if !fresh {
		o.freshSince = time.Time{}
		return false
	}
	if o.freshSince.IsZero() {
		o.freshSince = now
	}
	return now.Sub(o.freshSince) >= ownershipDelay
}

// owner returns the name of the only relay that may send to a cold endpoint: one in the endpoint's zone, or any relay if the zone has
// none. It returns the empty string while this relay may not own endpoints.
func (v peerView) owner(zone, instanceID string) string {
	if !v.mayOwn {
		return ""
	}
	relays := v.byZone[zone]
	if len(relays) == 0 {
		relays = v.names
	}
	return distribution.Home(zone, relays, instanceID)
}
