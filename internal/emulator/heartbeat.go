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
	acknowledgedWithin = time.Second
	acknowledgedMost   = 4 << 10 // bytes of an acknowledgement
)

// The states that an endpoint tells of itself.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// beatBody is the body of a heartbeat.
type beatBody struct {
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

// beatAnswer is what a control process may say to a heartbeat.
type beatAnswer struct {
	HeartbeatURL string `json:"heartbeatUrl"`
}

// heartbeats tell the control processes of an endpoint.
type heartbeats struct {
	endpoint *Endpoint
	client   *http.Client
	stop     context.CancelFunc
	ended    chan struct{}

	mu   sync.Mutex // one call at a time
	seq  uint64
	next int    // of the control addresses
	told string // the address that an answer named; empty: none
}

func newHeartbeats(endpoint *Endpoint) *heartbeats {
	ctx, stop := context.WithCancel(context.Background())
	h := &heartbeats{
		endpoint: endpoint,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		stop:     stop,
		ended:    make(chan struct{}),
	}
	go h.run(ctx)
	return h
}

func (h *heartbeats) close() {
	h.stop()
	<-h.ended
	h.client.CloseIdleConnections()
}

func (h *heartbeats) run(ctx context.Context) {
	defer close(h.ended)
	if len(h.endpoint.options.Control) == 0 {
		return
	}
	ticker := time.NewTicker(h.endpoint.options.Heartbeat)
	defer ticker.Stop()
	level := slog.LevelDebug // nothing is amiss while the control processes start
	for {
		err := h.beat(ctx)
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

// beat tells of the endpoint once, to one control process after the other until one acknowledges it.
func (h *heartbeats) beat(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	options := &h.endpoint.options
	state := stateReady
	if h.endpoint.draining.Load() {
		state = stateDraining
	}
	body, err := json.Marshal(beatBody{
		Backend:     options.Backend,
		Address:     h.endpoint.Address(),
		Zone:        options.Zone,
		Generation:  options.Generation,
		Slots:       options.slots(),
		State:       state,
		WarmupMs:    h.endpoint.warmupLeft().Milliseconds(),
		Phase:       phaseDual,
		Models:      h.endpoint.models(),
		Seq:         h.seq,
		RemainingMs: h.endpoint.remainingMs(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return h.callAny(ctx, http.MethodPut, body)
}

// leave tells that the endpoint has ended.
func (h *heartbeats) leave(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.callAny(ctx, http.MethodDelete, nil)
}

// callAny calls the address that an answer named, then the control processes in turn, beginning with the last one that answered.
func (h *heartbeats) callAny(ctx context.Context, method string, body []byte) error {
	var failure error
	if h.told != "" {
		if failure = h.call(ctx, h.told, method, body); failure == nil {
			return nil
		}
		h.told = ""
	}
	for range h.endpoint.options.Control {
		address := h.endpoint.options.Control[h.next%len(h.endpoint.options.Control)]
		if failure = h.call(ctx, address, method, body); failure == nil {
			return nil
		}
		h.next++
	}
	return trace.Wrap(failure)
}

func (h *heartbeats) call(ctx context.Context, address, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, acknowledgedWithin)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, acknowledgedMost+1))
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode/100 != 2 || len(text) > acknowledgedMost {
		return &UnacknowledgedError{Address: address, Status: response.StatusCode, Bytes: len(text)}
	}
	var answer beatAnswer
	if json.Unmarshal(text, &answer) == nil && answer.HeartbeatURL != "" {
		h.told = answer.HeartbeatURL
	}
	return nil
}

// baseURL turns an address, with or without a scheme, into the start of a URL.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// UnacknowledgedError says that a control process answered, and not with an acknowledgement.
type UnacknowledgedError struct {
	Address string
	Status  int
	Bytes   int
}

// Error puts it on one line.
func (e *UnacknowledgedError) Error() string {
	return fmt.Sprintf("control process %s answered %d with %d bytes", e.Address, e.Status, e.Bytes)
}
