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

// Two things that meet at the wrong instant, forced: the peer is the test's own socket, and a connection holds the reader up
// where a thread may stand.

// heldReader is a connection whose next reads wait until they are let go, whatever has come.
type heldReader struct {
	*net.TCPConn
	mu   sync.Mutex
	gate chan struct{} // nil: reads go on
}

func (c *heldReader) hold() { c.mu.Lock(); c.gate = make(chan struct{}); c.mu.Unlock() }

func (c *heldReader) letGo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate != nil {
		close(c.gate)
		c.gate = nil
	}
}

// heldRaw is its socket.
type heldRaw struct {
	syscall.RawConn
	c *heldReader
}

func (c *heldReader) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return heldRaw{raw, c}, err
}

func (r heldRaw) Read(f func(fd uintptr) bool) error {
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

func (c *heldReader) Close() error { c.letGo(); return c.TCPConn.Close() }

// heldDial has a test's connections be held where the test says; the last one is sent on.
func heldDial(h *hosts, held chan *heldReader) {
	h.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &heldReader{TCPConn: conn.(*net.TCPConn)}
		c.hold() // from the first read on
		held <- c
		return keepLine(ctx, c), nil
	}
}

// A kept connection is closed, reset or spoilt by the host as a call takes it: the library's reader has not run since. Nothing of
// the call is written there, and it is made on the next connection. No byte that came before it is its answer.
func TestACallMeetsTheEndOfAKeptConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, end := range map[string]func(conn *net.TCPConn){
		"FIN":         func(conn *net.TCPConn) { conn.CloseWrite() },
		"closed":      func(conn *net.TCPConn) { conn.Close() },
		"RST":         func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"half a line": func(conn *net.TCPConn) { io.WriteString(conn, "HTTP/1.1 20") },
		"an answer":   func(conn *net.TCPConn) { io.WriteString(conn, ok) },
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan *net.TCPConn, 2)
			addr, requests := rawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, map[bool]string{true: ok, false: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"}[n == 1])
				conns <- conn.(*net.TCPConn)
				return true
			})
			h := testHosts(t, testConfig())
			held := make(chan *heldReader, 2)
			heldDial(h, held)
			firstHeld := make(chan *heldReader, 1)
			go func() {
				c := <-held
				c.letGo()
				firstHeld <- c
				(<-held).letGo() // the second connection
			}()
			if r := h.do(t.Context(), newCall(addr, "a"), yes); r[0].outcome != policy.OK {
				t.Fatalf("first call: %v", r[0].outcome)
			}
			if len(h.idle[addr]) != 1 {
				t.Fatalf("%d connections kept after the first call", len(h.idle[addr]))
			}
			// Only now, since the first answer has been read whole: a hold set any sooner could keep that answer from the call.
			(<-firstHeld).hold()
			first := h.idle[addr][0].ClientConn
			eventually(t, "the reader is at its next read", func() bool {
				line := h.lines[first]
				line.mu.Lock()
				defer line.mu.Unlock()
				return line.reading
			})
			end(<-conns)
			eventually(t, "what the host did has come", func() bool { came, ended := pending(h.lines[first].raw); return came || ended })
			r := h.do(t.Context(), newCall(addr, "b"), yes)
			if r[0].outcome != policy.Error {
				t.Errorf("second call: %v, answered 500", r[0].outcome)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d requests seen", n)
			}
		})
	}
}

// Where the reader has not come back from the answer before, something of it is left: the connection carries nothing more. Nor
// does it once something was read before the request, and what was read is no answer to it.
func TestARestOfAnAnswerIsNotTheNextOne(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	go io.Copy(io.Discard, there)
	c := keepLine(t.Context(), here)
	if c.begin(time.Time{}) {
		t.Error("nobody reads on, and it is clean")
	}
	read := make(chan error, 1)
	go func() { _, err := c.Read(make([]byte, 99)); read <- err }()
	if !c.begin(time.Time{}) {
		t.Error("all was read, and it is not clean")
	}
	io.WriteString(there, "HTTP/1.1 200 OK")
	if err := <-read; !errors.Is(err, errStale) {
		t.Errorf("read: %v", err)
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errStale) || !c.cut() || c.answers() || c.ok() {
		t.Errorf("written %d, %v", n, err)
	}
}

