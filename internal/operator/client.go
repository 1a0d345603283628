package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	requestTimeout      = time.Second           // for one request
	largeRequestTimeout = 3 * time.Second       // for a request with a large body
	largeBodyBytes      = 64 << 10              // a larger body counts as large
	initialBackoff      = 50 * time.Millisecond // after the first round over all processes; it doubles after each round
	maxBackoff          = time.Second
	maxRedirects        = 2
	maxResponseBytes    = 64 << 20
)

// Client sends orders and queries to the control processes, one after the other until one gives a conclusive answer. An order may be
// sent several times: configuration changes are recognized by their content, and evacuations are idempotent.
type Client struct {
	addresses []string
	http      *http.Client
	onFailure func(message string)
}

// New returns a client for the control processes at addresses ("ip:port"). If onFailure is not nil, it is called with a message after
// each failed request that is retried.
func New(addresses []string, onFailure func(message string)) (*Client, error) {
	var nonEmpty []string
	for _, address := range addresses {
		if address != "" {
			nonEmpty = append(nonEmpty, address)
		}
	}
	if len(nonEmpty) == 0 {
		return nil, ErrNoAddress
	}
	if onFailure == nil {
		onFailure = func(string) {}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	client := &http.Client{Transport: transport, CheckRedirect: limitRedirects}
	return &Client{addresses: nonEmpty, http: client, onFailure: onFailure}, nil
}

func limitRedirects(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errTooManyRedirects
	}
	return nil
}

// Close ends the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Config returns the current configuration, as the operator sent it.
func (c *Client) Config(ctx context.Context) ([]byte, error) {
	return c.sendUntilAnswered(ctx, call{method: http.MethodGet, path: "/config"})
}

// PutConfig replaces the configuration of version match; 0 means that there is none yet.
func (c *Client) PutConfig(ctx context.Context, document []byte, match uint64) error {
	_, err := c.sendUntilAnswered(ctx, call{method: http.MethodPut, path: "/config", body: document, match: &match})
	return err
}

// PatchConfig applies a patch to the configuration of version match.
func (c *Client) PatchConfig(ctx context.Context, patch []byte, match uint64) error {
	_, err := c.sendUntilAnswered(ctx, call{method: http.MethodPatch, path: "/config", body: patch, match: &match})
	return err
}

// Evacuate stops sending requests to the endpoints of a zone.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	_, err := c.sendUntilAnswered(ctx, call{method: http.MethodPost, path: "/drain/" + url.PathEscape(zone)})
	return err
}

// Restore ends the evacuation of a zone.
func (c *Client) Restore(ctx context.Context, zone string) error {
	_, err := c.sendUntilAnswered(ctx, call{method: http.MethodDelete, path: "/drain/" + url.PathEscape(zone)})
	return err
}

// Status returns the status that the process at an address reports. It is not retried.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	text, err := c.send(ctx, address, call{method: http.MethodGet, path: "/status"})
	if err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.Unmarshal(text, &status); err != nil {
		return Status{}, trace.Wrap(err, "%s: invalid status", address)
	}
	return status, nil
}

// Addresses returns the addresses that were passed to New, without empty ones.
func (c *Client) Addresses() []string { return c.addresses }

// call is an API request: an order, or a query (GET).
type call struct {
	method string
	path   string
	body   []byte
	match  *uint64 // If-Match; nil: no such header
}

// sendUntilAnswered sends a call to one process after the other until one gives a conclusive answer or the context ends.
func (c *Client) sendUntilAnswered(ctx context.Context, call call) ([]byte, error) {
	backoff := initialBackoff
	for {
		var lastErr error
		for _, address := range c.addresses {
			text, err := c.send(ctx, address, call)
			if err == nil || isFinal(err) {
				return text, err
			}
			lastErr = err
			if ctx.Err() != nil {
				break
			}
			c.onFailure(err.Error())
		}
		if !sleep(ctx, backoff) {
			return nil, &InconclusiveError{IsOrder: call.method != http.MethodGet, LastErr: lastErr}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isFinal reports whether an error is a refusal that any other process would give as well: a client error other than 408 and 429.
func isFinal(err error) bool {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	}
	return refused.Status < http.StatusInternalServerError
}

// send sends a call to one process and returns the body of a 200 response.
func (c *Client) send(ctx context.Context, address string, call call) ([]byte, error) {
	timeout := requestTimeout
	if len(call.body) > largeBodyBytes {
		timeout = largeRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, baseURL(address)+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.match != nil {
		request.Header.Set("If-Match", strconv.FormatUint(*call.match, 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Address: address, Status: response.StatusCode, Reason: errorReason(text)}
	}
	return text, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// errorReason returns the reason in the body of an error response.
func errorReason(text []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &body) == nil && body.Error != "" {
		return body.Error
	}
	return strings.TrimSpace(string(text))
}

// Generation returns the configuration version of the first control process that is up to date with the chain (Status.Fresh), or 0 if
// there is no configuration yet.
func (c *Client) Generation(ctx context.Context) (uint64, error) {
	backoff := initialBackoff
	for {
		var lastErr error
		for _, address := range c.addresses {
			status, err := c.Status(ctx, address)
			if err == nil && status.Fresh {
				return status.Generation, nil
			}
			if err == nil {
				err = &UnreachableError{Address: address, Cause: errChainUnreachable}
			}
			lastErr = err
			c.onFailure(err.Error())
		}
		if !sleep(ctx, backoff) {
			return 0, &InconclusiveError{LastErr: lastErr}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
