package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// serveClients serves a test relay's clients through a listener with a limit of maxConns, in a synctest bubble. The loop
// does not run: the test handles the events.
func serveClients(t *testing.T, maxConns int, run func(r *Relay, l *pipeListener, cl *clientListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		r.hasList.Store(true)
		l, server := newPipeListener(), r.newServer()
		cl := newClientListener(l, r.log, maxConns)
		cl.trackServer(server)
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(cl) }()
		run(r, l, cl)
		server.Close()
		<-served
	})
}

// Many peers connect and send incomplete requests. A client on a new connection is still served within its 400 ms, and so
// is a client that takes over 2 s to send its request in pieces meanwhile.
func TestIncompleteRequestsDoNotBlockClients(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":     "",
		"half a line": "POST /order HT",
		"health":      "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n",
		"no body":     submissionHeader("stranger") + "Content-Length: 10\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			serveClients(t, 16, func(r *Relay, l *pipeListener, cl *clientListener) {
				var peers []net.Conn
				health := "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
				slow, slowDone := l.dial(), make(chan error, 1)
				go func() {
					for i := range len(health) - 1 {
						io.WriteString(slow, health[i:i+1])
						time.Sleep(2200 * time.Millisecond / time.Duration(len(health)))
					}
					io.WriteString(slow, health[len(health)-1:])
				}()
				go func() {
					_, err := http.ReadResponse(bufio.NewReader(slow), nil)
					slowDone <- err
				}()
				for i := range 240 { // 100 per second for 16 connections
					here, there := net.Pipe()
					peers = append(peers, here)
					go func() { // fails if the connection is evicted
						select {
						case l.conns <- there:
						case <-l.done:
							there.Close()
						}
						io.WriteString(here, text)
						io.Copy(io.Discard, here)
					}()
					time.Sleep(10 * time.Millisecond)
					if i%20 != 19 {
						continue
					}
					began := time.Now()
					client := l.dial()
					go io.WriteString(client, health)
					if res, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || res.StatusCode != http.StatusOK {
						t.Errorf("client %d: %v", i, err)
					}
					if took := time.Since(began); took > 300*time.Millisecond {
						t.Errorf("client %d waited %v", i, took)
					}
					client.Close()
				}
				if err := <-slowDone; err != nil {
					t.Errorf("the slow client: %v", err)
				}
				for _, conn := range append(peers, slow) {
					conn.Close()
				}
			})
		})
	}
}

// A connection with a complete request is not closed to make room for others, however long its answer takes.
func TestCompleteRequestIsNotEvicted(t *testing.T) {
	serveClients(t, 2, func(r *Relay, l *pipeListener, cl *clientListener) {
		client := l.dial()
		go io.WriteString(client, submissionHeader("m1")+"Content-Length: 2\r\n\r\nhi")
		sub := <-r.events // not handled yet: the client waits for its answer
		var peers []net.Conn
		for range 10 {
			peers = append(peers, l.dial())
			time.Sleep(200 * time.Millisecond)
		}
		r.step([]any{sub})
		if res, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || res.StatusCode != http.StatusAccepted {
			t.Errorf("answered %v, %v", res, err)
		}
		for _, conn := range append(peers, client) {
			conn.Close()
		}
	})
}
