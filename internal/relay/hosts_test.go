package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

const testTimeout = 10 * time.Second // longer than any awaited condition takes

func testConfig() Config {
	c := Config{ConnectTimeout: 2 * time.Second, KeepAlive: time.Minute, ReportFields: []string{"x0", "x1"}}
	c.setDefaults()
	return c
}

func testHosts(t *testing.T, cfg Config) *hostPool {
	h := newHostPool(cfg)
	t.Cleanup(h.close)
	return h
}

// newCall returns a call to addr with messages of the given ids, recorded in the log.
func newCall(addr string, ids ...string) *call {
	c := &call{route: "s-1", addr: addr, sentAt: time.Now(), deadline: time.Now().Add(testTimeout)}
	for _, id := range ids {
		m := &message{Message: &wal.Message{Trace: id, Key: "key-" + id, Body: []byte("body of " + id)}}
		c.attempts = append(c.attempts, &attempt{call: c, msg: m, deadline: c.deadline, recorded: true})
	}
	return c
}

// clearAll clears all attempts of a call.
func clearAll(c *call) []*attempt { return c.attempts }

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// newRawHost starts a host on plain sockets. It reads complete requests and passes each to serve with its number, from 1.
// serve returns false to close the connection.
func newRawHost(t *testing.T, serve func(n int, conn net.Conn, req *http.Request) bool) (addr string, requests *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					if !serve(int(requests.Add(1)), conn, req) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func TestSingleCallCarriesMessageUnchanged(t *testing.T) {
	type seen struct {
		path, id, key, expires, body string
		length                       int64
	}
	got := make(chan seen, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- seen{
			r.URL.Path, r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key"),
			r.Header.Get("X-Expires-In-Ms"), string(b), r.ContentLength,
		}
	}))
	defer s.Close()
	c := newCall(addrOf(s), "a")
	if r := testHosts(t, testConfig()).makeCall(t.Context(), c, clearAll); r[0].outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].outcome)
	}
	g := <-got
	if g.path != "/events" || g.id != "a" || g.key != "key-a" || g.body != "body of a" || g.length != 9 || g.expires == "" {
		t.Errorf("the host saw %+v", g)
	}
}

// http.Transport would repeat this request by itself: it has an Idempotency-Key, its connection was used before, and no
// byte of an answer was received.
func TestRequestIsNotRepeatedAutomatically(t *testing.T) {
	for _, body := range []string{"some", ""} {
		addr, requests := newRawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
			if n == 1 {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			return n == 1
		})
		h := testHosts(t, testConfig())
		first, second := newCall(addr, "a"), newCall(addr, "b")
		second.attempts[0].msg.Body = []byte(body)
		if r := h.makeCall(t.Context(), first, clearAll); r[0].outcome != policy.OK {
			t.Fatalf("first call: %v", r[0].outcome)
		}
		if r := h.makeCall(t.Context(), second, clearAll); r[0].outcome != policy.Reset {
			t.Errorf("body %q: outcome %v, want a reset", body, r[0].outcome)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("body %q: the host saw %d requests", body, n)
		}
	}
}

func TestRefusedConnectionCountsAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	r := testHosts(t, testConfig()).makeCall(t.Context(), newCall(l.Addr().String(), "a"), clearAll)
	if r[0].outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].outcome)
	}
}

func TestConnectTimeout(t *testing.T) {
	cfg := testConfig()
	cfg.ConnectTimeout = 20 * time.Millisecond
	h := testHosts(t, cfg)
	h.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	began := time.Now()
	if r := h.makeCall(t.Context(), newCall("127.0.0.1:1", "a"), clearAll); r[0].outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].outcome)
	}
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("took %v", took)
	}
	if h.open != 0 {
		t.Errorf("%d connections counted", h.open)
	}
}

// breakingConn writes part of a request and then breaks.
type breakingConn struct {
	net.Conn
	remaining int
}

func (c *breakingConn) Write(b []byte) (int, error) {
	if len(b) > c.remaining {
		n, _ := c.Conn.Write(b[:c.remaining])
		c.Conn.Close()
		return n, io.ErrClosedPipe
	}
	c.remaining -= len(b)
	return c.Conn.Write(b)
}

func TestIncompleteRequestCountsAsNotSent(t *testing.T) {
	addr, requests := newRawHost(t, func(int, net.Conn, *http.Request) bool { return true })
	h := testHosts(t, testConfig())
	h.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &breakingConn{conn, 10_000}, err
	}
	c := newCall(addr, "a")
	c.attempts[0].msg.Body = make([]byte, 60_000)
	if r := h.makeCall(t.Context(), c, clearAll); r[0].outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the host saw %d complete requests", n)
	}
}

func TestTimeoutClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server notices a disconnect only after the body
		<-r.Context().Done()
		close(closed)
	}))
	defer s.Close()
	h := testHosts(t, testConfig())
	c := newCall(addrOf(s), "a")
	c.deadline = time.Now().Add(100 * time.Millisecond)
	if r := h.makeCall(t.Context(), c, clearAll); r[0].outcome != policy.Timeout {
		t.Errorf("outcome %v", r[0].outcome)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection is still open at the host")
	}
}

func TestCallNeedsClearanceAfterConnecting(t *testing.T) {
	addr, requests := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := testHosts(t, testConfig())
	if r := h.makeCall(t.Context(), newCall(addr, "a"), func(*call) []*attempt { return nil }); r[0].outcome != policy.Moot {
		t.Errorf("outcome %v", r[0].outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the host saw %d requests", n)
	}
	// The connection is pooled, and the next call on it needs no clearance.
	r := h.makeCall(t.Context(), newCall(addr, "b"), func(*call) []*attempt { t.Error("asked for clearance"); return nil })
	if r[0].outcome != policy.OK {
		t.Errorf("outcome on the pooled connection %v", r[0].outcome)
	}
}

// A call that was held up carries the messages that may still be sent. The others count as not sent.
func TestDelayedCallCarriesClearedMessagesOnly(t *testing.T) {
	bodies := make(chan string, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		bodies <- req.URL.Path + " " + string(body)
		fmt.Fprint(w, `[{"id":"a","state":"ok"},{"id":"c","state":"later"}]`)
	}))
	defer s.Close()
	addr := addrOf(s)
	allBut := func(i int) func(*call) []*attempt {
		return func(c *call) []*attempt { return slices.Delete(slices.Clone(c.attempts), i, i+1) }
	}
	r := testHosts(t, testConfig()).makeCall(t.Context(), newCall(addr, "a", "b", "c"), allBut(1))
	if r[0].outcome != policy.OK || r[1].outcome != policy.Moot || r[2].outcome != policy.Full {
		t.Errorf("outcomes %+v", r)
	}
	sent := <-bodies
	if !strings.HasPrefix(sent, "/events/bundle ") || strings.Contains(sent, `"b"`) || !strings.Contains(sent, `"c"`) {
		t.Errorf("sent %s", sent)
	}
	r = testHosts(t, testConfig()).makeCall(t.Context(), newCall(addr, "a", "b"), allBut(0))
	if r[0].outcome != policy.Moot || r[1].outcome != policy.OK {
		t.Errorf("outcomes %+v", r)
	}
	if sent := <-bodies; sent != "/events body of b" {
		t.Errorf("the cleared message: sent %s", sent)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	const calls = 6
	var opened atomic.Int32
	var arrived sync.WaitGroup // each round waits until all of its calls have arrived
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		io.WriteString(w, strings.Repeat("x", 9000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	h := testHosts(t, testConfig())
	for range 3 {
		arrived.Add(calls)
		var done sync.WaitGroup
		for i := range calls {
			done.Go(func() {
				if r := h.makeCall(t.Context(), newCall(addrOf(s), fmt.Sprint(i)), clearAll); r[0].outcome != policy.OK {
					t.Errorf("outcome %v", r[0].outcome)
				}
			})
		}
		done.Wait()
	}
	if n := opened.Load(); n != calls {
		t.Errorf("%d connections for %d calls at once", n, calls)
	}
}

func TestIdleConnectionsCloseBeforeHostLimit(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	cfg := testConfig()
	cfg.KeepAlive = 50 * time.Millisecond
	h := testHosts(t, cfg)
	if r := h.makeCall(t.Context(), newCall(addrOf(s), "a"), clearAll); r[0].outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].outcome)
	}
	select {
	case <-closed: // by the relay, since the server has no idle timeout
	case <-time.After(testTimeout):
		t.Error("still open")
	}
}

func TestConnectionLimit(t *testing.T) {
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	one, two := httptest.NewServer(ok), httptest.NewServer(ok)
	defer one.Close()
	defer two.Close()
	h := testHosts(t, testConfig())
	h.maxConns = 1
	for i, s := range []*httptest.Server{one, two, one} { // each replaces the idle connection before it
		if r := h.makeCall(t.Context(), newCall(addrOf(s), "a"), clearAll); r[0].outcome != policy.OK || h.open != 1 {
			t.Errorf("call %d: outcome %v, %d open", i, r[0].outcome, h.open)
		}
	}
	busy, _, err := h.acquire(t.Context(), addrOf(one))
	if err != nil {
		t.Fatal(err)
	}
	if r := h.makeCall(t.Context(), newCall(addrOf(two), "a"), clearAll); r[0].outcome != policy.ConnectFailed {
		t.Errorf("beyond the limit: outcome %v", r[0].outcome)
	}
	h.closeConn(busy)
}

func TestAnswerCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		header http.Header
		want   result
	}{
		{200, nil, result{outcome: policy.OK}},
		{500, nil, result{outcome: policy.Error}},
		{429, http.Header{"Retry-After": {"0.75"}}, result{outcome: policy.Full, retryAfter: 750 * time.Millisecond}},
		{429, http.Header{"Retry-After": {"soon"}}, result{outcome: policy.Full}},
		{503, nil, result{outcome: policy.Full}},
		{503, http.Header{"Retry-After": {"2"}}, result{outcome: policy.Full, retryAfter: 2 * time.Second}},
		{503, http.Header{"Slots-Taken": {"1"}}, result{outcome: policy.Moot}},
		{503, http.Header{"Slots-Taken": {"1"}, "Connection": {"close"}}, result{outcome: policy.Moot}},
		{503, http.Header{"Connection": {"close"}}, result{outcome: policy.ConnectFailed}}, // the host is at its connection limit
		{503, http.Header{"Connection": {"close"}, "Retry-After": {"2"}}, result{outcome: policy.Full, retryAfter: 2 * time.Second}},
		{503, http.Header{"Connection": {"close"}, "Endpoint-Load-Metrics": {"TEXT x0=0, x1=25"}},
			result{outcome: policy.Full, report: policy.Report{Told: true, Limit: 25}}},
		{429, http.Header{"Connection": {"close"}}, result{outcome: policy.Full}},
		{504, nil, result{outcome: policy.Moot}},
		{410, nil, result{outcome: policy.Moot, messageEnded: true}},
		{302, http.Header{"Location": {"/elsewhere"}}, result{outcome: policy.Error}},
		{418, nil, result{outcome: policy.Error}},
		{200, http.Header{"Endpoint-Load-Metrics": {"TEXT x0=0.4, x1=25, y=7"}},
			result{outcome: policy.OK, report: policy.Report{Told: true, Left: 0.4, Limit: 25}}},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/events" {
				t.Errorf("a redirect was followed to %s", r.URL.Path)
			}
			for k, v := range c.header {
				w.Header()[k] = v
			}
			w.WriteHeader(c.status)
		}))
		if r := testHosts(t, testConfig()).makeCall(t.Context(), newCall(addrOf(s), "a"), clearAll); r[0] != c.want {
			t.Errorf("%d %v: %+v, want %+v", c.status, c.header, r[0], c.want)
		}
		s.Close()
	}
}

// Invalid values in a load report or Retry-After are ignored, and logged once in a while rather than with every answer.
func TestInvalidValuesInAnswersAreIgnored(t *testing.T) {
	h := testHosts(t, testConfig())
	var out bytes.Buffer
	h.log = slog.New(slog.NewTextHandler(&out, nil))
	for _, value := range []string{"NaN", "-1", "1e300", "+Inf", "often"} {
		header := http.Header{"Retry-After": {value}, "Endpoint-Load-Metrics": {"TEXT x0=" + value + ", x1=" + value}}
		res := &http.Response{StatusCode: http.StatusTooManyRequests, Header: header}
		r := h.parseAnswer(t.Context(), newCall("", "a"), res, nil, nil)
		if want := (result{outcome: policy.Full}); r[0] != want {
			t.Errorf("%s: %+v, want %+v", value, r[0], want)
		}
	}
	if n := strings.Count(out.String(), "invalid value in an answer"); n != 1 || h.badValues != 14 {
		t.Errorf("logged %d times, %d values since: %s", n, h.badValues, out.String())
	}
}

