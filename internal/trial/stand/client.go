package stand

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
)

const reconnectDelay = 50 * time.Millisecond // until a client tries again to reach a relay that is down

// Arrival is one message that a client wants delivered.
type Arrival struct {
	At       time.Duration // since the start of the load
	Relay    int
	Class    *load.Class
	Customer string
	Dest     int
	Body     int // bytes
	Number   int // sequence number within the trial
}

// Client is a fake of the client process that submits messages to one relay.
type Client struct {
	relay      string
	load       *load.Load
	recorder   *history.Recorder
	addr       func() string // the relay's present address; empty if it is down
	mayHaveRun func(id string) bool
	http       *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	submitted map[string]*pending // unfinished messages by the id of their last submission
	wg        sync.WaitGroup

	closed bool
}

// pending is a message that may be submitted again.
type pending struct {
	arrival     Arrival
	firstID     string
	expires     time.Time
	submissions int // so far
	retries     int // after refusals
	key         string
}

// NewClient returns a client. mayHaveRun reports whether the message with an id may have been processed by an endpoint.
func NewClient(relay string, l *load.Load, recorder *history.Recorder, seed uint64, addr func() string,
	mayHaveRun func(id string) bool) *Client {
	return &Client{
		relay: relay, load: l, recorder: recorder, addr: addr, mayHaveRun: mayHaveRun, rng: rand.New(rand.NewPCG(seed, 0x636c69)),
		submitted: map[string]*pending{},
		http: &http.Client{Transport: &http.Transport{
			DialContext:         closingUnused((&net.Dialer{Timeout: l.Clients.AnswerIn.Duration}).DialContext),
			MaxIdleConnsPerHost: 64, DisableCompression: true,
		}},
	}
}

// Submit submits a message in the background and repeats that as a client does, until the message needs no more
// submissions or ctx ends.
func (c *Client) Submit(ctx context.Context, a Arrival) {
	p := &pending{arrival: a, firstID: fmt.Sprintf("%08x%04x", a.Number, 0), expires: time.Now().Add(a.Class.GiveUp.Duration),
		key: fmt.Sprintf("k%08x", a.Number)}
	c.recorder.Add(history.Event{Kind: history.Want, Relay: c.relay, FirstID: p.firstID, Class: a.Class.Name, Customer: a.Customer,
		Dest:    a.Dest,
		Expires: a.Class.GiveUp.Microseconds()})
	c.startTracked(func() { c.submitUntilAccepted(ctx, p, "") })
}

// startTracked runs work in a goroutine that Wait waits for. After Wait was called, it starts nothing.
func (c *Client) startTracked(work func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.wg.Go(work)
	}
}

// Wait waits for submissions in progress and prevents further ones.
func (c *Client) Wait() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
	c.http.CloseIdleConnections()
}

// HandleNotice tells the client that a message has ended by a notice. A deferred message is submitted again later.
func (c *Client) HandleNotice(ctx context.Context, id, end string, retryAfter time.Duration) {
	c.mu.Lock()
	p := c.submitted[id]
	delete(c.submitted, id)
	c.mu.Unlock()
	if p == nil || end != "deferred" || ctx.Err() != nil {
		return
	}
	c.startTracked(func() {
		if c.waitForRetry(ctx, p, retryAfter) {
			c.submitUntilAccepted(ctx, p, "1")
		}
	})
}

// waitForRetry waits before the next submission after a refusal, and returns false if the client gives up.
func (c *Client) waitForRetry(ctx context.Context, p *pending, advised time.Duration) bool {
	c.mu.Lock()
	if p.retries >= c.load.Clients.Retries {
		c.mu.Unlock()
		return false
	}
	wait := drawSpan(c.rng, c.load.Clients.Wait) << p.retries
	if advised > 0 && c.rng.Float64() < c.load.Clients.Heed.Of1 {
		wait = advised
	}
	p.retries++
	c.mu.Unlock()
	return c.sleep(ctx, p, wait)
}

