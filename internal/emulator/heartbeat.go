package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	heartbeatTimeout = time.Second
	maxResponseBytes = 4 << 10 // of the response to a heartbeat
)

// The states that a heartbeat can report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// heartbeatBody is the JSON body of a heartbeat.
type heartbeatBody struct {
	Backend     string        `json:"backend"`
	Address     string        `json:"address"`
	Zone        string        `json:"zone"`
	Generation  string        `json:"generation"`
	Slots       int           `json:"slots"`
	State       string        `json:"state"`
	WarmupMs    int64         `json:"warmupMs"`
	Phase       string        `json:"phase"`
	Models      []reportModel `json:"models"`
	Seq         uint64        `json:"seq"`
	RemainingMs *int64        `json:"remainingMs,omitempty"`
}

// heartbeatResponse is the JSON body of a control process's response to a heartbeat. HeartbeatURL, if set, is the base URL for further
// heartbeats.
type heartbeatResponse struct {
	HeartbeatURL string `json:"heartbeatUrl"`
}

// heartbeatSender sends heartbeats and the deregistration of an endpoint to the control processes.
type heartbeatSender struct {
	endpoint *Endpoint
	client   *http.Client
	stop     context.CancelFunc
	stopped  chan struct{}

	mu          sync.Mutex // held during a call, so that calls go out one at a time
	seq         uint64
	nextControl int    // index into the control addresses; taken modulo their number
	redirectURL string // base URL from the last heartbeatUrl of a response; empty: none
}

func newHeartbeatSender(endpoint *Endpoint) *heartbeatSender {
	ctx, stop := context.WithCancel(context.Background())
	h := &heartbeatSender{
		endpoint: endpoint,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		stop:     stop,
		stopped:  make(chan struct{}),
	}
	go h.run(ctx)
	return h
}

func (h *heartbeatSender) close() {
	h.stop()
	<-h.stopped
	h.client.CloseIdleConnections()
}

func (h *heartbeatSender) run(ctx context.Context) {
	defer close(h.stopped)
	if len(h.endpoint.options.ControlAddresses) == 0 {
		return
	}
	ticker := time.NewTicker(h.endpoint.options.HeartbeatInterval)
	defer ticker.Stop()
	level := slog.LevelDebug // until the first acknowledgement: the control processes may still be starting
	for {
		err := h.sendHeartbeat(ctx)
		if err == nil {
			level = slog.LevelWarn
		} else if ctx.Err() == nil {
			h.endpoint.options.Log.Log(ctx, level, "heartbeat not acknowledged", "id", h.endpoint.options.ID, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat, to each control process in turn until one acknowledges it.
func (h *heartbeatSender) sendHeartbeat(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	options := &h.endpoint.options
	state := stateReady
	if h.endpoint.draining.Load() {
		state = stateDraining
	}
	body, err := json.Marshal(heartbeatBody{
		Backend:     options.Backend,
		Address:     h.endpoint.Address(),
		Zone:        options.Zone,
		Generation:  options.Generation,
		Slots:       options.slots(),
		State:       state,
		WarmupMs:    h.endpoint.remainingWarmup().Milliseconds(),
		Phase:       phaseDual,
		Models:      h.endpoint.models(),
		Seq:         h.seq,
		RemainingMs: h.endpoint.remainingMs(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return h.sendToAny(ctx, http.MethodPut, body)
}

// sendDeregistration deletes the endpoint's registration, at each control process in turn until one acknowledges it.
func (h *heartbeatSender) sendDeregistration(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sendToAny(ctx, http.MethodDelete, nil)
}

// sendToAny sends a request to the redirect URL, if there is one, and then to the control processes in turn, starting with the last one
// that acknowledged, until one acknowledges it.
func (h *heartbeatSender) sendToAny(ctx context.Context, method string, body []byte) error {
	var lastErr error
	if h.redirectURL != "" {
		if lastErr = h.sendTo(ctx, h.redirectURL, method, body); lastErr == nil {
			return nil
		}
		h.redirectURL = ""
	}
	for range h.endpoint.options.ControlAddresses {
		address := h.endpoint.options.ControlAddresses[h.nextControl%len(h.endpoint.options.ControlAddresses)]
		if lastErr = h.sendTo(ctx, address, method, body); lastErr == nil {
			return nil
		}
		h.nextControl++
	}
	return trace.Wrap(lastErr)
}

// sendTo sends a request to one control process and stores the redirect URL of its response.
func (h *heartbeatSender) sendTo(ctx context.Context, address, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	target := baseURL(address) + "/instances/" + url.PathEscape(h.endpoint.options.ID)
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode/100 != 2 || len(text) > maxResponseBytes {
		return &UnacknowledgedError{Address: address, Status: response.StatusCode, Bytes: len(text)}
	}
	var redirect heartbeatResponse
	if json.Unmarshal(text, &redirect) == nil && redirect.HeartbeatURL != "" {
		h.redirectURL = redirect.HeartbeatURL
	}
	return nil
}

// baseURL returns the base URL of an address, which may or may not have a scheme.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// UnacknowledgedError reports a response that is not an acknowledgement: its status is not 2xx, or its body is too long.
type UnacknowledgedError struct {
	Address string
	Status  int
	Bytes   int // of the response body, as far as it was read
}

// Error returns the message.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("control process %s did not acknowledge: status %d, body of %d bytes", e.Address, e.Status, e.Bytes)
}
