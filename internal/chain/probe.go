package chain

import "time"

// probes are the numbered messages by which a process learns whether its epoch is in force: heartbeats through the
// chain and fetches from the tail. A response proves that the epoch was in force when the probe was sent, however long
// either of them was under way. An unsolicited message proves nothing: it may have been delayed, or queued while this
// process was suspended.
type probes struct {
	lastNumber uint64 // newest own probe; starts at a random number, so that responses to a previous run match no probe
	sent       [maxProbes]probe
}

// maxProbes is the number of recorded probes. They cover more than confirmationValidity.
const maxProbes = 16

// probe records when a probe with a number was sent or first passed through this process.
type probe struct {
	number uint64
	at     time.Time
}

// start records a probe that is sent now and returns its number.
func (p *probes) start(now time.Time) uint64 {
	p.lastNumber++
	p.record(p.lastNumber, now)
	return p.lastNumber
}

// record records when a probe first passed through this process.
func (p *probes) record(number uint64, now time.Time) {
	if sent := &p.sent[number%maxProbes]; sent.number != number {
		*sent = probe{number: number, at: now}
	}
}

// sentAt returns when a probe was sent or passed through this process, or false if it is not recorded.
func (p *probes) sentAt(number uint64) (time.Time, bool) {
	sent := p.sent[number%maxProbes]
	return sent.at, number != 0 && sent.number == number
}

// confirmProbe marks the epoch as confirmed for the time of a probe that was answered.
func (n *Node) confirmProbe(number uint64) {
	at, known := n.probes.sentAt(number)
	if !known || at.Before(n.confirmedAt) {
		return
	}
	n.confirmedAt, n.confirmedEpoch = at, n.view.Epoch
}
