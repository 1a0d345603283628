package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wallflow/policy"
)

// idleFraction is the fraction of the hosts' keep-alive limit after which the relay closes an idle connection itself. A
// request that crosses the host's own close would end as a reset, and could not be told from one that has run.
const idleFraction = 0.8

// maxAnswerBytes is how much of an answer's body is read.
const maxAnswerBytes = 1 << 20

// maxReportValue is above any valid value in a load report. badValueLogInterval is the least time between two log lines
// about invalid input from hosts, or from discovery.
const (
	maxReportValue      = 1e6
	badValueLogInterval = 10 * time.Second
)

// bodyTimeout is how long the body of an answer may take after its header if the body carries no information.
const bodyTimeout = 100 * time.Millisecond

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// hostPool makes the outbound calls and pools their connections. It has a pool of its own, on http.ClientConn, for two
// reasons: http.Transport repeats some requests by itself, which is wrong for a message that must not run twice, and it
// offers no way to check again between dialing and writing whether a request may still be sent.
type hostPool struct {
	transport      *http.Transport
	connectTimeout time.Duration
	idleTimeout    time.Duration
	reportFields   []string
	log            *slog.Logger // nil: nothing is logged

	mu               sync.Mutex
	maxConns         int                            // limit on open connections
	idle             map[string][]*idleConn         // by address, the most recently used last
	open             int                            // connections, idle or not
	hostConns        map[*http.ClientConn]*hostConn // of open connections
	closed           bool
	badValueLoggedAt time.Time // when an invalid value in an answer was last logged
	badValues        int       // invalid values since then
}

type idleConn struct {
	*http.ClientConn
	since time.Time
	timer *time.Timer
}

// call is one HTTP request to a host. It carries one message, or several as a bundle.
type call struct {
	id       int // unique in this process
	route    string
	addr     string
	zone     int
	sentAt   time.Time
	deadline time.Time // of the whole call, its answer included
	writeBy  time.Time // latest time to write the first byte: a message's deduplication window ends then; zero: no limit
	attempts []*attempt
	size     int // upper bound for the size of a bundle's body in bytes
}

// attempt is one message's part in a call.
type attempt struct {
	*call
	msg      *message
	number   int
	deadline time.Time
	timer    *time.Timer // times the attempt out before its call ends; nil if they have the same deadline
	finished bool        // its outcome has been reported

	// recorded says that the attempt is in the write-ahead log. Nothing of it may be sent before. The loop sets it before it
	// starts the call or while the call's goroutine waits for clearance, so that the goroutine reads it without a lock.
	recorded bool
}

// result is how an attempt ended.
type result struct {
	outcome      policy.Outcome
	messageEnded bool // the host says that the message needs no further attempt and no notice
	retryAfter   time.Duration
	report       policy.Report
}

func newHostPool(cfg Config) *hostPool {
	return &hostPool{
		// No proxy and no compression. A ClientConn does not follow redirects.
		transport: &http.Transport{
			DialContext:            dialHost,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 16 << 10,
		},
		connectTimeout: cfg.ConnectTimeout,
		idleTimeout:    time.Duration(idleFraction * float64(cfg.KeepAlive)),
		reportFields:   cfg.ReportFields,
		maxConns:       connLimitsFor(cfg.Limits.Sockets).hosts,
		idle:           map[string][]*idleConn{},
		hostConns:      map[*http.ClientConn]*hostConn{},
	}
}

// makeCall makes a call and returns the result of each of its attempts, in order. If it had to wait for a new connection,
// it calls requestClearance before writing the request, to learn which attempts may still be sent. A pooled connection
// that the host has closed by then, or on which it has sent unexpected data, is not used: the call is made on another one.
func (h *hostPool) makeCall(ctx context.Context, c *call, requestClearance func(*call) []*attempt) []result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	for retrying := false; ; retrying = true {
		conn, fresh, err := h.acquire(ctx, c.addr)
		if err != nil {
			return sameResult(c, result{outcome: policy.ConnectFailed})
		}
		cleared := c
		if fresh || retrying || !c.recorded() {
			// Meanwhile the host may have been drained or have asked for a pause, or the time in which a message may be
			// repeated may have ended: if a host has dropped the first SYN, connecting takes over a second.
			cleared = c.subset(requestClearance(c))
		}
		if len(cleared.attempts) == 0 {
			h.release(c.addr, conn)
			return sameResult(c, result{outcome: policy.Moot})
		}
		req, err := newRequest(ctx, cleared)
		if err != nil {
			h.release(c.addr, conn)
			return sameResult(c, result{outcome: policy.Moot})
		}
		results, final := h.exchange(req, cleared, conn)
		if !final && !c.writeBy.IsZero() && time.Now().After(c.writeBy) {
			return sameResult(c, result{outcome: policy.Moot}) // writeBy has passed; that is not the host's fault
		}
		if final || fresh || ctx.Err() != nil {
			return c.mergeResults(cleared, results)
		}
	}
}