// sleep waits for d, and returns false if the message expires first.
func (c *Client) sleep(ctx context.Context, p *pending, d time.Duration) bool {
	if time.Until(p.expires) <= d {
		return false
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// submitUntilAccepted submits a message until a relay has accepted it or the client gives up. try is the value of the
// X-Second-Try header of the first submission.
func (c *Client) submitUntilAccepted(ctx context.Context, p *pending, try string) {
	for ctx.Err() == nil {
		id, status, retryAfter, reason := c.submitOnce(ctx, p, try)
		switch {
		case reason == "away":
			if !c.sleep(ctx, p, reconnectDelay) {
				return
			}
		case status == http.StatusOK || status == http.StatusAccepted:
			return
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			if !c.waitForRetry(ctx, p, retryAfter) {
				return
			}
			try = "1"
		case status != 0 || reason == "left":
			return
		default: // no answer
			if p.arrival.Class.Effect == "unsafe" && c.mayHaveRun(id) {
				return
			}
			c.mu.Lock()
			wait := drawSpan(c.rng, c.load.Clients.Again)
			c.mu.Unlock()
			if !c.sleep(ctx, p, wait) {
				return
			}
			try = "again"
		}
	}
}

// submitOnce submits a message once. try is the value of the X-Second-Try header. reason explains why there is no status:
// the relay is down (away), the client has disconnected (left) or its timeout has passed (timeout), or the relay has closed
// the connection (closed).
func (c *Client) submitOnce(ctx context.Context, p *pending, try string) (id string, status int, retryAfter time.Duration, reason string) {
	addr := c.addr()
	if addr == "" {
		return "", 0, 0, "away"
	}
	c.mu.Lock()
	leavesEarly := c.rng.Float64() < c.load.Clients.Leave.Of1
	leaveAfter := time.Duration(c.rng.Float64() * float64(5*time.Millisecond))
	c.mu.Unlock()
	id = fmt.Sprintf("%08x%04x", p.arrival.Number, p.submissions)
	p.submissions++
	remaining := time.Until(p.expires)
	if remaining <= 0 {
		return id, 0, 0, "left"
	}
	answerTimeout := c.load.Clients.AnswerIn.Duration
	if leavesEarly {
		answerTimeout = leaveAfter
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var once sync.Once
	sent := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err != nil {
			return
		}
		once.Do(func() {
			sent = true
			c.mu.Lock()
			c.submitted[id] = p
			c.mu.Unlock()
			c.recorder.Add(history.Event{Kind: history.Submit, Relay: c.relay, ID: id, FirstID: p.firstID, Try: try, Class: p.arrival.Class.Name,
				Customer: p.arrival.Customer,
				Dest:     p.arrival.Dest, Expires: remaining.Microseconds()})
			time.AfterFunc(answerTimeout, func() { cancel(errAnswerTimeout) })
		})
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+p.arrival.Class.Name,
		bytes.NewReader(make([]byte, p.arrival.Body)))
	if err != nil {
		return id, 0, 0, "away"
	}
	h := req.Header
	h.Set("X-Trace-Id", id)
	h.Set("X-Qos", p.arrival.Class.Name)
	h.Set("X-Customer", p.arrival.Customer)
	h.Set("X-Expires-In-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	h.Set("Envelope", "dest="+strconv.Itoa(p.arrival.Dest))
	if p.arrival.Class.Effect == "keyed" {
		// net/http repeats requests with the canonical header Idempotency-Key by itself; this spelling avoids that.
		h["idempotency-key"] = []string{p.key}
	}
	if try != "" {
		h.Set("X-Second-Try", try)
	}
	res, err := c.http.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	// The trace hook runs in a goroutine of net/http. After this call it cannot run any more, so that reading sent is
	// safe.
	once.Do(func() {})
	answer := history.Event{Kind: history.Answer, Relay: c.relay, ID: id}
	switch {
	case err != nil && !sent:
		return id, 0, 0, "away"
	case err != nil:
		answer.Note = "closed"
		if errors.Is(context.Cause(ctx), errAnswerTimeout) {
			answer.Note = "timeout"
			if leavesEarly {
				answer.Note = "left"
			}
		} else if ctx.Err() != nil {
			answer.Note = "left" // the trial ends
		}
		c.forget(id)
	default:
		answer.Status = res.StatusCode
		answer.Policy, _ = strconv.ParseInt(res.Header.Get("X-Policy"), 10, 64) // 0 if there is none
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			retryAfter = time.Duration(s * float64(time.Second))
			answer.RetryAfter = retryAfter.Microseconds()
		}
		if res.StatusCode != http.StatusAccepted && res.StatusCode != http.StatusOK {
			c.forget(id)
		}
	}
	c.recorder.Add(answer)
	return id, answer.Status, retryAfter, answer.Note
}

var errAnswerTimeout = errors.New("no answer within the client's timeout")

func (c *Client) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.submitted, id)
}
