package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// submissionHeader returns a valid submission up to the header fields that frame its body.
func submissionHeader(id string) string {
	return "POST /order HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: order\r\nX-Customer: bolt\r\n" +
		"X-Expires-In-Ms: 5000\r\nIdempotency-Key: k-" + id + "\r\nEnvelope: dest=7\r\n"
}

// serveWithoutLoop serves a test relay's clients on a loopback port. The loop does not run: submissions stay in its event
// queue.
func serveWithoutLoop(t *testing.T, r *Relay) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := r.newServer()
	served := make(chan struct{})
	go func() { defer close(served); server.Serve(l) }()
	t.Cleanup(func() { server.Close(); <-served })
	return l.Addr().String()
}

// Request smuggling: a proxy and the relay may disagree about where the body of a request ends. The contents of a body must
// never be handled as a request, and the connection must be closed.
func TestBodyIsNeverReadAsRequest(t *testing.T) {
	inner := submissionHeader("inner") + "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"both framings":         submissionHeader("outer") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"the other way around":  submissionHeader("outer") + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"at the health check":   "GET /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"at an unknown path":    "PUT /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"two lengths":           submissionHeader("outer") + "Content-Length: 0\r\nContent-Length: 400\r\n\r\n" + inner,
		"a length that is none": submissionHeader("outer") + "Content-Length: +0\r\n\r\n" + inner,
		"a malformed hand-in": strings.Replace(submissionHeader("outer"), "dest=7", "dest=x", 1) +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner)) + inner,
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			conn, err := net.Dial("tcp", serveWithoutLoop(t, r))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.WriteString(conn, text); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { // stands in for the loop, so that a submission would be answered
				for {
					select {
					case e := <-r.events:
						if sub, ok := e.(*submission); ok {
							t.Errorf("%s was accepted", sub.msg.Trace)
							sub.reply <- answer{status: http.StatusAccepted}
						}
					case <-ctx.Done():
						return
					}
				}
			}()
			answers := bufio.NewReader(conn)
			res, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode < 400 || res.StatusCode > 499 {
				t.Errorf("status %d, %q, %v", res.StatusCode, body, err)
			}
			if rest, err := io.ReadAll(answers); len(rest) > 0 || isTimeout(err) {
				t.Errorf("the connection stays open: %q, %v", rest, err)
			}
		})
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

// pipeListener is a listener for in-memory connections, for servers in a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	here, there := net.Pipe()
	l.conns <- there
	return here
}

// A peer that is silent, slow or sends invalid data gets an error or a close within 3 s of opening its connection, and then
// uses no resources any more.
func TestMisbehavingPeersAreDisconnected(t *testing.T) {
	head := submissionHeader("m1")
	for name, peer := range map[string]struct {
		text  string
		every time.Duration // pause between bytes; 0: none
	}{
		"silent":            {"", 0},
		"half a line":       {"POST /ord", 0},
		"a slow header":     {head, 300 * time.Millisecond},
		"an endless header": {head, 0},
		"a short body":      {head + "Content-Length: 10\r\n\r\nabc", 0},
		"a slow body":       {head + "Content-Length: 99\r\n\r\n", 5 * time.Millisecond},
		"a body of 60 MB":   {head + "Content-Length: 60000000\r\n\r\nabc", 0},
		"binary":            {strings.Repeat("\x16\x03\x01\x00", 40), 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRelay(t)
				l, server := newPipeListener(), r.newServer()
				served := make(chan struct{})
				go func() { defer close(served); server.Serve(l) }()
				began, conn := time.Now(), l.dial()
				written := make(chan struct{})
				go func() {
					defer close(written)
					for i := range peer.text {
						if _, err := io.WriteString(conn, peer.text[i:i+1]); err != nil {
							return
						}
						time.Sleep(peer.every)
					}
				}()
				first := make([]byte, 512)
				n, err := conn.Read(first)
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("%q, %v, after %v", first[:n], err, took)
				}
				if n > 0 && !strings.HasPrefix(string(first), "HTTP/1.1 4") {
					t.Errorf("answered %q", first[:n])
				}
				if _, err := io.Copy(io.Discard, conn); err != nil && time.Since(began) > 4*time.Second {
					t.Errorf("still open: %v", err)
				}
				if took := time.Since(began); took > 4*time.Second {
					t.Errorf("closed after %v", took)
				}
				if len(r.events) > 0 {
					t.Error("a message was accepted")
				}
				conn.Close()
				server.Close()
				<-served
				<-written
			})
		})
	}
}

