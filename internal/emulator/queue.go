package emulator

import (
	"slices"
	"time"
)

// queue holds waiting jobs, ordered by priority and then by arrival.
type queue struct {
	waiting []*jobState
}

// precedes reports whether s is admitted before other: it is more urgent, or equally urgent and arrived earlier.
func (s *jobState) precedes(other *jobState) bool {
	if s.job.Priority != other.job.Priority {
		return s.job.Priority < other.job.Priority
	}
	return s.arrivalSeq < other.arrivalSeq
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) add(state *jobState) {
	index := len(q.waiting)
	for index > 0 && state.precedes(q.waiting[index-1]) {
		index--
	}
	q.waiting = slices.Insert(q.waiting, index, state)
}

// peek returns the job to be admitted next, or nil if the queue is empty.
func (q *queue) peek() *jobState {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// remove removes and returns a job, or returns nil if it is not queued.
func (q *queue) remove(id JobID) *jobState {
	index := slices.IndexFunc(q.waiting, func(state *jobState) bool { return state.job.ID == id })
	if index < 0 {
		return nil
	}
	state := q.waiting[index]
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return state
}

// removeExpired removes and returns the jobs whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []*jobState {
	var expired []*jobState
	q.waiting = slices.DeleteFunc(q.waiting, func(state *jobState) bool {
		if !state.job.expired(now) {
			return false
		}
		expired = append(expired, state)
		return true
	})
	return expired
}
