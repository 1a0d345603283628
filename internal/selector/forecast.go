package selector

import "time"

// Forecast is the estimate for an attempt when its endpoint was chosen.
type Forecast struct {
	Instance      string // instance id
	Zone          string
	Region        string
	SentAt        time.Time
	Network       time.Duration // network round trip
	Wait          time.Duration // until the endpoint starts with the request
	Lateness      time.Duration // part of the wait: by how much recent answers were later than estimated
	Processing    time.Duration // from the start to the first byte
	PrefillTokens int           // prompt tokens that the endpoint has to prefill
	CachedParts   int           // leading prompt parts that the endpoint was believed to cache
	Requests      float64       // estimate of the requests of all relays at the endpoint
	Ranked        bool          // the endpoint was in the ranking of the prompt prefix
	Forced        bool          // the endpoint was chosen as a last resort
}

// First is the expected time to the first byte of the answer.
func (f *Forecast) First() time.Duration { return f.Network + f.Wait + f.Processing }

// forecast returns the estimate for the attempt in exported form.
func (a *Attempt) forecast() Forecast {
	return Forecast{
		Instance:      a.endpoint.instance.ID,
		Zone:          a.endpoint.instance.Zone,
		Region:        a.endpoint.tier.region,
		SentAt:        a.sentAt,
		Network:       fromMs(a.estimate.networkMs),
		Wait:          fromMs(a.estimate.waitMs),
		Lateness:      fromMs(a.estimate.latenessMs),
		Processing:    fromMs(a.estimate.processingMs),
		PrefillTokens: a.estimate.prefillTokens,
		CachedParts:   a.estimate.cachedParts,
		Requests:      a.endpointRequests,
		Ranked:        a.ranked,
		Forced:        a.forced,
	}
}

// FirstByteAt returns when the first byte was received; the zero time if none was.
func (a *Attempt) FirstByteAt() time.Time { return a.firstByteAt }
