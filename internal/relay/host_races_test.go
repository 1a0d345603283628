package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"wallflow/policy"
)

// The tests of this file force races between calls and events on their connections. The test plays the host on a plain
// socket, and connections can delay the relay's reads, as a thread may be delayed at any point.

// gatedReader is a connection whose reads can be held until release is called.
type gatedReader struct {
	*net.TCPConn
	mu   sync.Mutex
	gate chan struct{} // nil: reads are not held
}

func (c *gatedReader) hold() { c.mu.Lock(); c.gate = make(chan struct{}); c.mu.Unlock() }

func (c *gatedReader) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil {
		close(c.gate)
		c.gate = nil
	}
}

// gatedRawConn is the raw socket of a gatedReader.
type gatedRawConn struct {
	syscall.RawConn
	c *gatedReader
}

func (c *gatedReader) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return gatedRawConn{raw, c}, err
}

func (r gatedRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.c.mu.Lock()
		gate := r.c.gate
		r.c.mu.Unlock()
		if gate != nil {
			<-gate
		}
		return f(fd)
	})
}

func (c *gatedReader) Close() error { c.release(); return c.TCPConn.Close() }

// dialGated makes a pool dial connections that hold their reads, and sends each to the channel.
func dialGated(h *hostPool, dialed chan *gatedReader) {
	h.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &gatedReader{TCPConn: conn.(*net.TCPConn)}
		c.hold() // including the first read
		dialed <- c
		return wrapHostConn(ctx, c), nil
	}
}

// The host closes or resets a pooled connection, or sends data on it, just before a call uses it and before net/http's
// reader has noticed. The call must not be written to that connection but to another one, and the early data must not be
// taken for its answer.
func TestPooledConnectionEndsBeforeRequest(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, hostAction := range map[string]func(conn *net.TCPConn){
		"FIN":         func(conn *net.TCPConn) { conn.CloseWrite() },
		"closed":      func(conn *net.TCPConn) { conn.Close() },
		"RST":         func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"half a line": func(conn *net.TCPConn) { io.WriteString(conn, "HTTP/1.1 20") },
		"an answer":   func(conn *net.TCPConn) { io.WriteString(conn, ok) },
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan *net.TCPConn, 2)
			addr, requests := newRawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, map[bool]string{true: ok, false: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}[n == 1])
				conns <- conn.(*net.TCPConn)
				return true
			})
			h := testHosts(t, testConfig())
			dialed := make(chan *gatedReader, 2)
			dialGated(h, dialed)
			firstDialed := make(chan *gatedReader, 1)
			go func() {
				c := <-dialed
				c.release()
				firstDialed <- c
				(<-dialed).release() // the second connection
			}()
			if r := h.makeCall(t.Context(), newCall(addr, "a"), clearAll); r[0].outcome != policy.OK {
				t.Fatalf("first call: %v", r[0].outcome)
			}
			if len(h.idle[addr]) != 1 {
				t.Fatalf("%d connections pooled after the first call", len(h.idle[addr]))
			}
			// Not before the first answer has been read completely: holding reads earlier could keep that answer from the call.
			(<-firstDialed).hold()
			first := h.idle[addr][0].ClientConn
			eventually(t, "the reader has started its next read", func() bool {
				line := h.hostConns[first]
				line.mu.Lock()
				defer line.mu.Unlock()
				return line.reading
			})
			hostAction(<-conns)
			eventually(t, "the host's action has arrived", func() bool { came, ended := peekInput(h.hostConns[first].raw); return came || ended })
			r := h.makeCall(t.Context(), newCall(addr, "b"), clearAll)
			if r[0].outcome != policy.Error {
				t.Errorf("second call: outcome %v, want that of a 500", r[0].outcome)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d requests seen", n)
			}
		})
	}
}

// If net/http has not consumed the previous answer, a rest of it may be left, and the connection must not carry another
// request. The same holds if data was read before the request, and that data must not be taken for its answer.
func TestRemainderOfAnswerIsNotTakenForNextAnswer(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	go io.Copy(io.Discard, there)
	c := wrapHostConn(t.Context(), here)
	if c.beginRequest(time.Time{}) {
		t.Error("usable although the previous answer was not consumed")
	}
	read := make(chan error, 1)
	go func() { _, err := c.Read(make([]byte, 99)); read <- err }()
	if !c.beginRequest(time.Time{}) {
		t.Error("not usable although the previous answer was consumed")
	}
	io.WriteString(there, "HTTP/1.1 200 OK")
	if err := <-read; !errors.Is(err, errStale) {
		t.Errorf("read: %v", err)
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errStale) || !c.writeFailed() || c.answersRequest() || c.statusOK() {
		t.Errorf("written %d, %v", n, err)
	}
}

