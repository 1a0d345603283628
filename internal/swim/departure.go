package swim

import "time"

// Departure is a member that has left by plan. It may come back.
type Departure struct {
	Member
	LearnedAt time.Time // when this process learned of it
}

// Departures returns the members that have left and were not seen since, as far as this process learned of it after the given time.
func (n *Node) Departures(after time.Time) []Departure {
	var departures []Departure
	for _, departed := range n.table.tombstones {
		if departed.Status == Left && departed.statusSince.After(after) {
			departures = append(departures, Departure{Member: departed.Member, LearnedAt: departed.statusSince})
		}
	}
	return departures
}
