package selector

import (
	"math"
	"time"
)

const (
	restartRate         = 1.0                    // calls per second after a skip
	minPacingRate       = 0.5                    // minimum rate in calls per second
	slowGrowth          = 0.25                   // relative growth with each success, for services whose endpoints can be cold
	fastGrowth          = 1.0                    // the same for other services
	growthNearCeiling   = 0.03                   // the same near the ceiling, the rate that was refused last
	nearCeilingFraction = 0.85                   // fraction of the ceiling above which a rate is near it
	unlimitedFactor     = 3.0                    // multiple of the rate in use above which the limit is lifted
	minRateInUse        = 4.0                    // minimum for the rate in use, in calls per second
	burstDuration       = 300 * time.Millisecond // length of idle time whose calls may be sent in a burst
)

// pacer is a token bucket that limits the calls per second to an endpoint after it answered that it is full, or came
// back from a skip. Initially there is no limit.
type pacer struct {
	rate       float64    // calls per second; 0: no limit
	ceiling    float64    // rate at which the endpoint last answered that it is full; 0: none
	tokens     float64    // of the token bucket: calls that may go now
	refilledAt time.Time  // when the tokens were last computed
	halvedAt   time.Time  // when the rate was last halved
	recent     lastSecond // calls sent
}

// nextAt returns when the next call may be sent: now or later.
func (p *pacer) nextAt(now time.Time) time.Time {
	if p.rate == 0 {
		return now
	}
	p.refill(now)
	if p.tokens >= 1 {
		return now
	}
	wait := time.Duration((1 - p.tokens) / p.rate * float64(time.Second))
	return now.Add(max(wait, time.Millisecond))
}

// recordSend counts a call.
func (p *pacer) recordSend(now time.Time) {
	p.recent.add(now)
	if p.rate > 0 {
		p.refill(now)
		p.tokens = math.Max(p.tokens-1, math.Min(p.tokens, 0)) // a forced call without a token does not make the balance negative
	}
}

// refill adds the tokens earned since the last computation.
func (p *pacer) refill(now time.Time) {
	added := p.rate * now.Sub(p.refilledAt).Seconds()
	p.tokens = math.Min(1+p.rate*burstDuration.Seconds(), p.tokens+math.Max(0, added))
	p.refilledAt = now
}

// halve sets the rate to half of the calls in the last second, or of the current limit if that is lower. It does so
// once for all calls that were in flight together.
func (p *pacer) halve(now, sentAt time.Time) {
	if sentAt.Before(p.halvedAt) {
		return
	}
	rate := p.recent.rate(now)
	if p.rate > 0 {
		rate = math.Min(rate, p.rate)
	}
	p.ceiling, p.rate = math.Max(rate, minPacingRate), math.Max(rate/2, minPacingRate)
	p.tokens, p.refilledAt, p.halvedAt = 0, now, now
}

// restart sets the rate to restartRate and forgets the ceiling.
func (p *pacer) restart(now time.Time) {
	p.rate, p.ceiling, p.tokens, p.refilledAt = restartRate, 0, 0, now
}

// grow raises the rate after a success: by the fraction growth, or by growthNearCeiling near the rate that was
// refused last, up to maxRate (0: no bound). Without that bound the limit is lifted once it is well above the rate in
// use.
func (p *pacer) grow(now time.Time, growth, maxRate float64) {
	if p.rate == 0 {
		return
	}
	p.refill(now)
	if p.ceiling > 0 && p.rate > nearCeilingFraction*p.ceiling {
		growth = growthNearCeiling
	}
	p.rate *= 1 + growth
	if maxRate > 0 {
		p.rate = math.Min(p.rate, maxRate)
		return
	}
	if p.rate > unlimitedFactor*math.Max(minRateInUse, p.recent.rate(now)) {
		p.rate, p.ceiling = 0, 0
	}
}

const (
	tenthOfSecond = time.Second / 10
	tenthsTracked = 11 // tenths of a second that any one second overlaps
)

// lastSecond counts the calls of the last second, in tenths of a second; the result is never too low. The tenths are
// numbered from that of the first call by elapsed time, since the wall clock may be stepped.
type lastSecond struct {
	tenths       [tenthsTracked]uint32
	currentTenth int64
	firstTenthAt time.Time // start of the tenth of the first call
}

// advance clears the tenths that have become too old, and makes that of now the current one.
func (l *lastSecond) advance(now time.Time) {
	if l.firstTenthAt.IsZero() {
		l.firstTenthAt = now.Add(-time.Duration(now.UnixNano() % int64(tenthOfSecond)))
	}
	tenth := int64(now.Sub(l.firstTenthAt) / tenthOfSecond)
	if tenth <= l.currentTenth {
		return
	}
	if tenth-l.currentTenth >= tenthsTracked {
		l.tenths = [tenthsTracked]uint32{}
	} else {
		for stale := l.currentTenth + 1; stale <= tenth; stale++ {
			l.tenths[stale%tenthsTracked] = 0
		}
	}
	l.currentTenth = tenth
}

func (l *lastSecond) add(now time.Time) {
	l.advance(now)
	l.tenths[l.currentTenth%tenthsTracked]++
}

// rate returns the calls of the last second.
func (l *lastSecond) rate(now time.Time) float64 {
	l.advance(now)
	sum := uint32(0)
	for _, calls := range l.tenths {
		sum += calls
	}
	return float64(sum)
}