// A host's connection ends at various points of a call, by a FIN or an RST. A request that was not written completely has
// not run; otherwise it may have run, unless the answer says more. A status line with 200 counts, whatever follows it.
func TestConnectionEndsDuringCall(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n[]"
	for name, c := range map[string]struct {
		reads string // how much of the request the host reads: "some" or "all"
		says  string
		want  policy.Outcome
	}{
		"after a part of the request":           {"some", "", policy.ConnectFailed},
		"after all of it":                       {"all", "", policy.Reset},
		"after a part of the first line":        {"all", "HTTP/1.1 20", policy.Reset},
		"after the first line":                  {"all", answer[:20], policy.OK},
		"after the head":                        {"all", answer[:len(answer)-2], policy.OK},
		"after a part of the body":              {"all", answer, policy.OK},
		"after the first line of an error":      {"all", "HTTP/1.1 500 x\r\n", policy.Reset},
		"after a part of a refusal's head":      {"all", "HTTP/1.1 503 x\r\nRetry-Af", policy.Reset},
		"after a refusal's head, short of body": {"all", "HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\n", policy.Full},
	} {
		for _, rst := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", RST", false: ", FIN"}[rst], func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				h := testHosts(t, testConfig())
				m := newCall(l.Addr().String(), "a")
				m.attempts[0].msg.Body = make([]byte, 60<<10)
				if c.reads == "some" { // larger than the socket buffers
					m.attempts[0].msg.Body = make([]byte, 64<<20)
				}
				var host sync.WaitGroup
				host.Go(func() {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					defer conn.Close()
					if c.reads == "some" {
						io.ReadFull(conn, make([]byte, 100))
					} else {
						req, _ := http.ReadRequest(bufio.NewReader(conn))
						io.Copy(io.Discard, req.Body)
					}
					io.WriteString(conn, c.says)
					if rst && c.says != "" { // let the bytes arrive before the reset
						time.Sleep(20 * time.Millisecond)
					}
					if rst {
						conn.(*net.TCPConn).SetLinger(0)
					}
				})
				if r := h.makeCall(t.Context(), m, clearAll); r[0].outcome != c.want {
					t.Errorf("outcome %v, wanted %v", r[0].outcome, c.want)
				}
				host.Wait()
				if n := h.count(); n != 0 {
					t.Errorf("%d connections open", n)
				}
			})
		}
	}
}

// If the system rejects the write of a request, its message has not run, even though net/http reports it as written.
func TestFailedWriteCountsAsNotSent(t *testing.T) {
	addr, requests := newRawHost(t, func(int, net.Conn, *http.Request) bool { return true })
	h := testHosts(t, testConfig())
	h.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return wrapHostConn(ctx, failingWriter{conn}), nil
	}
	c := newCall(addr, "a")
	if r := h.makeCall(t.Context(), c, clearAll); r[0].outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests seen", n)
	}
}

type failingWriter struct{ net.Conn }

func (failingWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A repeat must not be sent if its deduplication window ends between the decision and the first byte, neither on a pooled
// connection nor on a new one. While the window is open it is sent.
func TestRepeatIsSentOnlyWithinDeduplicationWindow(t *testing.T) {
	addr, requests := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := testHosts(t, testConfig())
	for i, want := range []policy.Outcome{policy.Moot, policy.OK, policy.Moot, policy.OK} {
		c := newCall(addr, "a")
		if c.writeBy = time.Now().Add(testTimeout); want == policy.Moot {
			c.writeBy = time.Now().Add(-time.Millisecond)
		}
		if r := h.makeCall(t.Context(), c, clearAll); r[0].outcome != want {
			t.Errorf("call %d: %v, wanted %v", i, r[0].outcome, want)
		}
		if n := int(requests.Load()); n != (i+1)/2 {
			t.Errorf("after call %d: %d requests", i, n)
		}
	}
}

// For any descriptor limit, connections of all kinds and the reserved descriptors fit into it together.
func TestConnLimitsFitDescriptorLimit(t *testing.T) {
	for n := minSockets; n <= 4096; n++ {
		d := connLimitsFor(n)
		if sum := d.clients + d.hosts + d.mgmt + reservedDescriptors; sum > n || min(d.clients, d.hosts, d.mgmt) < 1 || d.clients < n/8 {
			t.Fatalf("%d descriptors: %+v and %d reserved", n, d, reservedDescriptors)
		}
	}
}

// If the connection for a notice has fallen silent, the notice is delivered on another one within its limit of 300 ms.
func TestSilentConnectionDoesNotDelayNotice(t *testing.T) {
	addr, _ := newRawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n != 2 { // the first is answered, the second falls silent
			io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
		return true
	})
	accepted := make(chan []uint32, 9)
	f := newNoticeSender(discardLogger(), newAgentClient(), addr, func(ids []uint32) { accepted <- ids })
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.run(ctx) }()
	for id := range uint32(2) {
		began := time.Now()
		f.add(notice{messageID: id, ID: "x", Status: "undeliverable"})
		select {
		case <-accepted:
		case <-time.After(testTimeout):
			t.Fatal("never accepted")
		}
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("notice %d: accepted after %v", id, took)
		}
	}
	stop()
	<-done
}
