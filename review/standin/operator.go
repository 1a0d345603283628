package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends orders to the control processes, as the pages say: to another one after a failure, a 5xx, a 408 or 429, or a second of
// silence, and unchanged.
type operator struct {
	system *system
	next   int
	client *http.Client
}

func newOperator(s *system) *operator {
	return &operator{system: s, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// order sends an order until it gets a clear answer, for at most within.
func (o *operator) order(method, path, match string, body []byte, within time.Duration) (int, error) {
	until := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for time.Now().Before(until) {
		status, err := o.once(method, path, match, body)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, nil
		}
		o.next++
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, fmt.Errorf("%s %s got no clear answer within %v", method, path, within)
}

func (o *operator) once(method, path, match string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	m := o.system.controls[o.next%len(o.system.controls)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

// awaitReady returns once every relay counts as ready.
func (s *system) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(within)
	for _, m := range s.relays {
		for {
			response, err := client.Get("http://" + m.at(portReady) + "/readyz")
			if err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