// A call's connection ends at each moment, once by a FIN and once by an RST: what was not written whole never ran, and on doubt it
// may have run. A first line that says 200 is true, whatever follows.
func TestACallsConnectionEndsAtAnyMoment(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n[]"
	for name, c := range map[string]struct {
		reads string // how much of the request: "", "some" or "all"
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
				m.attempts[0].m.Body = make([]byte, 60<<10)
				if c.reads == "some" { // more than the buffers between hold
					m.attempts[0].m.Body = make([]byte, 64<<20)
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
					if rst && c.says != "" { // the bytes come first
						time.Sleep(20 * time.Millisecond)
					}
					if rst {
						conn.(*net.TCPConn).SetLinger(0)
					}
				})
				if r := h.do(t.Context(), m, yes); r[0].outcome != c.want {
					t.Errorf("outcome %v, wanted %v", r[0].outcome, c.want)
				}
				host.Wait()
				if n := h.count(); n != 0 {
					t.Errorf("%d connections kept", n)
				}
			})
		}
	}
}

// A write that the system turns down has not left: its call never ran, though the library had handed it over whole.
func TestAWriteThatFailsNeverRan(t *testing.T) {
	addr, requests := rawHost(t, func(int, net.Conn, *http.Request) bool { return true })
	h := testHosts(t, testConfig())
	h.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return keepLine(ctx, deafWriter{conn}), nil
	}
	c := newCall(addr, "a")
	if r := h.do(t.Context(), c, yes); r[0].outcome != policy.ConnectFailed {
		t.Errorf("outcome %v", r[0].outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests seen", n)
	}
}

type deafWriter struct{ net.Conn }

func (deafWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A repeat whose deduplication window ends between the decision and its first byte does not leave, on a kept connection or a new
// one; one whose window is open does.
func TestARepeatLeavesInsideItsWindowOnly(t *testing.T) {
	addr, requests := rawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	h := testHosts(t, testConfig())
	for i, want := range []policy.Outcome{policy.Moot, policy.OK, policy.Moot, policy.OK} {
		c := newCall(addr, "a")
		if c.leaveBy = time.Now().Add(patience); want == policy.Moot {
			c.leaveBy = time.Now().Add(-time.Millisecond)
		}
		if r := h.do(t.Context(), c, yes); r[0].outcome != want {
			t.Errorf("call %d: %v, wanted %v", i, r[0].outcome, want)
		}
		if n := int(requests.Load()); n != (i+1)/2 {
			t.Errorf("after call %d: %d requests", i, n)
		}
	}
}

// Whatever the limit, the connections of all kinds and the process's own descriptors fit into it together.
func TestDescriptorsFitTheLimit(t *testing.T) {
	for n := leastSockets; n <= 4096; n++ {
		d := shares(n)
		if sum := d.clients + d.hosts + d.mgmt + ownDescriptors; sum > n || min(d.clients, d.hosts, d.mgmt) < 1 || d.clients < n/8 {
			t.Fatalf("%d descriptors: %+v and %d of the process's own", n, d, ownDescriptors)
		}
	}
}

// A notice whose connection has fallen silent is with the platform on another one within the 300 ms that it has.
func TestASilentConnectionHoldsNoNoticeUp(t *testing.T) {
	addr, _ := rawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n != 2 { // the first is answered, the second falls silent
			io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
		return true
	})
	taken := make(chan []uint32, 9)
	f := newFinals(quiet(), newAgentClient(), addr, func(ids []uint32) { taken <- ids })
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() { defer close(ran); f.run(ctx) }()
	for id := range uint32(2) {
		began := time.Now()
		f.add(notice{id: id, ID: "x", Status: "undeliverable"})
		select {
		case <-taken:
		case <-time.After(patience):
			t.Fatal("never taken")
		}
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("notice %d: taken after %v", id, took)
		}
	}
	stop()
	<-ran
}