// A peer that sends requests and does not read the answers is disconnected after the write timeout.
func TestPeerThatReadsNoAnswersIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l, server := newPipeListener(), r.newServer()
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(l) }()
		began, conn := time.Now(), l.dial()
		var err error
		for err == nil {
			_, err = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		}
		if took := time.Since(began); took > 6*time.Second {
			t.Errorf("ended after %v", took)
		}
		conn.Close()
		server.Close()
		<-served
	})
}

// However many peers connect and send nothing, a client is served at once, and the number of connections stays within the
// limit.
func TestSilentPeersDoNotBlockClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 8
		r := newTestRelay(t)
		r.hasList.Store(true)
		l, server := newPipeListener(), r.newServer()
		cl := newClientListener(l, r.log, most)
		server.ConnState = cl.connStateChanged
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(cl) }()
		ask := func(conn net.Conn) time.Duration {
			began := time.Now()
			go io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("after %v: %v", time.Since(began), err)
			}
			return time.Since(began)
		}
		client := l.dial()
		ask(client)
		var conns []net.Conn
		for range 10 * most {
			conns = append(conns, l.dial())
			time.Sleep(100 * time.Millisecond) // the limit is reached after 700 ms
			synctest.Wait()
			cl.mu.Lock()
			if n := len(cl.conns); n > most {
				t.Errorf("%d connections held", n)
			}
			cl.mu.Unlock()
		}
		fresh := l.dial()
		if took := ask(fresh); took > 0 {
			t.Errorf("a new client waited %v", took)
		}
		if took := ask(client); took > 0 {
			t.Errorf("a known client waited %v", took)
		}
		for _, conn := range append(conns, client, fresh) {
			conn.Close()
		}
		server.Close()
		<-served
	})
}

// A request with an unexpected query comes from an unknown sender and may use the id of a client's message. It must not be
// accepted instead of the client's message.
func TestUnknownQueryIsRejected(t *testing.T) {
	for _, c := range []struct {
		query   string
		ordered bool
		want    int
	}{
		{"", false, http.StatusAccepted},
		{"", true, http.StatusAccepted},
		{"?key=a", true, http.StatusAccepted},
		{"?key=a", false, http.StatusBadRequest},
		{"?", false, http.StatusBadRequest},
		{"?key=a&v=a", true, http.StatusBadRequest},
		{"?key=a&key=b", true, http.StatusBadRequest},
		{"?v=a", true, http.StatusBadRequest},
		{"?key=%zz", true, http.StatusBadRequest},
	} {
		r := newTestRelay(t)
		r.names.Load().classes["order"].terms.Ordered = c.ordered
		req := submissionRequest(t.Context(), "m1")
		target, err := req.URL.Parse("/order" + c.query)
		if err != nil {
			t.Fatal(err)
		}
		req.URL = target
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.newServer().Handler.ServeHTTP(w, req)
		}()
		if c.want == http.StatusAccepted {
			r.step([]any{<-r.events})
		}
		<-done
		if w.Code != c.want || c.want != http.StatusAccepted && len(r.msgs) > 0 {
			t.Errorf("%q, ordered %v: status %d, %d messages held", c.query, c.ordered, w.Code, len(r.msgs))
		}
	}
}
