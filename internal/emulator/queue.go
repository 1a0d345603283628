package emulator

import (
	"slices"
	"time"
)

// queue holds the jobs that wait, the most urgent first and, of equal ones, in the order of arrival.
type queue struct {
	waiting []*running
}

// before tells whether r goes ahead of other.
func (r *running) before(other *running) bool {
	if r.job.Priority != other.job.Priority {
		return r.job.Priority < other.job.Priority
	}
	return r.arrived < other.arrived
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) add(job *running) {
	at := len(q.waiting)
	for at > 0 && job.before(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, job)
}

// first returns the job that is next; nil: nobody waits.
func (q *queue) first() *running {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// remove takes a job out; nil: it doesn't wait.
func (q *queue) remove(id JobID) *running {
	at := slices.IndexFunc(q.waiting, func(job *running) bool { return job.job.ID == id })
	if at < 0 {
		return nil
	}
	job := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return job
}

// expired takes out the jobs whose deadline has passed.
func (q *queue) expired(now time.Time) []*running {
	var late []*running
	q.waiting = slices.DeleteFunc(q.waiting, func(job *running) bool {
		if !job.job.expired(now) {
			return false
		}
		late = append(late, job)
		return true
	})
	return late
}
