package emulator

import (
	"sync"
	"time"
)

// driver runs a model in real time and delivers each job's events to the channel that submit returned.
type driver struct {
	mu      sync.Mutex
	model   Model
	history loadHistory
	jobs    map[JobID]chan Event
	lastJob JobID

	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}
}

func newDriver(model Model, lag time.Duration) *driver {
	d := &driver{
		model:   model,
		history: loadHistory{lag: lag},
		jobs:    make(map[JobID]chan Event),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go d.run()
	return d
}

// submit passes a job to the model; ok is false if the model rejects it. eventCapacity is the maximum number of events of the job, so
// that sending an event never blocks.
func (d *driver) submit(job Job, eventCapacity int) (id JobID, events <-chan Event, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	d.lastJob++
	job.ID = d.lastJob
	if !d.model.Submit(now, job) {
		return 0, nil, false
	}
	channel := make(chan Event, eventCapacity)
	d.jobs[job.ID] = channel
	d.history.add(now, d.model.Load())
	d.notify()
	return job.ID, channel, true
}

// cancel removes a job whose caller has gone.
func (d *driver) cancel(id JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	if d.jobs[id] == nil {
		return
	}
	delete(d.jobs, id)
	d.model.Cancel(now, id)
	d.history.add(now, d.model.Load())
	d.notify()
}

// delayedLoad returns the load as it was one report lag ago. KVTotal is current.
func (d *driver) delayedLoad() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	load := d.history.at(now)
	load.KVTotal = d.model.Load().KVTotal
	return load
}

// advance runs the model up to now and delivers its events. The caller holds the lock.
func (d *driver) advance(now time.Time) {
	events := d.model.Advance(now)
	for _, event := range events {
		channel := d.jobs[event.Job]
		if channel == nil {
			continue
		}
		channel <- event
		if event.Last {
			delete(d.jobs, event.Job)
		}
	}
	if len(events) > 0 {
		d.history.add(now, d.model.Load())
	}
}

// notify makes the run loop recompute when the model has its next event.
func (d *driver) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *driver) run() {
	defer close(d.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.advanceToNow())
		select {
		case <-d.stop:
			return
		case <-d.wake:
		case <-timer.C:
		}
	}
}

// advanceToNow advances the model and returns the time until its next event.
func (d *driver) advanceToNow() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	next, ok := d.model.Next()
	if !ok {
		return time.Hour
	}
	return max(0, next.Sub(now))
}

func (d *driver) close() {
	close(d.stop)
	<-d.stopped
}