// subset returns a copy of the call with some of its attempts.
func (c *call) subset(attempts []*attempt) *call {
	if len(attempts) == len(c.attempts) {
		return c
	}
	sub := *c
	sub.attempts = attempts
	return &sub
}

// recorded reports whether all attempts of the call are in the write-ahead log.
func (c *call) recorded() bool {
	return !slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.recorded })
}

// mergeResults returns a result for every attempt of c. made is the call that was made with some of c's attempts, and
// results are theirs; the other attempts were not sent.
func (c *call) mergeResults(made *call, results []result) []result {
	if made == c {
		return results
	}
	merged := sameResult(c, result{outcome: policy.Moot})
	for i, a := range made.attempts {
		merged[slices.Index(c.attempts, a)] = results[i]
	}
	return merged
}

// exchange writes the request and reads its answer. If final is false, the request was not written completely and may be
// sent on another connection.
func (h *hostPool) exchange(req *http.Request, c *call, conn *http.ClientConn) (results []result, final bool) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	h.mu.Lock()
	hc := h.hostConns[conn]
	h.mu.Unlock()
	if hc == nil {
		hc = &hostConn{writeStarted: true} // the connection was not dialed by dialHost and is not tracked
	} else if !hc.beginRequest(c.writeBy) {
		h.closeConn(conn)
		return sameResult(c, result{outcome: policy.ConnectFailed}), false
	}
	var written atomic.Bool // according to net/http, which may still hold part of it in its buffer
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err != nil {
			return
		}
		written.Store(true)
		for _, a := range c.attempts {
			a.msg.counters.countTry()
		}
	}}
	res, err := conn.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		h.closeConn(conn)
		complete := written.Load() && !hc.writeFailed()
		if written.Load() && !complete {
			for _, a := range c.attempts {
				a.msg.counters.uncountTry()
			}
		}
		if len(c.attempts) == 1 && complete && hc.statusOK() {
			return sameResult(c, result{outcome: policy.OK}), true // the answer is unreadable, but its status line says 200
		}
		if complete && req.Context().Err() == nil && len(hc.statusText()) > 0 {
			h.logBadValue(c.route, "answer", err.Error()) // truncated or malformed
		}
		// A host starts only once it has the last byte of the request. If that was written, the message may have run.
		return sameResult(c, result{outcome: missingAnswerOutcome(req.Context(), complete)}), complete
	}
	if !hc.answersRequest() { // the host sent it before the request
		res.Body.Close()
		h.closeConn(conn)
		return sameResult(c, result{outcome: policy.ConnectFailed}), false
	}
	if len(c.attempts) == 1 {
		// The status and header are enough: a body that never arrives must not delay the outcome or occupy a slot.
		bodyTimer := time.AfterFunc(bodyTimeout, cancel)
		defer bodyTimer.Stop()
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	res.Body.Close()
	if err != nil {
		h.closeConn(conn)
		if req.Context().Err() == nil {
			h.logBadValue(c.route, "body of an answer", err.Error())
		}
	} else {
		h.release(c.addr, conn)
	}
	return h.parseAnswer(req.Context(), c, res, body, err), true
}

// errStale means that a request was not written because the host had sent data on its connection, or closed it, or because
// writeBy had passed.
var errStale = errors.New("connection not usable for a request")

// readerTimeout is how long a request waits until net/http has consumed the previous answer on its connection.
const readerTimeout = 50 * time.Millisecond

// hostConn is a connection to a host. It keeps the beginning of each answer, so that the status is known even if net/http
// cannot parse what follows. It also prevents a request from being written after the host has closed the connection or
// sent bytes that would be taken for the answer; net/http checks for these too, but not atomically with the write.
type hostConn struct {
	net.Conn
	raw          syscall.RawConn // nil: Conn is not a socket
	mu           sync.Mutex
	statusLine   []byte
	writeStarted bool          // writing of a request has started since beginRequest
	failed       bool          // a write of the request has failed or was not allowed
	writeBy      time.Time     // latest time to write the first byte of the request; zero: no limit
	reading      bool          // net/http waits for data: it has consumed the previous answer
	readStarted  chan struct{} // closed and replaced whenever reading becomes true
}

