package selector

import "time"

const (
	// roundTripRise is the weight by which a longer connect time raises the estimate of the round trip to a zone. It
	// is small because most of what delays a connection is not the network.
	roundTripRise = 0.05
	// maxRoundTrip is the connect time beyond which a sample is ignored.
	maxRoundTrip = 2 * time.Second
)

// RecordConnectTime records how long it took to connect to an endpoint, which is about one round trip.
func (s *Selector) RecordConnectTime(instanceID string, took time.Duration) {
	endpoint := s.endpoints[instanceID]
	if endpoint == nil || took <= 0 || took > maxRoundTrip || !s.enabled(LearnedDistance) {
		return
	}
	endpoint.watch.learnRoundTrip(took)
}

// learnRoundTrip updates the round trip to the zone: a shorter time counts at once, a longer one gradually.
func (z *zoneWatch) learnRoundTrip(took time.Duration) {
	if z.roundTrip == 0 || took < z.roundTrip {
		z.roundTrip = took
		return
	}
	z.roundTrip += time.Duration(roundTripRise * float64(took-z.roundTrip))
}
