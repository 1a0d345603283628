package policy

// How many messages travel in one call. They share one fate: where calls break, or get no answer, the many are lost
// with the one that was struck, and those that may not be repeated for good.

const groupCreep = 1 // further messages in a call with each call that was delivered

// together is how many messages a call to a route may carry.
func (s *Sender) together(r *route) int {
	most := max(1, s.set.Kinds[r.Kind].PerCall)
	if r.group > 0 {
		return min(most, int(r.group))
	}
	return most
}

// regroup has calls carry one message after one whose connection broke, whatever else the route answers,
// and more again with each that is delivered.
func (s *Sender) regroup(r *route, o Outcome) {
	if r.Kind < 0 || r.Kind >= len(s.set.Kinds) {
		return
	}
	switch o {
	case Reset:
		r.group = 1
	case OK:
		if r.group > 0 {
			r.group += groupCreep
		}
		if r.group >= float64(s.set.Kinds[r.Kind].PerCall) {
			r.group = 0
		}
	}
}
