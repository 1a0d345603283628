package transport

// loopback delivers messages that a process sends to itself. They pass through a queue, because the sender may hold a lock that
// the handler needs.
type loopback struct {
	mesh  *Mesh
	queue *queue
	batch []queued
}

// run delivers the messages in order until the mesh closes.
func (l *loopback) run() {
	for {
		select {
		case <-l.mesh.context.Done():
			return
		case <-l.queue.wake:
			l.deliver()
		}
	}
}

// deliver passes all queued messages to the handler.
func (l *loopback) deliver() {
	l.batch = l.queue.takeAll(l.batch)
	for _, message := range l.batch {
		kind := Kind(message.bytes[frameHeaderSize-1])
		l.mesh.options.Handler(l.mesh.address, kind, message.bytes[frameHeaderSize:])
	}
}
