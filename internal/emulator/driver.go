package emulator

import (
	"sync"
	"time"
)

// driver plays a model in real time and hands each job's events to whoever waits for them.
type driver struct {
	mu      sync.Mutex
	model   Model
	history loadHistory
	jobs    map[JobID]chan Event
	lastJob JobID

	wake   chan struct{}
	closed chan struct{}
	ended  chan struct{}
}

func newDriver(model Model, lag time.Duration) *driver {
	d := &driver{
		model:   model,
		history: loadHistory{lag: lag},
		jobs:    make(map[JobID]chan Event),
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		ended:   make(chan struct{}),
	}
	go d.run()
	return d
}

// submit gives a job to the model; ok is false where there is no place for it. No event of the job finds its channel full.
func (d *driver) submit(job Job, most int) (id JobID, events <-chan Event, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	d.lastJob++
	job.ID = d.lastJob
	if !d.model.Submit(now, job) {
		return 0, nil, false
	}
	channel := make(chan Event, most)
	d.jobs[job.ID] = channel
	d.history.add(now, d.model.Load())
	d.stir()
	return job.ID, channel, true
}

// cancel ends a job that nobody waits for any more.
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
	d.stir()
}

// report returns the load as it was a while ago.
func (d *driver) report() Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	load := d.history.at(now)
	load.KVTotal = d.model.Load().KVTotal
	return load
}

// advance plays the model up to now. The caller holds the lock.
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

// stir has the loop look again when the model has something to do next.
func (d *driver) stir() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *driver) run() {
	defer close(d.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.play())
		select {
		case <-d.closed:
			return
		case <-d.wake:
		case <-timer.C:
		}
	}
}

// play advances the model and returns how long nothing will happen.
func (d *driver) play() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.advance(now)
	next, any := d.model.Next()
	if !any {
		return time.Hour
	}
	return max(0, next.Sub(now))
}

func (d *driver) close() {
	close(d.closed)
	<-d.ended
}
