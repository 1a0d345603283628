package control

import (
	"sync"

	"wallflow/internal/chain"
	"wallflow/internal/logfile"
)

// writer executes the writes to one file one after the other in a goroutine of its own, without the lock of the process, since a disk
// may hang.
type writer struct {
	store     *logfile.File
	onWritten func(token uint64, err error)

	mu        sync.Mutex
	pending   []chain.Write
	wake      chan struct{}
	closed    chan struct{}
	finished  chan struct{}
	closeOnce sync.Once
}

func newWriter(store *logfile.File, onWritten func(token uint64, err error)) *writer {
	w := &writer{
		store:     store,
		onWritten: onWritten,
		wake:      make(chan struct{}, 1),
		closed:    make(chan struct{}),
		finished:  make(chan struct{}),
	}
	go w.run()
	return w
}

// add queues a write.
func (w *writer) add(write chain.Write) {
	w.mu.Lock()
	w.pending = append(w.pending, write)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// close stops the writer, which closes its file. It does not wait for a write that hangs, since the process is ending.
func (w *writer) close() {
	w.closeOnce.Do(func() { close(w.closed) })
}

func (w *writer) run() {
	defer close(w.finished)
	defer w.store.Close() // each write was synced
	for {
		select {
		case <-w.closed:
			return
		case <-w.wake:
		}
		for _, write := range w.takePending() {
			w.onWritten(write.Token, w.execute(write))
		}
	}
}

func (w *writer) takePending() []chain.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	pending := w.pending
	w.pending = nil
	return pending
}

func (w *writer) execute(write chain.Write) error {
	if write.Rewrite {
		return w.store.Rewrite(write.Records)
	}
	return w.store.Append(write.Records)
}