// statusPrefixLen is the length of the part of a status line that shows a status of 200.
const statusPrefixLen = len("HTTP/1.1 200 ")

// hostConnKey is the context key of the channel on which dialHost returns its hostConn.
type hostConnKey struct{}

// dialHost connects to a host.
func dialHost(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return wrapHostConn(ctx, conn), nil
}

// wrapHostConn wraps a connection in a hostConn, and sends that to the channel in the context, if there is one.
func wrapHostConn(ctx context.Context, conn net.Conn) *hostConn {
	hc := &hostConn{Conn: conn, raw: rawConnOf(conn), readStarted: make(chan struct{})}
	if dialed, ok := ctx.Value(hostConnKey{}).(chan *hostConn); ok {
		dialed <- hc // buffered for one
	}
	return hc
}

// beginRequest prepares the connection for the next request, whose first byte must not be written after writeBy. It
// returns false if net/http has not consumed the previous answer, so that a rest of it may be left; net/http reads
// further only once it has. It must be called before the request is passed to net/http.
func (c *hostConn) beginRequest(writeBy time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		readStarted, timeout := c.readStarted, time.NewTimer(readerTimeout)
		defer timeout.Stop()
		c.mu.Unlock()
		select {
		case <-readStarted:
		case <-timeout.C:
		}
		c.mu.Lock()
	}
	c.statusLine, c.writeStarted, c.failed, c.writeBy = c.statusLine[:0], false, false, writeBy
	return c.reading
}

func (c *hostConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	close(c.readStarted)
	c.readStarted = make(chan struct{})
	c.mu.Unlock()
	return readAndRecord(c.Conn, c.raw, &c.mu, b, func(n int, err error) (int, error) { return c.recordRead(b, n, err) })
}

// recordRead records the result of a read. The caller holds the lock.
func (c *hostConn) recordRead(b []byte, n int, err error) (int, error) {
	c.reading = false
	if !c.writeStarted { // not an answer; no request may be written any more
		c.failed = true
		return 0, cmp.Or(err, errStale)
	}
	c.statusLine = append(c.statusLine, b[:min(n, statusPrefixLen-len(c.statusLine))]...)
	return n, err
}

// Write writes part of a request.
func (c *hostConn) Write(b []byte) (int, error) {
	if !c.checkWritable() {
		return 0, errStale
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failed = true
	}
	return n, err
}

// checkWritable checks, before the first byte of a request, that nothing has arrived on the connection since beginRequest,
// read or unread, and that writeBy has not passed. Time goes by between the decision to send and the write: for the
// write-ahead log, for a new connection, and while the process waits for a CPU.
func (c *hostConn) checkWritable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeStarted {
		c.writeStarted = true
		unread, ended := peekInput(c.raw)
		c.failed = c.failed || unread || ended || !c.writeBy.IsZero() && time.Now().After(c.writeBy)
	}
	return !c.failed
}

// answersRequest reports whether what was read can be an answer, which means that writing the request had started. If
// not, the request will not be written any more.
func (c *hostConn) answersRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || !c.writeStarted
	return !c.failed
}

// statusText returns the beginning of the answer's status line.
func (c *hostConn) statusText() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.statusLine)
}

// writeFailed reports whether the request was not written completely.
func (c *hostConn) writeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// statusOK reports whether the answer's status line says 200.
func (c *hostConn) statusOK() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.statusLine) < statusPrefixLen || !bytes.HasPrefix(c.statusLine, []byte("HTTP/1.")) || string(c.statusLine[8:12]) != " 200" {
		return false
	}
	return bytes.IndexByte([]byte(" \r\n"), c.statusLine[12]) >= 0
}

// missingAnswerOutcome returns the outcome of a call without a usable answer.
func missingAnswerOutcome(ctx context.Context, written bool) policy.Outcome {
	switch {
	case !written:
		return policy.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.Timeout
	case ctx.Err() != nil:
		return policy.Cancelled
	}
	return policy.Reset
}

