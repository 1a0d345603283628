// Package virtualtime provides the event queue of simulations that run on a virtual clock. Tests and experiments use it; no service
// imports it.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds future events ordered by time. Events of the same time keep the order in which they were added. The zero Queue is
// empty and ready for use.
type Queue struct {
	events eventHeap
	added  int
}

// At schedules run for a time.
func (q *Queue) At(when time.Time, run func()) {
	q.added++
	heap.Push(&q.events, event{at: when, order: q.added, run: run})
}

// Len returns the number of scheduled events.
func (q *Queue) Len() int { return len(q.events) }

// PopDue removes and returns the next event if it is due at or before upTo.
func (q *Queue) PopDue(upTo time.Time) (at time.Time, run func(), due bool) {
	if len(q.events) == 0 || q.events[0].at.After(upTo) {
		return time.Time{}, nil, false
	}
	return q.take()
}

// Pop removes and returns the next event, whenever it is due.
func (q *Queue) Pop() (at time.Time, run func(), ok bool) {
	if len(q.events) == 0 {
		return time.Time{}, nil, false
	}
	return q.take()
}

// take removes and returns the earliest event of a queue that is not empty.
func (q *Queue) take() (time.Time, func(), bool) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

// event is a scheduled call. order breaks ties between equal times.
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
