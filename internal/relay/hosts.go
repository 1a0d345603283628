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

// idleShare is the share of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// Guards against a request that crosses the host's own close: it ends as a reset, which may have run.
const idleShare = 0.8

// answerMost is the most that is read of an answer.
const answerMost = 1 << 20

// reportMost is more than any figure of a load report is, and oddEvery how often nonsense is logged at most.
const (
	reportMost = 1e6
	oddEvery   = 10 * time.Second
)

// restFor is how long the body of an answer may take behind its head, where it means nothing.
const restFor = 100 * time.Millisecond

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// hosts makes the outbound calls and keeps their connections. It pools them itself, over http.ClientConn: a
// Transport's own pool sends some requests again by itself, which a message that must not run twice can't bear,
// and dials where nobody can look again before the request is written.
type hosts struct {
	transport      *http.Transport
	connectTimeout time.Duration
	idleFor        time.Duration
	reports        []string
	log            *slog.Logger // nil: nothing is said

	mu     sync.Mutex
	most   int                            // connections
	idle   map[string][]*idleConn         // by address, the last used last
	open   int                            // connections, idle or not
	lines  map[*http.ClientConn]*lineConn // of the open ones
	closed bool
	oddAt  time.Time // when nonsense in an answer was logged last
	odd    int       // and how often it came since
}

type idleConn struct {
	*http.ClientConn
	since time.Time
	timer *time.Timer
}

// call is one request to a host, with one message or several.
type call struct {
	id       int // this process's number for it
	route    string
	addr     string
	zone     int
	sent     time.Time
	until    time.Time // given up then
	leaveBy  time.Time // its first byte must not be written later: a message's deduplication window ends. Zero: at any time
	attempts []*attempt
	size     int // of the body, at most, if it carries several
}

// attempt is one message's part in a call.
type attempt struct {
	*call
	m     *message
	n     int
	until time.Time
	timer *time.Timer // ends it before the rest of its call; nil if it ends with it
	over  bool        // its outcome is told

	// journaled tells that the log has it: nothing of it may be written before. It is the loop's; a call that waits for the loop's
	// word may read it.
	journaled bool
}

// result is how an attempt ended.
type result struct {
	outcome policy.Outcome
	gone    bool // the message is over: nothing more is owed
	wait    time.Duration
	report  policy.Report
}

func newHosts(cfg Config) *hosts {
	return &hosts{
		// No proxy, no compression, no redirects: a ClientConn follows none.
		transport: &http.Transport{
			DialContext:            dialHost,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 16 << 10,
		},
		connectTimeout: cfg.ConnectTimeout,
		idleFor:        time.Duration(idleShare * float64(cfg.KeepAlive)),
		reports:        cfg.Reports,
		most:           shares(cfg.Limits.Sockets).hosts,
		idle:           map[string][]*idleConn{},
		lines:          map[*http.ClientConn]*lineConn{},
	}
}

// do makes a call and tells the end of each of its attempts, in their order. clear is asked once more, before
// the request is written, which of them may leave where a new connection had to come up first. A kept connection on which
// the host's close, or rubbish, has come by then carries nothing: the call goes on the next one.
func (h *hosts) do(ctx context.Context, c *call, clear func(*call) []*attempt) []result {
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	for again := false; ; again = true {
		conn, fresh, err := h.conn(ctx, c.addr)
		if err != nil {
			return alike(c, result{outcome: policy.ConnectFailed})
		}
		going := c
		if fresh || again || !c.journaled() {
			// While the connection came up, a drain or a wait may have been told, or a message's time to be repeated ended.
			// A host that was away answers the second try for a connection, a whole second after the first.
			going = c.only(clear(c))
		}
		if len(going.attempts) == 0 {
			h.put(c.addr, conn)
			return alike(c, result{outcome: policy.Moot})
		}
		req, err := newRequest(ctx, going)
		if err != nil {
			h.put(c.addr, conn)
			return alike(c, result{outcome: policy.Moot})
		}
		results, spent := h.exchange(req, going, conn)
		if !spent && !c.leaveBy.IsZero() && time.Now().After(c.leaveBy) {
			return alike(c, result{outcome: policy.Moot}) // and the host is not at fault
		}
		if spent || fresh || ctx.Err() != nil {
			return c.all(going, results)
		}
	}
}

// only is a call of some of its attempts.
func (c *call) only(going []*attempt) *call {
	if len(going) == len(c.attempts) {
		return c
	}
	part := *c
	part.attempts = going
	return &part
}

// journaled tells whether the log has all of the call.
func (c *call) journaled() bool {
	return !slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.journaled })
}