// newRequest returns the HTTP request of a call. Its body cannot be rewound, so that net/http cannot repeat it.
func newRequest(ctx context.Context, c *call) (*http.Request, error) {
	path, body := "/events", c.attempts[0].msg.Body
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10)}}
	if len(c.attempts) > 1 {
		path, body = "/events/bundle", encodeBundle(c)
		header.Set("Content-Type", "application/json")
	} else {
		m := c.attempts[0].msg
		header.Set("X-Trace-Id", m.Trace)
		if m.Key != "" {
			header.Set("Idempotency-Key", m.Key)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body, req.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	}
	return req, nil
}

// bundleItem is a message in a bundle, a call with several messages.
type bundleItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// maxItemSize returns an upper bound for the encoded size of a message in a bundle: any byte of an id may be escaped.
func maxItemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(len(m.Body)) + 6*(len(m.Trace)+len(m.Key)) + len(`{"id":"","key":"","body":""},[]`)
}

// encodeBundle returns the body of a call with several messages.
func encodeBundle(c *call) []byte {
	items := make([]bundleItem, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, bundleItem{a.msg.Trace, a.msg.Key, append([]byte{}, a.msg.Body...)}) // never nil, which would be encoded as null
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // cannot happen: strings and bytes only
	}
	return data
}

// parseAnswer returns the results that an answer stands for. readErr is the error from reading its body.
func (h *hostPool) parseAnswer(ctx context.Context, c *call, res *http.Response, body []byte, readErr error) []result {
	wait, valid := parseRetryAfter(res.Header.Get("Retry-After"))
	if !valid {
		h.logBadValue(c.route, "Retry-After", res.Header.Get("Retry-After"))
	}
	r := result{retryAfter: wait, report: h.parseLoadReport(c.route, res.Header.Get("Endpoint-Load-Metrics"))}
	switch res.StatusCode {
	case http.StatusOK:
		if len(c.attempts) > 1 {
			return h.parseBundleAnswer(ctx, c, r, body, readErr)
		}
		r.outcome = policy.OK // the body carries no information
	case http.StatusTooManyRequests:
		r.outcome = policy.Full
	case http.StatusServiceUnavailable:
		switch r.outcome = policy.Full; {
		case res.Header.Get("Slots-Taken") == "1":
			r.outcome = policy.Moot
		case res.Close && !r.report.Told && r.retryAfter == 0:
			// The host is at its connection limit and closes this one. That says nothing about its rate limit, so it
			// must not slow the send rate down.
			r.outcome = policy.ConnectFailed
		}
	case http.StatusGatewayTimeout:
		r.outcome = policy.Moot
	case http.StatusGone:
		r.outcome, r.messageEnded = policy.Moot, true
	default:
		r.outcome = policy.Error // 500 or an unknown status: the message may have run
	}
	return sameResult(c, r)
}

// parseBundleAnswer returns the result of each message of a bundle. A message whose state is missing or unreadable may
// have run.
func (h *hostPool) parseBundleAnswer(ctx context.Context, c *call, r result, body []byte, readErr error) []result {
	unread := r
	unread.outcome = policy.Error
	var raw []json.RawMessage
	if readErr != nil {
		unread.outcome = missingAnswerOutcome(ctx, true)
	} else if err := json.Unmarshal(body, &raw); err != nil {
		h.logBadValue(c.route, "answer to a bundle", err.Error())
		raw = nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct{ ID, State string }
		if json.Unmarshal(x, &item) == nil {
			states[item.ID] = item.State
		}
	}
	results := sameResult(c, unread)
	for i, a := range c.attempts {
		switch states[a.msg.Trace] {
		case "ok":
			results[i].outcome = policy.OK
		case "error":
			results[i].outcome = policy.Error
		case "later":
			results[i].outcome = policy.Full
		case "gone":
			results[i].outcome, results[i].messageEnded = policy.Moot, true
		case "exhausted":
			results[i].outcome = policy.Moot
		}
	}
	return results
}

// parseLoadReport parses the load report of a host, in which it announces its rate limit.
func (h *hostPool) parseLoadReport(route, text string) policy.Report {
	var report policy.Report
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return report
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if !slices.Contains(h.reportFields, name) {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= maxReportValue) {
			h.logBadValue(route, name, value)
			continue
		}
		switch name {
		case "x0":
			report.Left = x
		case "x1":
			report.Limit, report.Told = x, true
		}
	}
	return report
}

// logBadValue logs that a host sent an invalid value, which is ignored. It logs at most once per badValueLogInterval, with
// the number of such values since the last line.
func (h *hostPool) logBadValue(route, field, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.badValues++
	if h.log == nil || time.Since(h.badValueLoggedAt) < badValueLogInterval {
		return
	}
	h.log.Warn("invalid value in an answer ignored", "route", route, "field", field, "value", value[:min(len(value), 80)],
		"times", h.badValues)
	h.badValueLoggedAt, h.badValues = time.Now(), 0
}

