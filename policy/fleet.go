package policy

import "time"

// What is harmless from one sender and harmful from many at once: connections held idle.

const (
	fewSenders = 6                      // so many fit any table, and see enough of a route by themselves
	tightMost  = 2                      // failed connections in a row that a full table explains
	tightRest  = 300 * time.Millisecond // rest of a route with a full table: about an answer's time
	scarceSpan = 30 * time.Second       // how long a kind whose table was full is short of connections
)

// bundles tells whether a call to a route may carry several messages.
func (s *Sender) bundles(r *route) bool {
	return r.Kind >= 0 && r.Kind < len(s.set.Kinds) && s.set.Kinds[r.Kind].PerCall > 1
}

// holdsNone tells whether no connection to a route is held idle. What many senders hold is missing in the tables
// of destinations, which have room for calls at work. Where messages share calls, those are few and come steadily:
// there a connection is kept until the kind turns out to be short of them.
func (s *Sender) holdsNone(r *route) bool {
	return s.set.Senders > fewSenders && (s.now < s.scarce[r.Kind] || !s.bundles(r))
}

// crowded tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (s *Sender) crowded(r *route, o sample) bool {
	short := s.set.Senders > fewSenders && s.now < s.scarce[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sent < leastExpect
	return failed && r.gate.tights < tightMost && (s.alive(r) || short)
}

// crowd answers a full connection table.
func (s *Sender) crowd(r *route, _ sample) {
	r.skipUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(tightRest))
	s.act(Action{Kind: CloseIdle, Route: r.Route})
}
