package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	sent   time.Time
	status int // 0: no complete answer
	err    error
	body   string
	stamp  string
}

// client sends requests to the relay of a zone.
type client struct {
	system *system
	http   http.Client
	prefix string // of its request ids
	mu     sync.Mutex
	number int
}

// newClient returns a client whose requests each use a connection of their own or, with keep, kept connections.
func newClient(s *system, prefix string, keep bool) *client {
	return &client{system: s, prefix: prefix, http: http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 100,
	}}}
}

// send sends one request and waits for its answer until the deadline.
func (c *client) send(zone int, method, path string, body []byte, deadline time.Duration, header map[string]string) result {
	c.mu.Lock()
	c.number++
	id := fmt.Sprintf("%s%06d", c.prefix, c.number)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	outcome := result{id: id, sent: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.system.front(zone)+path, bytes.NewReader(body))
	if err != nil {
		outcome.err = err
		return outcome
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	c.system.record.add("client: %s %s as %s to relay-%d", method, path, id, zone+1)
	response, err := c.http.Do(request)
	if err != nil {
		outcome.err = err
		c.system.record.add("client: %s got no answer: %v", id, err)
		return outcome
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	outcome.body, outcome.stamp, outcome.err = string(text), response.Header.Get("X-Server-Stamp"), err
	if err != nil {
		c.system.record.add("client: %s got a part of an answer (%d, %d bytes, stamp %s): %v", id, response.StatusCode, len(text), outcome.stamp, err)
		return outcome
	}
	outcome.status = response.StatusCode
	c.system.record.add("client: %s got %d, %d bytes, stamp %s", id, response.StatusCode, len(text), outcome.stamp)
	return outcome
}

// every calls send at an interval until the returned function is called, which waits for the calls under way.
func every(interval time.Duration, send func()) (stop func()) {
	done := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				calls.Go(send)
			}
		}
	})
	return func() { close(done); calls.Wait() }
}
