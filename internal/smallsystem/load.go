package smallsystem

import (
	"context"
	"sync"
	"time"
)

// LoadOptions say what the clients do.
type LoadOptions struct {
	For    time.Duration             // they begin requests for so long; 0: until the context ends
	Rate   int                       // requests a second, over all of them
	Second func(at int, did Figures) // called after each second, and once after the last request
}

// Load has a client in each zone send requests, and returns what became of them. All requests that were begun are waited for.
func (s *System) Load(ctx context.Context, options LoadOptions) Figures {
	begin := ctx
	if options.For > 0 {
		limited, cancel := context.WithTimeout(ctx, options.For)
		defer cancel()
		begin = limited
	}
	run := &loadRun{options: options, total: newRecorder(), second: newRecorder()}
	for _, place := range places {
		run.clients = append(run.clients, s.newClient(place))
	}
	run.play(begin)
	for _, client := range run.clients {
		client.http.CloseIdleConnections()
	}
	return run.total.figures()
}

// loadRun is one run of the clients.
type loadRun struct {
	options LoadOptions
	clients []*client
	total   *recorder
	pending sync.WaitGroup

	mu     sync.Mutex
	second *recorder
	at     int
}

// play begins requests until the context ends, and waits for them.
func (r *loadRun) play(ctx context.Context) {
	begun := time.NewTicker(time.Second / time.Duration(r.options.Rate))
	defer begun.Stop()
	seconds := time.NewTicker(time.Second)
	defer seconds.Stop()
	for number := 0; ; {
		select {
		case <-ctx.Done():
			r.pending.Wait()
			r.tell()
			return
		case <-seconds.C:
			r.tell()
		case <-begun.C:
			client := r.clients[number%len(r.clients)]
			number++
			// What was begun is seen through when the time is up.
			r.pending.Go(func() { r.note(client.serve(context.WithoutCancel(ctx), client.next())) })
		}
	}
}

func (r *loadRun) note(end result) {
	r.total.add(end)
	r.mu.Lock()
	second := r.second
	r.mu.Unlock()
	second.add(end)
}

// tell ends a second.
func (r *loadRun) tell() {
	r.mu.Lock()
	ended := r.second
	r.second = newRecorder()
	r.at++
	at := r.at
	r.mu.Unlock()
	if r.options.Second != nil {
		r.options.Second(at, ended.figures())
	}
}