func TestBundles(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name   string
		status int
		wait   string
		answer string
		want   []policy.Outcome
	}{
		{"every state", 200, "", `[{"id":"f","state":"what"},{"id":"e","state":"exhausted"},{"id":"d","state":"gone"},
			{"id":"c","state":"later"},{"id":"b","state":"error"},{"id":"a","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Full, policy.Moot, policy.Moot, policy.Error}},
		{"missing and unreadable items", 200, "", `[{"id":"a","state":"ok"},7,{"id":3},{"id":"f","state":"ok"}]`,
			[]policy.Outcome{policy.OK, policy.Error, policy.Error, policy.Error, policy.Error, policy.OK}},
		{"unreadable", 200, "", `{`, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{"all refused", 429, "1.5", ``, slices.Repeat([]policy.Outcome{policy.Full}, 6)},
		{"all failed", 500, "", ``, slices.Repeat([]policy.Outcome{policy.Error}, 6)},
		{"a wait with deliveries", 200, "1.5", `[{"id":"a","state":"ok"}]`,
			append([]policy.Outcome{policy.OK}, slices.Repeat([]policy.Outcome{policy.Error}, 5)...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var items []struct {
					ID, Key string
					Body    []byte
				}
				if err := json.NewDecoder(r.Body).Decode(&items); err != nil || r.URL.Path != "/events/bundle" {
					t.Errorf("%s: %v", r.URL.Path, err)
				}
				for i, id := range ids {
					if items[i].ID != id || items[i].Key != "key-"+id || string(items[i].Body) != "body of "+id {
						t.Errorf("item %d: %+v", i, items[i])
					}
				}
				if c.wait != "" {
					w.Header().Set("Retry-After", c.wait)
				}
				w.WriteHeader(c.status)
				io.WriteString(w, c.answer)
			}))
			defer s.Close()
			results := testHosts(t, testConfig()).makeCall(t.Context(), newCall(addrOf(s), ids...), clearAll)
			for i, r := range results {
				if r.outcome != c.want[i] || r.messageEnded != (c.name == "every state" && i == 3) {
					t.Errorf("%s: %+v, want %v", ids[i], r, c.want[i])
				}
				if (r.retryAfter > 0) != (c.wait != "") {
					t.Errorf("%s: wait %v", ids[i], r.retryAfter)
				}
			}
		})
	}
}

func TestTruncatedBundleAnswer(t *testing.T) {
	addr, _ := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}")
		return false
	})
	for i, r := range testHosts(t, testConfig()).makeCall(t.Context(), newCall(addr, "a", "b"), clearAll) {
		if r.outcome != policy.Reset {
			t.Errorf("attempt %d: %v", i, r.outcome)
		}
	}
	if r := testHosts(t, testConfig()).makeCall(t.Context(), newCall(addr, "a"), clearAll); r[0].outcome != policy.OK {
		t.Errorf("a single message is delivered once the status line arrives: %v", r[0].outcome)
	}
}

// A message whose answer is unreadable may have run but does not count as delivered. A status line with 200 is a delivery,
// whatever follows it.
func TestUnreadableAnswers(t *testing.T) {
	for text, want := range map[string]policy.Outcome{
		"HTTP/1.1 200 OK\r\nno field at all\r\n\r\n":                        policy.OK,
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n":                      policy.OK,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n": policy.OK,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 40<<10) + "\r\n\r\n": policy.OK,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":       policy.OK,
		"HTTP/1.1 200 OK\r\nContent-Le":                                     policy.OK,
		"HTTP/1.1 200\r\nno field at all\r\n\r\n":                           policy.OK,
		"HTTP/1.1 2000 OK\r\nno field at all\r\n\r\n":                       policy.Reset,
		"HTTP/1.1 503 Busy\r\nno field at all\r\n\r\n":                      policy.Reset,
		"HTTP/1.1 20":                  policy.Reset,
		"200 OK\r\n\r\n":               policy.Reset,
		"\x00\x01\x02\x03\r\n\r\n\r\n": policy.Reset,
		"HTTP/1.1 418 Teapot\r\nContent-Length: 0\r\n\r\n": policy.Error,
	} {
		addr, requests := newRawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
			if n == 1 { // a valid answer first, so that the invalid one comes on a pooled connection
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return true
			}
			io.WriteString(conn, text)
			return false
		})
		h := testHosts(t, testConfig())
		if r := h.makeCall(t.Context(), newCall(addr, "a"), clearAll); r[0].outcome != policy.OK {
			t.Fatalf("valid answer: outcome %v", r[0].outcome)
		}
		if r := h.makeCall(t.Context(), newCall(addr, "b"), clearAll); r[0].outcome != want {
			t.Errorf("%.40q: outcome %v, want %v", text, r[0].outcome, want)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%.40q: %d requests", text, n)
		}
	}
}

// The status line of a bundle's answer says nothing about single messages.
func TestUnreadableBundleAnswerMayHaveRun(t *testing.T) {
	addr, _ := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nno field at all\r\n\r\n")
		return false
	})
	for i, r := range testHosts(t, testConfig()).makeCall(t.Context(), newCall(addr, "a", "b"), clearAll) {
		if r.outcome != policy.Reset {
			t.Errorf("message %d: outcome %v", i, r.outcome)
		}
	}
}

// A header with 200 is a delivery: a body that never arrives must not delay the outcome.
func TestMissingAnswerBodyDoesNotDelayOutcome(t *testing.T) {
	addr, _ := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n")
		io.Copy(io.Discard, conn) // until the relay closes it
		return false
	})
	h := testHosts(t, testConfig())
	began := time.Now()
	c := newCall(addr, "a")
	if r := h.makeCall(t.Context(), c, clearAll); r[0].outcome != policy.OK || !time.Now().Before(c.deadline) {
		t.Errorf("outcome %v after %v", r[0].outcome, time.Since(began))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open != 0 {
		t.Errorf("%d connections are open", h.open)
	}
}