// all gives every attempt of a call its end, those that did not go among them.
func (c *call) all(going *call, ends []result) []result {
	if going == c {
		return ends
	}
	results := alike(c, result{outcome: policy.Moot})
	for i, a := range going.attempts {
		results[slices.Index(c.attempts, a)] = ends[i]
	}
	return results
}

// exchange writes the request and reads its answer. Not spent is a request whose last byte was not written.
func (h *hosts) exchange(req *http.Request, c *call, conn *http.ClientConn) (ends []result, spent bool) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	h.mu.Lock()
	line := h.lines[conn]
	h.mu.Unlock()
	if line == nil {
		line = &lineConn{wrote: true} // of a dial that is not dialHost's: nothing is known of its lines
	} else if !line.begin(c.leaveBy) {
		h.drop(conn)
		return alike(c, result{outcome: policy.ConnectFailed}), false
	}
	var written atomic.Bool // as far as the library knows, which still holds some of it back
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err != nil {
			return
		}
		written.Store(true)
		for _, a := range c.attempts {
			a.m.tally.tried()
		}
	}}
	res, err := conn.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		h.drop(conn)
		whole := written.Load() && !line.cut()
		if written.Load() && !whole {
			for _, a := range c.attempts {
				a.m.tally.untried()
			}
		}
		if len(c.attempts) == 1 && whole && line.ok() {
			return alike(c, result{outcome: policy.OK}), true // the rest cannot be read, but it was delivered
		}
		if whole && req.Context().Err() == nil && len(line.said()) > 0 {
			h.oddity(c.route, "answer", err.Error()) // cut or malformed
		}
		// The last byte tells: without it no host has begun. Whatever is doubtful may have run.
		return alike(c, result{outcome: broken(req.Context(), whole)}), whole
	}
	if !line.answers() { // it came before the request did, and is no answer to it
		res.Body.Close()
		h.drop(conn)
		return alike(c, result{outcome: policy.ConnectFailed}), false
	}
	if len(c.attempts) == 1 {
		// The head tells all: a body that does not come must keep neither the message nor the slot.
		late := time.AfterFunc(restFor, cancel)
		defer late.Stop()
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
	res.Body.Close()
	if err != nil {
		h.drop(conn)
		if req.Context().Err() == nil {
			h.oddity(c.route, "body of an answer", err.Error())
		}
	} else {
		h.put(c.addr, conn)
	}
	return h.results(req.Context(), c, res, body, err), true
}

// errStale is why a request was not written: on its connection the host has said something, or has closed it.
var errStale = errors.New("the connection was not clean")

// readerComes is how long a request waits for the connection's reader to have done with the answer before.
const readerComes = 50 * time.Millisecond

// lineConn keeps the beginning of each answer on a connection to a host, its status line, for when the library
// cannot make sense of what follows. And it has no request written on a connection on which something has come before it:
// a close, or bytes that would be taken for its answer. The library looks for these too, but not in one step with the write.
type lineConn struct {
	net.Conn
	raw     syscall.RawConn // nil: it is no socket
	mu      sync.Mutex
	line    []byte
	wrote   bool          // a request has begun to be written since begin
	failed  bool          // a write of it did, or was turned down
	leaveBy time.Time     // it must not begin to be written later; zero: at any time
	reading bool          // the library waits for more: it has nothing left of the answer before
	reads   chan struct{} // closed, and made anew, when it begins to
}

// okLine is how long the part of a status line is that tells of a delivery.
const okLine = len("HTTP/1.1 200 ")

// lineKey is the key of a context under which a dial leaves its lineConn.
type lineKey struct{}

func dialHost(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return keepLine(ctx, conn), nil
}

// keepLine puts a lineConn around a connection, and leaves it where the context says.
func keepLine(ctx context.Context, conn net.Conn) *lineConn {
	line := &lineConn{Conn: conn, raw: rawOf(conn), reads: make(chan struct{})}
	if dialed, ok := ctx.Value(lineKey{}).(chan *lineConn); ok {
		dialed <- line // has room for the one
	}
	return line
}

// begin forgets the call before; the next must not begin to be written after leaveBy. It tells whether the connection is clean: nothing is left of the answer before, for the library
// reads on only then. The library must not wait for an answer yet.
func (c *lineConn) begin(leaveBy time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		reads, late := c.reads, time.NewTimer(readerComes)
		defer late.Stop()
		c.mu.Unlock()
		select {
		case <-reads:
		case <-late.C:
		}
		c.mu.Lock()
	}
	c.line, c.wrote, c.failed, c.leaveBy = c.line[:0], false, false, leaveBy
	return c.reading
}

func (c *lineConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	close(c.reads)
	c.reads = make(chan struct{})
	c.mu.Unlock()
	return readBooked(c.Conn, c.raw, &c.mu, b, func(n int, err error) (int, error) { return c.took(b, n, err) })
}

