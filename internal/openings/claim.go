package openings

import "time"

// claim is a home's hold on its zone or region: a fencing token higher than all that were seen there.
type claim struct {
	token   uint64
	seen    uint64 // the highest token of others
	since   time.Time
	outbid  time.Time // when the token was last raised over another one
	settled bool      // all have reported, or have had the time to
}

// hold takes a token if there is none, and raises one that was outbid, but not often: two that each take themselves for the home
// must not drive each other on.
func (c *claim) hold(now time.Time, restFor time.Duration) bool {
	switch {
	case c.token == 0:
		c.since = now
		c.raise(now)
	case c.seen > c.token:
		if now.Sub(c.outbid) < restFor {
			return false
		}
		c.raise(now)
	}
	return true
}

func (c *claim) raise(now time.Time) {
	c.token = max(c.seen+1, uint64(now.UnixMilli()))
	c.outbid = now
}

// see takes notice of a token of the same zone or region.
func (c *claim) see(token uint64) { c.seen = max(c.seen, token) }

// release gives up the hold. The token is not used again.
func (c *claim) release() {
	c.see(c.token)
	c.token, c.settled = 0, false
}
