package chain

import "time"

// questions are what a process sent to learn whether its epoch is in force, and when: heartbeats through the chain, and fetches from the
// tail. An answer proves that the epoch was in force when the question was sent, however long either of them was under way. What comes
// unasked proves nothing: it may have been under way for long, or have waited while this process stood still.
type questions struct {
	newest uint64 // number of the newest one of its own; the first is drawn, so that answers to another life are known
	sent   [questionsHeld]numberedTime
}

// questionsHeld is how many are remembered: those of more than the time for which a confirmation holds.
const questionsHeld = 16

// numberedTime is when a question of a number was sent, or passed here.
type numberedTime struct {
	number uint64
	at     time.Time
}

// ask notes a question that is sent now, and returns its number.
func (q *questions) ask(now time.Time) uint64 {
	q.newest++
	q.note(q.newest, now)
	return q.newest
}

// note remembers when a question passed here for the first time.
func (q *questions) note(number uint64, now time.Time) {
	if sent := &q.sent[number%questionsHeld]; sent.number != number {
		*sent = numberedTime{number: number, at: now}
	}
}

// askedAt is when a question was sent, or passed here; false if it is not remembered.
func (q *questions) askedAt(number uint64) (time.Time, bool) {
	sent := q.sent[number%questionsHeld]
	return sent.at, number != 0 && sent.number == number
}

// confirm notes that a question was answered.
func (n *Node) confirm(number uint64) {
	at, asked := n.questions.askedAt(number)
	if !asked || at.Before(n.confirmedAt) {
		return
	}
	n.confirmedAt, n.confirmedEpoch = at, n.view.Epoch
}
