package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an endpoint, as PROTOCOL.md describes a sound one.
type endpoint struct {
	id, service, zone, address string
	controls                   []string // where it sends its heartbeats
	record                     *record
	work                       time.Duration
	answer                     func(w http.ResponseWriter, r *http.Request, body []byte) // nil: the default answer

	server   *http.Server
	stop     context.CancelFunc
	draining atomic.Bool
	seq      int

	mu       sync.Mutex
	arrivals []arrival
	next     int // index of the control process called next
}

// arrival is a request that reached the endpoint and was run.
type arrival struct {
	id string
	at time.Time
}

// open starts to serve and to send heartbeats.
func (e *endpoint) open() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	go e.beat(ctx)
	e.record.add("endpoint %s of %s in %s serves", e.id, e.service, e.zone)
	return nil
}

func (e *endpoint) close() {
	e.stop()
	e.server.Close()
}

// serve runs one request.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", e.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id: id, at: time.Now()})
	number := len(e.arrivals)
	e.mu.Unlock()
	e.record.add("request %s runs at %s", id, e.id)
	w.Header().Set("X-Server-Stamp", fmt.Sprintf("%s.%d", e.id, number))
	time.Sleep(e.work)
	if e.answer != nil {
		e.answer(w, r, body)
		return
	}
	w.Write([]byte("done by " + e.id))
}

// arrivedAfter returns the requests that were run after a time.
func (e *endpoint) arrivedAfter(after time.Time) []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	var late []arrival
	for _, a := range e.arrivals {
		if a.at.After(after) {
			late = append(late, a)
		}
	}
	return late
}

// beat sends a heartbeat every heartbeatMs.
func (e *endpoint) beat(ctx context.Context) {
	for ctx.Err() == nil {
		e.register(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// register sends one heartbeat, to the control processes in turn until one acknowledges it. It returns when that was.
func (e *endpoint) register(ctx context.Context) (acknowledged time.Time, ok bool) {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"backend": e.service, "address": e.address, "zone": e.zone, "generation": "v1", "slots": 64, "state": state, "warmupMs": 0, "seq": e.seq,
	})
	e.mu.Unlock()
	return e.tell(ctx, "PUT", body, state)
}

// deregister tells that the endpoint ends.
func (e *endpoint) deregister(ctx context.Context) (acknowledged time.Time, ok bool) {
	return e.tell(ctx, "DELETE", nil, "end")
}

func (e *endpoint) tell(ctx context.Context, method string, body []byte, what string) (acknowledged time.Time, ok bool) {
	for range e.controls {
		e.mu.Lock()
		address := e.controls[e.next%len(e.controls)]
		e.mu.Unlock()
		status := send(ctx, method, "http://"+address+"/instances/"+e.id, body)
		if what != "ready" || status != 200 {
			e.record.add("endpoint %s: %s at %s: %d", e.id, what, address, status)
		}
		if status/100 == 2 {
			return time.Now(), true
		}
		e.mu.Lock()
		e.next++
		e.mu.Unlock()
		if ctx.Err() != nil {
			break
		}
	}
	return time.Time{}, false
}

// send makes one call with a second of time; 0: no answer.
func send(ctx context.Context, method, url string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	return response.StatusCode
}
