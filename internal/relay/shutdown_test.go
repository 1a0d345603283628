package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"wallflow/policy"
)

// gatedConn is a connection that can delay the reader between the read and its return, as a thread may be delayed at any
// point.
type gatedConn struct {
	net.Conn
	gotData chan struct{} // a read has returned data
	resume  chan struct{}
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.gotData != nil {
		select {
		case c.gotData <- struct{}{}:
			<-c.resume
		default:
		}
	}
	return n, err
}

// runShutdown calls run with a relay whose loop and listener are running, in a synctest bubble. end starts its shutdown.
func runShutdown(t *testing.T, run func(r *Relay, l *pipeListener, end func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		r.hasList.Store(true)
		l, server := newPipeListener(), r.newServer()
		r.clients = newClientListener(l, r.log, 16)
		r.clients.trackServer(server)
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(r.clients) }()
		ctx, stop := context.WithCancel(context.Background())
		go r.loop(ctx)
		run(r, l, func() { r.post(policy.Ending); synctest.Wait(); time.Sleep(30 * time.Millisecond) })
		<-r.exit
		r.clients.finish(lastAnswersTimeout)
		server.Close()
		stop()
		<-r.loopDone
		<-served
	})
}

// submissionText returns a whole request that submits a message.
func submissionText(id string) string { return submissionHeader(id) + "Content-Length: 2\r\n\r\nhi" }

// readAnswer reads an answer. The status is 0 if the connection ended without one.
func readAnswer(t *testing.T, c net.Conn) (status int, connClose bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return 0, true
	} else if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, res.Close
}

// A request of which at least one byte was read before the shutdown began is answered, on a new or a reused connection. If
// nothing had arrived, a reused connection is closed, and the client sends its request again elsewhere; a new one
// is closed only after some time.
func TestRequestDuringShutdownIsAnswered(t *testing.T) {
	whole := submissionText("m1")
	head := len(whole) - len("hi")
	for name, c := range map[string]struct {
		kept   bool // the connection has already carried an answer
		before int  // bytes of the request sent before the shutdown begins
		after  int  // offset up to which the rest is sent afterwards
		want   int  // status; 0: no answer
	}{
		"reused, nothing":       {true, 0, 0, 0},
		"reused, one byte":      {true, 1, len(whole), 202},
		"reused, half a header": {true, 40, len(whole), 202},
		"reused, a header":      {true, head, len(whole), 202},
		"reused, half a body":   {true, head + 1, len(whole), 202},
		"reused, complete":      {true, len(whole), len(whole), 202},
		"new, one byte":         {false, 1, len(whole), 202},
		"new, half a header":    {false, 40, len(whole), 202},
		"new, a header":         {false, head, len(whole), 202},
		"new, complete":         {false, len(whole), len(whole), 202},
		"new, nothing yet":      {false, 0, len(whole), 202},
		"new, nothing for long": {false, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runShutdown(t, func(r *Relay, l *pipeListener, end func()) {
				conn := l.dial()
				defer conn.Close()
				if c.kept {
					go io.WriteString(conn, submissionText("m0"))
					if status, closes := readAnswer(t, conn); status != http.StatusAccepted || closes {
						t.Fatalf("before the shutdown: %d, closes %v", status, closes)
					}
				}
				io.WriteString(conn, whole[:c.before])
				end()
				go io.WriteString(conn, whole[c.before:c.after])
				status, closes := readAnswer(t, conn)
				if status != c.want || !closes {
					t.Errorf("answered %d, wanted %d; closes %v", status, c.want, closes)
				}
			})
		})
	}
}

// A shutdown closes idle connections just when the server has read a request on one of them but not reported it yet. The
// request must still be answered.
func TestShutdownKeepsConnectionWithRequestJustRead(t *testing.T) {
	runShutdown(t, func(r *Relay, l *pipeListener, end func()) {
		here, there := net.Pipe()
		h := &gatedConn{Conn: there}
		l.conns <- h
		defer here.Close()
		go io.WriteString(here, submissionText("m0"))
		if status, _ := readAnswer(t, here); status != http.StatusAccepted {
			t.Fatalf("before the shutdown: %d", status)
		}
		synctest.Wait()
		h.gotData, h.resume = make(chan struct{}), make(chan struct{})
		go io.WriteString(here, submissionText("m1"))
		<-h.gotData
		end()
		close(h.resume)
		if status, closes := readAnswer(t, here); status != http.StatusAccepted || !closes {
			t.Errorf("answered %d, closes %v", status, closes)
		}
	})
}

// A request that was complete just before the process exits is answered before its connection closes.
func TestLastAnswersAreSentBeforeConnectionsClose(t *testing.T) {
	serveClients(t, 4, func(r *Relay, l *pipeListener, cl *clientListener) {
		conn := l.dial()
		go io.WriteString(conn, submissionText("m1"))
		sub := <-r.events // not handled yet
		stepped := make(chan struct{})
		go func() {
			defer close(stepped)
			time.Sleep(lastAnswersTimeout / 2)
			r.step([]any{sub})
		}()
		finished := make(chan struct{})
		go func() { defer close(finished); cl.finish(lastAnswersTimeout) }()
		status, _ := readAnswer(t, conn)
		if status != http.StatusAccepted {
			t.Errorf("answered %d", status)
		}
		conn.Close()
		<-finished
		<-stepped // what the test cleans up is in use until then
	})
}
