package transport

import (
	"math/rand/v2"
	"time"
)

// destination is one peer that messages go to: a bounded queue, and a writer that owns the connection.
type destination struct {
	mesh    *Mesh
	address string
	queue   *queue

	// Owned by the writer.
	open     *connection
	backoff  time.Duration
	nextDial time.Time
	taken    []queued
	joined   []byte
}

// run is the writer: it lives until the destination has rested for the idle time, or the mesh closes.
func (d *destination) run() {
	defer d.close()
	timer := time.NewTimer(d.mesh.options.IdleTimeout)
	defer timer.Stop()
	for {
		timer.Reset(d.mesh.options.IdleTimeout)
		select {
		case <-d.mesh.context.Done():
			return
		case <-d.queue.wake:
			if !d.deliver(timer) {
				return
			}
		case <-timer.C:
			if d.mesh.retire(d) {
				return
			}
		}
	}
}

// deliver sends what waits. It returns false when the mesh closes.
func (d *destination) deliver(timer *time.Timer) bool {
	for !d.queue.empty() {
		if !d.connected() && !d.connect(timer) {
			return false
		}
		if d.connected() {
			d.writeWaiting()
		}
	}
	return true
}

// connected reports whether the connection is usable, and lets go of one that broke.
func (d *destination) connected() bool {
	if d.open != nil && d.open.broken.Load() {
		d.open = nil
	}
	return d.open != nil
}

// connect makes one attempt when its time has come, and drops what is stale. It returns false when the mesh closes.
func (d *destination) connect(timer *time.Timer) bool {
	if !d.pause(timer) {
		return false
	}
	d.dropStale()
	if d.queue.empty() {
		return true
	}
	opened, err := d.mesh.dial(d.address)
	if err != nil {
		d.mesh.meters.dialFailures.Add(1)
		d.backOff()
		return d.mesh.context.Err() == nil
	}
	d.mesh.meters.dials.Add(1)
	d.open = opened
	d.backoff = 0
	d.nextDial = time.Time{}
	d.dropStale()
	return true
}

// pause waits for the next attempt. It returns false when the mesh closes.
func (d *destination) pause(timer *time.Timer) bool {
	wait := time.Until(d.nextDial)
	if wait <= 0 {
		return true
	}
	timer.Reset(wait)
	select {
	case <-d.mesh.context.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backOff doubles the pause up to its ceiling, and takes between half and all of it.
func (d *destination) backOff() {
	d.backoff = min(max(2*d.backoff, d.mesh.options.BackoffFloor), d.mesh.options.BackoffCeiling)
	jittered := d.backoff/2 + rand.N(d.backoff/2+1)
	d.nextDial = time.Now().Add(jittered)
}

func (d *destination) dropStale() {
	limit := time.Now().Add(-d.mesh.options.QueueAge)
	d.mesh.meters.droppedStale.Add(uint64(d.queue.expire(limit)))
}

// writeWaiting writes everything that waits, small frames joined into one write.
func (d *destination) writeWaiting() {
	d.taken = d.queue.takeAll(d.taken)
	for next := 0; next < len(d.taken); {
		count := d.join(d.taken[next:])
		if err := d.open.write(d.joined, d.mesh.options.WriteTimeout); err != nil {
			d.breakOff(len(d.taken) - next)
			return
		}
		d.mesh.meters.framesSent.Add(uint64(count))
		d.mesh.meters.bytesSent.Add(uint64(len(d.joined)))
		next += count
	}
	if cap(d.joined) > 2*writeChunk {
		d.joined = nil
	}
}

// join puts as many of the frames into one buffer as fit into a chunk, and at least one. It returns how many.
func (d *destination) join(frames []queued) int {
	d.joined = append(d.joined[:0], frames[0].bytes...)
	count := 1
	for count < len(frames) && len(d.joined)+len(frames[count].bytes) <= writeChunk {
		d.joined = append(d.joined, frames[count].bytes...)
		count++
	}
	return count
}

// breakOff gives the connection up, with the messages that were under way.
func (d *destination) breakOff(lost int) {
	d.mesh.meters.droppedBroken.Add(uint64(lost))
	d.open.abort()
	d.open = nil
	d.backOff()
}

// close ends the writer's connection.
func (d *destination) close() {
	if d.open != nil {
		d.open.finish()
	}
}
