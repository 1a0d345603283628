package emulator

import "time"

// ShopOptions describe a plain service.
type ShopOptions struct {
	Slots int // jobs that run at once
	Queue int // jobs that wait beyond those
}

// Shop is the model of a plain service: each job holds a place for as long as its work takes.
type Shop struct {
	options ShopOptions
	queue   queue
	busy    []place // in the order of their ends
	arrival uint64
}

type place struct {
	job *running
	end time.Time
}

// NewShop returns a shop with nothing to do.
func NewShop(options ShopOptions) *Shop { return &Shop{options: options} }

// Submit takes a job, or returns false: the queue is full.
func (s *Shop) Submit(now time.Time, job Job) bool {
	if len(s.busy)+s.queue.len() >= s.options.Slots+s.options.Queue {
		return false
	}
	s.arrival++
	s.queue.add(&running{job: job, arrived: s.arrival})
	s.admit(now)
	return true
}

func (s *Shop) admit(now time.Time) {
	for len(s.busy) < s.options.Slots && s.queue.len() > 0 {
		next := s.queue.first()
		s.queue.remove(next.job.ID)
		s.insert(place{job: next, end: now.Add(next.job.Work)})
	}
}

func (s *Shop) insert(taken place) {
	at := len(s.busy)
	for at > 0 && taken.end.Before(s.busy[at-1].end) {
		at--
	}
	s.busy = append(s.busy, place{})
	copy(s.busy[at+1:], s.busy[at:])
	s.busy[at] = taken
}

// Cancel ends a job whose caller has gone.
func (s *Shop) Cancel(now time.Time, id JobID) {
	if s.queue.remove(id) != nil {
		return
	}
	for i, taken := range s.busy {
		if taken.job.job.ID == id {
			s.busy = append(s.busy[:i], s.busy[i+1:]...)
			break
		}
	}
	s.admit(now)
}

// Next returns the end of the job that ends next.
func (s *Shop) Next() (time.Time, bool) {
	if len(s.busy) == 0 {
		return time.Time{}, false
	}
	return s.busy[0].end, true
}

// Advance ends the jobs whose work is done by now.
func (s *Shop) Advance(now time.Time) []Event {
	var events []Event
	for len(s.busy) > 0 && !s.busy[0].end.After(now) {
		done := s.busy[0]
		s.busy = s.busy[1:]
		events = append(events, Event{Job: done.job.job.ID, Kind: EventTokens, At: done.end, Number: 1, Last: true})
		for _, late := range s.queue.expired(done.end) {
			events = append(events, Event{Job: late.job.ID, Kind: EventExpired, At: done.end, Last: true})
		}
		s.admit(done.end)
	}
	return events
}

// Load returns the load as of now.
func (s *Shop) Load() Load {
	return Load{Queued: s.queue.len(), Running: len(s.busy)}
}
