package openings

import "time"

// PlacementOptions are what the keeping of openings is decided by.
type PlacementOptions struct {
	LeastRate      float64       // requests a second from which on an opening's place is decided at all
	EndpointRate   float64       // requests a second with one opening that one endpoint takes well
	CrossingTokens float64       // a request to another region costs as much as reading so many tokens
	KeepFor        time.Duration // about how long an endpoint keeps an opening that is not used
	MemoryShare    float64       // the part of a region's memory that one opening may take
	Advantage      float64       // how many times better another place must be
	HoldFor        time.Duration // for how long it must be better
	RestFor        time.Duration // the shortest time between two changes of one opening
}

func (o *PlacementOptions) complete() {
	defaults := PlacementOptions{
		LeastRate:      0.5,
		EndpointRate:   5,
		CrossingTokens: 4096,
		KeepFor:        20 * time.Second,
		MemoryShare:    0.25,
		Advantage:      1.5,
		HoldFor:        4 * time.Second,
		RestFor:        15 * time.Second,
	}
	orDefault(&o.LeastRate, defaults.LeastRate)
	orDefault(&o.EndpointRate, defaults.EndpointRate)
	orDefault(&o.CrossingTokens, defaults.CrossingTokens)
	orDefault(&o.KeepFor, defaults.KeepFor)
	orDefault(&o.MemoryShare, defaults.MemoryShare)
	orDefault(&o.Advantage, defaults.Advantage)
	orDefault(&o.HoldFor, defaults.HoldFor)
	orDefault(&o.RestFor, defaults.RestFor)
}

func orDefault[T float64 | time.Duration](value *T, otherwise T) {
	if *value <= 0 {
		*value = otherwise
	}
}

// RegionCapacity is what a region has for keeping openings.
type RegionCapacity struct {
	Region    string
	Endpoints int
	Memory    int // tokens, of all endpoints together
}
