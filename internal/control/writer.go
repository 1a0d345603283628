package control

import (
	"sync"

	"wallflow/internal/chain"
	"wallflow/internal/logfile"
)

// writer carries out the writes of the chain one after the other, off the lock of the process, since a disk may hang.
type writer struct {
	store *logfile.File
	done  func(token uint64, err error)

	mu      sync.Mutex
	waiting []chain.Write
	wake    chan struct{}
	closed  chan struct{}
	ended   chan struct{}
	once    sync.Once
}

func newWriter(store *logfile.File, done func(token uint64, err error)) *writer {
	w := &writer{
		store:  store,
		done:   done,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go w.run()
	return w
}

// add queues a write.
func (w *writer) add(write chain.Write) {
	w.mu.Lock()
	w.waiting = append(w.waiting, write)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// close ends the writer. A write that hangs is left behind: the process is ending.
func (w *writer) close() {
	w.once.Do(func() { close(w.closed) })
}

func (w *writer) run() {
	defer close(w.ended)
	for {
		select {
		case <-w.closed:
			return
		case <-w.wake:
		}
		for _, write := range w.take() {
			w.done(write.Token, w.carryOut(write))
		}
	}
}

func (w *writer) take() []chain.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.waiting
	w.waiting = nil
	return waiting
}

func (w *writer) carryOut(write chain.Write) error {
	if write.Rewrite {
		return w.store.Rewrite(write.Records)
	}
	return w.store.Append(write.Records)
}
