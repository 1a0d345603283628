package transport

import (
	"sync"
	"time"
)

// queued is an encoded message that waits for its destination.
type queued struct {
	bytes []byte
	since time.Time
}

// queue holds what waits for one destination, bounded in messages and bytes. One writer empties it.
type queue struct {
	maxMessages int
	maxBytes    int
	wake        chan struct{}

	mutex   sync.Mutex
	waiting []queued
	bytes   int
	retired bool
}

// pushResult is what became of a message.
type pushResult int

const (
	pushTaken pushResult = iota
	pushFull
	pushRetired // the writer has ended: a new queue is needed
)

func newQueue(maxMessages, maxBytes int) *queue {
	return &queue{maxMessages: maxMessages, maxBytes: maxBytes, wake: make(chan struct{}, 1)}
}

// push adds a message and wakes the writer. It never blocks.
func (q *queue) push(message queued) pushResult {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.retired {
		return pushRetired
	}
	if !q.fits(len(message.bytes)) {
		return pushFull
	}
	q.waiting = append(q.waiting, message)
	q.bytes += len(message.bytes)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return pushTaken
}

func (q *queue) fits(size int) bool {
	if len(q.waiting) == 0 {
		return true
	}
	return len(q.waiting) < q.maxMessages && q.bytes+size <= q.maxBytes
}

// takeAll empties the queue; spare is a used slice whose memory is kept for the next messages.
func (q *queue) takeAll(spare []queued) []queued {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.waiting
	clear(spare)
	q.waiting = spare[:0]
	q.bytes = 0
	return taken
}

// empty reports whether nothing waits.
func (q *queue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting) == 0
}

// expire drops what has waited since before the limit and returns how many messages that were.
func (q *queue) expire(limit time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count := 0
	for count < len(q.waiting) && q.waiting[count].since.Before(limit) {
		q.bytes -= len(q.waiting[count].bytes)
		count++
	}
	remaining := copy(q.waiting, q.waiting[count:])
	clear(q.waiting[remaining:])
	q.waiting = q.waiting[:remaining]
	return count
}

// retire ends the queue if nothing waits; later pushes are told so.
func (q *queue) retire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) > 0 {
		return false
	}
	q.retired = true
	return true
}
