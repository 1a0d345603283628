package transport

import (
	"sync"
	"time"
)

// queued is an encoded message in a queue.
type queued struct {
	bytes    []byte // the encoded frame
	queuedAt time.Time
}

// queue holds the messages for one destination, bounded in number and bytes. A single writer goroutine empties it.
type queue struct {
	maxMessages int
	maxBytes    int
	wake        chan struct{} // signals the writer that messages were added

	mutex    sync.Mutex
	messages []queued
	bytes    int  // total size of messages
	retired  bool // the writer has ended
}

// pushResult is the result of queue.push.
type pushResult int

const (
	pushAccepted pushResult = iota
	pushFull
	pushRetired // the writer has ended: a new destination is needed
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
	q.messages = append(q.messages, message)
	q.bytes += len(message.bytes)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return pushAccepted
}

// fits reports whether a message of this size, in bytes, can be added. An empty queue accepts any message.
func (q *queue) fits(size int) bool {
	if len(q.messages) == 0 {
		return true
	}
	return len(q.messages) < q.maxMessages && q.bytes+size <= q.maxBytes
}

// takeAll empties the queue and returns its messages. The memory of reuse, a slice returned earlier, holds the next messages.
func (q *queue) takeAll(reuse []queued) []queued {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.messages
	clear(reuse)
	q.messages = reuse[:0]
	q.bytes = 0
	return taken
}

// empty reports whether there are no messages.
func (q *queue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.messages) == 0
}

// expire drops the messages queued before the cutoff and returns their number.
func (q *queue) expire(cutoff time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count := 0
	for count < len(q.messages) && q.messages[count].queuedAt.Before(cutoff) {
		q.bytes -= len(q.messages[count].bytes)
		count++
	}
	remaining := copy(q.messages, q.messages[count:])
	clear(q.messages[remaining:])
	q.messages = q.messages[:remaining]
	return count
}

// retire closes the queue if it is empty. Later pushes return pushRetired.
func (q *queue) retire() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	q.retired = true
	return true
}
