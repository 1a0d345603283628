// Package virtualtime orders what happens in simulations that have a clock of their own. It is used by the tests of the pure cores and
// by experiments; no service imports it.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds what is to happen, by time; what is due at the same time happens in the order in which it was added. The zero Queue is
// empty and ready for use.
type Queue struct {
	events eventHeap
	added  int
}

// At adds something that is to happen at a time.
func (q *Queue) At(when time.Time, run func()) {
	q.added++
	heap.Push(&q.events, event{at: when, order: q.added, run: run})
}

// Len is how much is still to happen.
func (q *Queue) Len() int { return len(q.events) }

// Next takes out what happens next, if there is anything that happens up to a time.
func (q *Queue) Next(upTo time.Time) (at time.Time, run func(), due bool) {
	if len(q.events) == 0 || q.events[0].at.After(upTo) {
		return time.Time{}, nil, false
	}
	return q.take()
}

// First takes out what happens next, whenever that is.
func (q *Queue) First() (at time.Time, run func(), any bool) {
	if len(q.events) == 0 {
		return time.Time{}, nil, false
	}
	return q.take()
}

func (q *Queue) take() (time.Time, func(), bool) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

type event struct {
	at    time.Time
	order int
	run   func()
}

// eventHeap orders events for container/heap.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