// took books what was read. Its caller has the lock.
func (c *lineConn) took(b []byte, n int, err error) (int, error) {
	c.reading = false
	if !c.wrote { // it is no answer, and the request must not be written any more
		c.failed = true
		return 0, cmp.Or(err, errStale)
	}
	c.line = append(c.line, b[:min(n, okLine-len(c.line))]...)
	return n, err
}

// Write writes a part of a request.
func (c *lineConn) Write(b []byte) (int, error) {
	if !c.clean() {
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

// clean looks, before the first byte of a request, whether anything has come on the connection since begin, read or not, and
// whether it is still time: between the decision and this there is a journal to write, a connection to come up, a core to wait for.
func (c *lineConn) clean() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.wrote {
		c.wrote = true
		came, ended := pending(c.raw)
		c.failed = c.failed || came || ended || !c.leaveBy.IsZero() && time.Now().After(c.leaveBy)
	}
	return !c.failed
}

// answers tells whether what was read can be an answer: the request had begun to be written. Otherwise none of it will be.
func (c *lineConn) answers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = c.failed || !c.wrote
	return !c.failed
}

// said is the beginning of the answer.
func (c *lineConn) said() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.line)
}

// cut tells whether the request was not written whole.
func (c *lineConn) cut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// ok tells whether the answer's first line says 200.
func (c *lineConn) ok() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.line) < okLine || !bytes.HasPrefix(c.line, []byte("HTTP/1.")) || string(c.line[8:12]) != " 200" {
		return false
	}
	return bytes.IndexByte([]byte(" \r\n"), c.line[12]) >= 0
}

// broken is the outcome of a call whose answer did not come.
func broken(ctx context.Context, written bool) policy.Outcome {
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

// newRequest makes the request of a call. Its body cannot be rewound, so that no library sends it again.
func newRequest(ctx context.Context, c *call) (*http.Request, error) {
	path, body := "/events", c.attempts[0].m.Body
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, time.Until(c.until).Milliseconds()), 10)}}
	if len(c.attempts) > 1 {
		path, body = "/events/bundle", bundle(c)
		header.Set("Content-Type", "application/json")
	} else {
		m := c.attempts[0].m
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

// item is a message in a bundle.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// itemSize is the most that a message takes in a bundle: any byte of an id may be escaped.
func itemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(len(m.Body)) + 6*(len(m.Trace)+len(m.Key)) + len(`{"id":"","key":"","body":""},[]`)
}

func bundle(c *call) []byte {
	items := make([]item, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, item{a.m.Trace, a.m.Key, append([]byte{}, a.m.Body...)}) // null is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// results reads an answer. readErr is how the reading of its body ended.
func (h *hosts) results(ctx context.Context, c *call, res *http.Response, body []byte, readErr error) []result {
	wait, sense := seconds(res.Header.Get("Retry-After"))
	if !sense {
		h.oddity(c.route, "Retry-After", res.Header.Get("Retry-After"))
	}
	r := result{wait: wait, report: h.report(c.route, res.Header.Get("Endpoint-Load-Metrics"))}
	switch res.StatusCode {
	case http.StatusOK:
		if len(c.attempts) > 1 {
			return h.bundleResults(ctx, c, r, body, readErr)
		}
		r.outcome = policy.OK // with the first line: the body means nothing
	case http.StatusTooManyRequests:
		r.outcome = policy.Full
	case http.StatusServiceUnavailable:
		switch r.outcome = policy.Full; {
		case res.Header.Get("Slots-Taken") == "1":
			r.outcome = policy.Moot
		case res.Close && !r.report.Told && r.wait == 0:
			// The host holds every connection that it accepts and closes this one: that is no limit, and its pace
			// is not at fault.
			r.outcome = policy.ConnectFailed
		}
	case http.StatusGatewayTimeout:
		r.outcome = policy.Moot
	case http.StatusGone:
		r.outcome, r.gone = policy.Moot, true
	default:
		r.outcome = policy.Error // 500, and what is not known: it may have run
	}
	return alike(c, r)
}

// bundleResults reads the end of each message of a bundle. One that is missing or unreadable may have run.
func (h *hosts) bundleResults(ctx context.Context, c *call, r result, body []byte, readErr error) []result {
	unread := r
	unread.outcome = policy.Error
	var raw []json.RawMessage
	if readErr != nil {
		unread.outcome = broken(ctx, true)
	} else if err := json.Unmarshal(body, &raw); err != nil {
		h.oddity(c.route, "answer to a bundle", err.Error())
		raw = nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct{ ID, State string }
		if json.Unmarshal(x, &item) == nil {
			states[item.ID] = item.State
		}
	}
	results := alike(c, unread)
	for i, a := range c.attempts {
		switch states[a.m.Trace] {
		case "ok":
			results[i].outcome = policy.OK
		case "error":
			results[i].outcome = policy.Error
		case "later":
			results[i].outcome = policy.Full
		case "gone":
			results[i].outcome, results[i].gone = policy.Moot, true
		case "exhausted":
			results[i].outcome = policy.Moot
		}
	}
	return results
}

// report reads what a host tells of its limit.
func (h *hosts) report(route, text string) policy.Report {
	var rep policy.Report
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if !slices.Contains(h.reports, name) {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= reportMost) {
			h.oddity(route, name, value)
			continue
		}
		switch name {
		case "x0":
			rep.Left = x
		case "x1":
			rep.Limit, rep.Told = x, true
		}
	}
	return rep
}

