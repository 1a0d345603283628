package policy

// How many messages one call carries. They share one outcome: if the call breaks, or has no response, all of its
// messages are lost with it, and for good those that must not be repeated.

const callCapacityGrowth = 1 // further messages in a call with each delivered call

// callCapacity is how many messages a call to a route may carry.
func (s *Sender) callCapacity(r *route) int {
	limit := max(1, s.cfg.Kinds[r.Kind].PerCall)
	if r.perCall > 0 {
		return min(limit, int(r.perCall))
	}
	return limit
}

// adjustCallCapacity limits calls to one message after a reset, whatever else the route responds; each delivered call raises the limit.
func (s *Sender) adjustCallCapacity(r *route, o Outcome) {
	if r.Kind < 0 || r.Kind >= len(s.cfg.Kinds) {
		return
	}
	switch o {
	case Reset:
		r.perCall = 1
	case OK:
		if r.perCall > 0 {
			r.perCall += callCapacityGrowth
		}
		if r.perCall >= float64(s.cfg.Kinds[r.Kind].PerCall) {
			r.perCall = 0
		}
	}
}
