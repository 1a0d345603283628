package selector

import (
	"math"
	"time"
)

const (
	paceRestart = 1.0                    // calls a second after a skip
	paceLeast   = 0.5                    // calls a second under which a pace does not fall
	paceCreep   = 0.25                   // growth with each success
	paceQuick   = 1.0                    // the same for services whose endpoints are never cold
	paceCrawl   = 0.03                   // the same near the rate that was refused last
	paceNear    = 0.85                   // "near": above this share of that rate
	paceFree    = 3.0                    // above this multiple of the rate in use a pace binds no more
	paceInUse   = 4.0                    // calls a second that are taken to be in use at least
	paceBurst   = 300 * time.Millisecond // span of pace that may be sent at once after idling
)

// pace bounds the calls a second to an endpoint after it refused as full, or came back. It starts free.
type pace struct {
	rate     float64 // calls a second; 0: free
	ceiling  float64 // the rate that was refused last; 0: none
	tokens   float64
	at       time.Time // of the tokens
	halvedAt time.Time
	sent     lastSecond
}

// nextAt is when the next call may go: now, or later.
func (p *pace) nextAt(now time.Time) time.Time {
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

// take counts a call.
func (p *pace) take(now time.Time) {
	p.sent.add(now)
	if p.rate > 0 {
		p.refill(now)
		p.tokens = math.Max(p.tokens-1, math.Min(p.tokens, 0)) // what goes without the pace's leave makes no debts
	}
}

func (p *pace) refill(now time.Time) {
	earned := p.rate * now.Sub(p.at).Seconds()
	p.tokens = math.Min(1+p.rate*paceBurst.Seconds(), p.tokens+math.Max(0, earned))
	p.at = now
}

// halve sets the pace to half the last second's rate, once for all calls that were out together.
func (p *pace) halve(now, sentAt time.Time) {
	if sentAt.Before(p.halvedAt) {
		return
	}
	rate := p.sent.rate(now)
	if p.rate > 0 {
		rate = math.Min(rate, p.rate)
	}
	p.ceiling, p.rate = math.Max(rate, paceLeast), math.Max(rate/2, paceLeast)
	p.tokens, p.at, p.halvedAt = 0, now, now
}

// restart sets the pace to one call a second.
func (p *pace) restart(now time.Time) {
	p.rate, p.ceiling, p.tokens, p.at = paceRestart, 0, 0, now
}

// creep lets the pace grow with a success, slowly near the rate that was refused last, no further than most (0: no bound). It is
// free again once it lies well above the rate in use.
func (p *pace) creep(now time.Time, growth, most float64) {
	if p.rate == 0 {
		return
	}
	p.refill(now)
	if p.ceiling > 0 && p.rate > paceNear*p.ceiling {
		growth = paceCrawl
	}
	p.rate *= 1 + growth
	if most > 0 {
		p.rate = math.Min(p.rate, most)
		return
	}
	if p.rate > paceFree*math.Max(paceInUse, p.sent.rate(now)) {
		p.rate, p.ceiling = 0, 0
	}
}

const (
	secondPart  = time.Second / 10
	secondParts = 11 // the parts that a second touches
)

// lastSecond counts the calls of the last second, in tenths: no fewer than there were. Its tenths are counted from the one of
// the first call, as the time of day may be stepped.
type lastSecond struct {
	parts  [secondParts]uint32
	newest int64
	since  time.Time // begin of the tenth of the first call
}

func (l *lastSecond) advance(now time.Time) {
	if l.since.IsZero() {
		l.since = now.Add(-time.Duration(now.UnixNano() % int64(secondPart)))
	}
	slot := int64(now.Sub(l.since) / secondPart)
	if slot <= l.newest {
		return
	}
	if slot-l.newest >= secondParts {
		l.parts = [secondParts]uint32{}
	} else {
		for passed := l.newest + 1; passed <= slot; passed++ {
			l.parts[passed%secondParts] = 0
		}
	}
	l.newest = slot
}

func (l *lastSecond) add(now time.Time) {
	l.advance(now)
	l.parts[l.newest%secondParts]++
}

func (l *lastSecond) rate(now time.Time) float64 {
	l.advance(now)
	sum := uint32(0)
	for _, part := range l.parts {
		sum += part
	}
	return float64(sum)
}
