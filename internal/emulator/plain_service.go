package emulator

import "time"

// PlainServiceOptions configure a PlainService.
type PlainServiceOptions struct {
	Slots int // maximum number of running jobs
	Queue int // maximum number of queued jobs
}

// PlainService simulates a service without an inference engine: each job occupies a slot for its ServiceTime.
type PlainService struct {
	options     PlainServiceOptions
	queue       queue
	running     []runningJob // ordered by end time
	lastArrival uint64
}

// runningJob is a job that occupies a slot until its end.
type runningJob struct {
	state *jobState
	end   time.Time
}

// NewPlainService returns an idle service.
func NewPlainService(options PlainServiceOptions) *PlainService {
	return &PlainService{options: options}
}

// Submit accepts a job. It returns false if all slots and the queue are full.
func (s *PlainService) Submit(now time.Time, job Job) bool {
	if len(s.running)+s.queue.len() >= s.options.Slots+s.options.Queue {
		return false
	}
	s.lastArrival++
	s.queue.add(&jobState{job: job, arrivalSeq: s.lastArrival})
	s.admit(now)
	return true
}

// admit starts queued jobs while slots are free.
func (s *PlainService) admit(now time.Time) {
	for len(s.running) < s.options.Slots && s.queue.len() > 0 {
		next := s.queue.peek()
		s.queue.remove(next.job.ID)
		s.insert(runningJob{state: next, end: now.Add(next.job.ServiceTime)})
	}
}

// insert adds a running job, in order of end time.
func (s *PlainService) insert(added runningJob) {
	index := len(s.running)
	for index > 0 && added.end.Before(s.running[index-1].end) {
		index--
	}
	s.running = append(s.running, runningJob{})
	copy(s.running[index+1:], s.running[index:])
	s.running[index] = added
}

// Cancel removes a job whose caller has gone.
func (s *PlainService) Cancel(now time.Time, id JobID) {
	if s.queue.remove(id) != nil {
		return
	}
	for i, running := range s.running {
		if running.state.job.ID == id {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	s.admit(now)
}

// Next returns the earliest end of a running job, or false if none runs.
func (s *PlainService) Next() (time.Time, bool) {
	if len(s.running) == 0 {
		return time.Time{}, false
	}
	return s.running[0].end, true
}

// Advance ends the jobs that finish up to now and starts queued ones in their slots.
func (s *PlainService) Advance(now time.Time) []Event {
	var events []Event
	for len(s.running) > 0 && !s.running[0].end.After(now) {
		finished := s.running[0]
		s.running = s.running[1:]
		events = append(events, Event{Job: finished.state.job.ID, Kind: EventTokens, At: finished.end, Number: 1, Last: true})
		for _, expired := range s.queue.removeExpired(finished.end) {
			events = append(events, Event{Job: expired.job.ID, Kind: EventExpired, At: finished.end, Last: true})
		}
		s.admit(finished.end)
	}
	return events
}

// Load returns the current load. A plain service has no KV memory.
func (s *PlainService) Load() Load {
	return Load{Queued: s.queue.len(), Running: len(s.running)}
}
