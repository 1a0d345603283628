package transport

// local delivers messages of a process to itself through a queue, so that a sender that holds a lock never meets its own
// handler.
type local struct {
	mesh  *Mesh
	queue *queue
	taken []queued
}

// run hands the messages to the handler in order until the mesh closes.
func (l *local) run() {
	for {
		select {
		case <-l.mesh.context.Done():
			return
		case <-l.queue.wake:
			l.deliver()
		}
	}
}

func (l *local) deliver() {
	l.taken = l.queue.takeAll(l.taken)
	for _, message := range l.taken {
		kind := Kind(message.bytes[frameHeader-1])
		l.mesh.options.Handler(l.mesh.address, kind, message.bytes[frameHeader:])
	}
}