// parseRetryAfter parses a Retry-After header in seconds, whole or decimal. It returns 0 if there is none, and false if it
// is invalid.
func parseRetryAfter(text string) (wait time.Duration, valid bool) {
	if text == "" {
		return 0, true
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x <= 1e6) {
		return 0, false
	}
	return time.Duration(x * float64(time.Second)), true
}

// sameResult returns the same result for every attempt of a call.
func sameResult(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}

// acquire returns an idle connection to addr, or else a new one; fresh reports whether it is new.
func (h *hostPool) acquire(ctx context.Context, addr string) (conn *http.ClientConn, fresh bool, err error) {
	h.mu.Lock()
	for list := h.idle[addr]; len(list) > 0; list = h.idle[addr] {
		c := list[len(list)-1]
		h.removeIdle(addr, c)
		if c.Err() == nil && time.Since(c.since) < h.idleTimeout {
			h.mu.Unlock()
			return c.ClientConn, false, nil
		}
		h.closeConnLocked(c.ClientConn)
	}
	if h.open >= h.maxConns {
		h.evictOldestIdle()
	}
	if h.open >= h.maxConns || h.closed {
		h.mu.Unlock()
		return nil, false, errTooManyConns
	}
	h.open++
	h.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, h.connectTimeout)
	defer cancel()
	dialed := make(chan *hostConn, 1)
	conn, err = h.transport.NewClientConn(context.WithValue(ctx, hostConnKey{}, dialed), "http", addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.open--
		return nil, false, fmt.Errorf("connect: %w", err)
	}
	select {
	case h.hostConns[conn] = <-dialed:
	default:
	}
	return conn, true, nil
}

// release returns a connection to the pool, or closes it if it cannot carry another call.
func (h *hostPool) release(addr string, conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || conn.Available() == 0 {
		h.closeConnLocked(conn)
		return
	}
	c := &idleConn{ClientConn: conn, since: time.Now()}
	c.timer = time.AfterFunc(h.idleTimeout, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.removeIdle(addr, c) {
			h.closeConnLocked(conn)
		}
	})
	h.idle[addr] = append(h.idle[addr], c)
}

// removeIdle takes a connection out of the pool. It returns false if the pool does not hold it.
func (h *hostPool) removeIdle(addr string, c *idleConn) bool {
	i := slices.Index(h.idle[addr], c)
	if i < 0 {
		return false
	}
	c.timer.Stop()
	if h.idle[addr] = slices.Delete(h.idle[addr], i, i+1); len(h.idle[addr]) == 0 {
		delete(h.idle, addr)
	}
	return true
}

// evictOldestIdle closes the connection that has been idle longest.
func (h *hostPool) evictOldestIdle() {
	var oldest *idleConn
	var at string
	for addr, list := range h.idle {
		if c := list[0]; oldest == nil || c.since.Before(oldest.since) {
			oldest, at = c, addr
		}
	}
	if oldest != nil {
		h.removeIdle(at, oldest)
		h.closeConnLocked(oldest.ClientConn)
	}
}

// closeConn closes a connection that is not in the pool.
func (h *hostPool) closeConn(conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closeConnLocked(conn)
}

// closeConnLocked is closeConn for a caller that holds the lock.
func (h *hostPool) closeConnLocked(conn *http.ClientConn) {
	h.open--
	delete(h.hostConns, conn)
	conn.Close()
}

// setMaxConns sets the limit on open connections.
func (h *hostPool) setMaxConns(maxConns int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxConns = maxConns
}

// count returns the number of open connections.
func (h *hostPool) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// hasIdle reports whether the pool holds a connection to an address.
func (h *hostPool) hasIdle(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.idle[addr]) > 0
}

// closeIdle closes the idle connections to an address.
func (h *hostPool) closeIdle(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range slices.Clone(h.idle[addr]) {
		h.removeIdle(addr, c)
		h.closeConnLocked(c.ClientConn)
	}
}

// close closes all idle connections. From then on no connection is pooled.
func (h *hostPool) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for addr, list := range h.idle {
		for _, c := range slices.Clone(list) {
			h.removeIdle(addr, c)
			h.closeConnLocked(c.ClientConn)
		}
	}
}
