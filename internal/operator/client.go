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
	tryWithin      = time.Second           // for one answer
	largeTryWithin = 3 * time.Second       // where the body is large
	largeBody      = 64 << 10              // from this size on
	firstPause     = 50 * time.Millisecond // before the second round over all processes
	longestPause   = time.Second
	redirectsMost  = 2
	answerMost     = 64 << 20
)

// Client sends orders and questions to the control processes, to one after the other until one gives a clear answer. An order that is
// sent again is the same order: the control processes take it once.
type Client struct {
	addresses []string
	http      *http.Client
	note      func(note string)
}

// New returns a client for the control processes at addresses ("ip:port"). Each try that fails is told to note, if that is given.
func New(addresses []string, note func(note string)) (*Client, error) {
	var given []string
	for _, address := range addresses {
		if address != "" {
			given = append(given, address)
		}
	}
	if len(given) == 0 {
		return nil, ErrNoAddress
	}
	if note == nil {
		note = func(string) {}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	client := &http.Client{Transport: transport, CheckRedirect: followFew}
	return &Client{addresses: given, http: client, note: note}, nil
}

func followFew(_ *http.Request, via []*http.Request) error {
	if len(via) > redirectsMost {
		return errRedirects
	}
	return nil
}

// Close ends the client's connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Config returns the configuration that is in force, as it was sent.
func (c *Client) Config(ctx context.Context) ([]byte, error) {
	return c.persist(ctx, call{method: http.MethodGet, path: "/config"})
}

// PutConfig puts a whole configuration in the place of the version match; 0: the first.
func (c *Client) PutConfig(ctx context.Context, document []byte, match uint64) error {
	_, err := c.persist(ctx, call{method: http.MethodPut, path: "/config", body: document, match: &match})
	return err
}

// PatchConfig changes items of the version match.
func (c *Client) PatchConfig(ctx context.Context, patch []byte, match uint64) error {
	_, err := c.persist(ctx, call{method: http.MethodPatch, path: "/config", body: patch, match: &match})
	return err
}

// Evacuate has nothing more sent to the endpoints of a zone.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	_, err := c.persist(ctx, call{method: http.MethodPost, path: "/drain/" + url.PathEscape(zone)})
	return err
}

// Restore takes an evacuation back.
func (c *Client) Restore(ctx context.Context, zone string) error {
	_, err := c.persist(ctx, call{method: http.MethodDelete, path: "/drain/" + url.PathEscape(zone)})
	return err
}

// Status returns what the process at an address says of itself.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	text, err := c.try(ctx, address, call{method: http.MethodGet, path: "/status"})
	if err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.Unmarshal(text, &status); err != nil {
		return Status{}, trace.Wrap(err, "%s: its status can't be read", address)
	}
	return status, nil
}

// Addresses are those that the client was given.
func (c *Client) Addresses() []string { return c.addresses }

// call is one order or question.
type call struct {
	method string
	path   string
	body   []byte
	match  *uint64
}

// persist makes a call until there is a clear answer or the context ends.
func (c *Client) persist(ctx context.Context, call call) ([]byte, error) {
	pause := firstPause
	for {
		var failure error
		for _, address := range c.addresses {
			text, err := c.try(ctx, address, call)
			if err == nil || final(err) {
				return text, err
			}
			failure = err
			if ctx.Err() != nil {
				break
			}
			c.note(err.Error())
		}
		if !rest(ctx, pause) {
			return nil, &UnclearError{Order: call.method != http.MethodGet, Last: failure}
		}
		pause = min(2*pause, longestPause)
	}
}

// rest returns false if the context ends first.
func rest(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// final tells whether an error is an answer that no other process would change.
func final(err error) bool {
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

// try makes a call at one process.
func (c *Client) try(ctx context.Context, address string, call call) ([]byte, error) {
	within := tryWithin
	if len(call.body) > largeBody {
		within = largeTryWithin
	}
	ctx, cancel := context.WithTimeout(ctx, within)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, answerMost))
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &RefusedError{Address: address, Status: response.StatusCode, Reason: reasonIn(text)}
	}
	return text, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// reasonIn is what an answer gives as its reason.
func reasonIn(text []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &body) == nil && body.Error != "" {
		return body.Error
	}
	return strings.TrimSpace(string(text))
}

// Generation returns the newest version that a control process in touch with the chain knows of; 0: none has been taken yet.
func (c *Client) Generation(ctx context.Context) (uint64, error) {
	pause := firstPause
	for {
		var failure error
		for _, address := range c.addresses {
			status, err := c.Status(ctx, address)
			if err == nil && status.Fresh {
				return status.Generation, nil
			}
			if err == nil {
				err = &UnreachableError{Address: address, Cause: errOutOfTouch}
			}
			failure = err
			c.note(err.Error())
		}
		if !rest(ctx, pause) {
			return 0, &UnclearError{Last: failure}
		}
		pause = min(2*pause, longestPause)
	}
}
