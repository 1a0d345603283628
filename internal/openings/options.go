package openings

import "time"

// Options are the settings of a Node. Zero fields but Self and Life have sensible defaults.
type Options struct {
	Self Member
	// Life is a number that rises with each start of this relay.
	Life uint64
	// HalfLife is that of the sketches; what isn't renewed fades with half of it.
	HalfLife time.Duration
	// Every is the time between two reports.
	Every     time.Duration
	Placement PlacementOptions

	mistake mistake
}

const (
	defaultEvery = 2 * time.Second
	// freshPeriods is for how many periods a part counts in full, renewed or not.
	freshPeriods = 2.5
	// settlePeriods is how long a new home waits for those that have not reported.
	settlePeriods = 1.5
	// fadeShare is the part of the half-life of counts with which a part fades that is not renewed.
	fadeShare = 0.5
	// forgetHalfLives is the age, in half-lives, at which a part is dropped.
	forgetHalfLives = 7
	// restPeriods is how many periods a home that was outbid holds back.
	restPeriods = 3

	// reportMost, partMost and pictureMost bound the openings that are named: by a relay, for a zone or region, and for the rest
	// of the regions together.
	reportMost  = 64
	partMost    = 64
	pictureMost = 48
	// exchangeMost bounds those that a home names to all other regions together, leastOfRegion is what it names in any case.
	exchangeMost  = 960
	leastOfRegion = 32
	// fleetTop is how many openings of the whole fleet come before a region's own among these.
	fleetTop = 24
	// regionsAtOnce is how many regions a home tells at a time.
	regionsAtOnce = 30
	// regionsToldApart is the number of regions up to which relays are told of each by itself.
	regionsToldApart = 4
	// noScope is the name of no zone and no region.
	noScope = "\x00"
	// decisionsMost bounds the decisions that are kept.
	decisionsMost = 64
)

func (o *Options) complete() {
	if o.HalfLife <= 0 {
		o.HalfLife = defaultHalfLife
	}
	if o.Every <= 0 {
		o.Every = defaultEvery
	}
	o.Placement.complete()
}

func (o *Options) fading() fading {
	return fading{
		freshFor: times(o.Every, freshPeriods),
		halfLife: times(o.HalfLife, fadeShare),
		forget:   times(o.HalfLife, fadeShare*forgetHalfLives),
	}
}

func times(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
