package transport

import (
	"math/rand/v2"
	"time"
)

// destination is a peer that messages are sent to. It has a bounded queue and a writer goroutine that owns the connection.
type destination struct {
	mesh    *Mesh
	address string
	queue   *queue

	// The fields below are used by the writer goroutine only.
	conn        *connection
	backoff     time.Duration // 0 after a successful connect
	nextDial    time.Time     // earliest time of the next attempt to connect
	batch       []queued      // messages taken from the queue
	writeBuffer []byte        // frames joined into one write
}

// run is the writer goroutine. It ends when the destination has been idle for Options.IdleTimeout or the mesh closes.
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
			if !d.sendQueued(timer) {
				return
			}
		case <-timer.C:
			if d.mesh.retire(d) {
				return
			}
		}
	}
}

// sendQueued sends all queued messages. It returns false if the mesh closes.
func (d *destination) sendQueued(timer *time.Timer) bool {
	for !d.queue.empty() {
		if !d.connected() && !d.connect(timer) {
			return false
		}
		if d.connected() {
			d.writeQueued()
		}
	}
	return true
}

// connected reports whether there is a usable connection. It forgets a broken one.
func (d *destination) connected() bool {
	if d.conn != nil && d.conn.broken.Load() {
		d.conn = nil
	}
	return d.conn != nil
}

// connect waits for the backoff to pass, drops stale messages and makes one attempt to connect. It returns false if the mesh
// closes.
func (d *destination) connect(timer *time.Timer) bool {
	if !d.waitForBackoff(timer) {
		return false
	}
	d.dropStale()
	if d.queue.empty() {
		return true
	}
	opened, err := d.mesh.dial(d.address)
	if err != nil {
		d.mesh.counters.dialFailures.Add(1)
		d.scheduleRetry()
		return d.mesh.context.Err() == nil
	}
	d.mesh.counters.dials.Add(1)
	d.conn = opened
	d.backoff = 0
	d.nextDial = time.Time{}
	d.dropStale()
	return true
}

// waitForBackoff waits until the next attempt is due. It returns false if the mesh closes.
func (d *destination) waitForBackoff(timer *time.Timer) bool {
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

// scheduleRetry doubles the backoff up to its ceiling and schedules the next attempt after a random half to full backoff.
func (d *destination) scheduleRetry() {
	d.backoff = min(max(2*d.backoff, d.mesh.options.BackoffFloor), d.mesh.options.BackoffCeiling)
	jittered := d.backoff/2 + rand.N(d.backoff/2+1)
	d.nextDial = time.Now().Add(jittered)
}

// dropStale drops messages that have been queued for longer than Options.QueueAge.
func (d *destination) dropStale() {
	cutoff := time.Now().Add(-d.mesh.options.QueueAge)
	d.mesh.counters.droppedStale.Add(uint64(d.queue.expire(cutoff)))
}

// writeQueued writes all queued messages and joins small frames into one write.
func (d *destination) writeQueued() {
	d.batch = d.queue.takeAll(d.batch)
	for next := 0; next < len(d.batch); {
		count := d.fillWriteBuffer(d.batch[next:])
		if err := d.conn.write(d.writeBuffer, d.mesh.options.WriteTimeout); err != nil {
			d.dropConnection(len(d.batch) - next)
			return
		}
		d.mesh.counters.framesSent.Add(uint64(count))
		d.mesh.counters.bytesSent.Add(uint64(len(d.writeBuffer)))
		next += count
	}
	if cap(d.writeBuffer) > 2*writeChunk {
		d.writeBuffer = nil
	}
}

// fillWriteBuffer copies frames into the write buffer: at least one, and as many as fit into writeChunk. It returns their
// number.
func (d *destination) fillWriteBuffer(frames []queued) int {
	d.writeBuffer = append(d.writeBuffer[:0], frames[0].bytes...)
	count := 1
	for count < len(frames) && len(d.writeBuffer)+len(frames[count].bytes) <= writeChunk {
		d.writeBuffer = append(d.writeBuffer, frames[count].bytes...)
		count++
	}
	return count
}

// dropConnection aborts the connection and counts the messages lost with it.
func (d *destination) dropConnection(lostMessages int) {
	d.mesh.counters.droppedBroken.Add(uint64(lostMessages))
	d.conn.abort()
	d.conn = nil
	d.scheduleRetry()
}

// close closes the connection, if there is one.
func (d *destination) close() {
	if d.conn != nil {
		d.conn.finish()
	}
}