// oddity says that a host sent what makes no sense and is passed over: once in a while, with how often it came.
func (h *hosts) oddity(route, field, value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.odd++
	if h.log == nil || time.Since(h.oddAt) < oddEvery {
		return
	}
	h.log.Warn("nonsense in an answer passed over", "route", route, "field", field, "value", value[:min(len(value), 80)],
		"times", h.odd)
	h.oddAt, h.odd = time.Now(), 0
}

// seconds reads a Retry-After, whole or decimal; 0 if there is none that can be read, and whether it makes sense.
func seconds(text string) (wait time.Duration, sense bool) {
	if text == "" {
		return 0, true
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x <= 1e6) {
		return 0, false
	}
	return time.Duration(x * float64(time.Second)), true
}

// alike gives every attempt of a call the same end.
func alike(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}

// conn returns an idle connection to addr, else a new one; fresh tells which.
func (h *hosts) conn(ctx context.Context, addr string) (conn *http.ClientConn, fresh bool, err error) {
	h.mu.Lock()
	for list := h.idle[addr]; len(list) > 0; list = h.idle[addr] {
		c := list[len(list)-1]
		h.remove(addr, c)
		if c.Err() == nil && time.Since(c.since) < h.idleFor {
			h.mu.Unlock()
			return c.ClientConn, false, nil
		}
		h.drop1(c.ClientConn)
	}
	if h.open >= h.most {
		h.evict()
	}
	if h.open >= h.most || h.closed {
		h.mu.Unlock()
		return nil, false, errTooManyConns
	}
	h.open++
	h.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, h.connectTimeout)
	defer cancel()
	dialed := make(chan *lineConn, 1)
	conn, err = h.transport.NewClientConn(context.WithValue(ctx, lineKey{}, dialed), "http", addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.open--
		return nil, false, fmt.Errorf("connect: %w", err)
	}
	select {
	case h.lines[conn] = <-dialed:
	default:
	}
	return conn, true, nil
}

// put keeps a connection for the next call, if it can carry one.
func (h *hosts) put(addr string, conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || conn.Available() == 0 {
		h.drop1(conn)
		return
	}
	c := &idleConn{ClientConn: conn, since: time.Now()}
	c.timer = time.AfterFunc(h.idleFor, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.remove(addr, c) {
			h.drop1(conn)
		}
	})
	h.idle[addr] = append(h.idle[addr], c)
}

// remove takes a connection out of the pool; false if it was not in it.
func (h *hosts) remove(addr string, c *idleConn) bool {
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

// evict closes the connection that has been idle longest.
func (h *hosts) evict() {
	var oldest *idleConn
	var at string
	for addr, list := range h.idle {
		if c := list[0]; oldest == nil || c.since.Before(oldest.since) {
			oldest, at = c, addr
		}
	}
	if oldest != nil {
		h.remove(at, oldest)
		h.drop1(oldest.ClientConn)
	}
}

func (h *hosts) drop(conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop1(conn)
}

func (h *hosts) drop1(conn *http.ClientConn) {
	h.open--
	delete(h.lines, conn)
	conn.Close()
}

// allow sets how many connections there may be from here on.
func (h *hosts) allow(most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.most = most
}

// count is how many connections there are.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// rests tells whether a connection to an address is kept.
func (h *hosts) rests(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.idle[addr]) > 0
}

// closeIdle closes the idle connections to an address.
func (h *hosts) closeIdle(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range slices.Clone(h.idle[addr]) {
		h.remove(addr, c)
		h.drop1(c.ClientConn)
	}
}

// close closes all idle connections and keeps none from here on.
func (h *hosts) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for addr, list := range h.idle {
		for _, c := range slices.Clone(list) {
			h.remove(addr, c)
			h.drop1(c.ClientConn)
		}
	}
}
