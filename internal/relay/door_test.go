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

// crowd serves a door of so many places whose relay's loop takes hand-ins in after a while.
func crowd(t *testing.T, most int, run func(r *Relay, l *pipeListener, d *door)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		r.listed.Store(true)
		l, server := newPipeListener(), r.newServer()
		d := newDoor(l, r.log, most)
		d.follow(server)
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(d) }()
		run(r, l, d)
		server.Close()
		<-served
	})
}

// Whatever strangers leave half-written, in the head or in the body, a client that comes on a new connection is
// served within its 400 ms, and so is one that sends its request in pieces for over 2 s meanwhile.
func TestHalfWrittenRequestsKeepNoClientOut(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":     "",
		"half a head": "POST /order HT",
		"health":      "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n",
		"no body":     handInHead("stranger") + "Content-Length: 10\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			crowd(t, 16, func(r *Relay, l *pipeListener, d *door) {
				var strangers []net.Conn
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
				for i := range 240 { // 100 a second, 16 places, and all queue for them
					here, there := net.Pipe()
					strangers = append(strangers, here)
					go func() { // fails where the connection is closed for another
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
				for _, conn := range append(strangers, slow) {
					conn.Close()
				}
			})
		})
	}
}

// A connection with a whole request on it makes room for nobody, however long its answer takes.
func TestAWholeRequestMakesNoRoom(t *testing.T) {
	crowd(t, 2, func(r *Relay, l *pipeListener, d *door) {
		client := l.dial()
		go io.WriteString(client, handInHead("m1")+"Content-Length: 2\r\n\r\nhi")
		in := <-r.events // and no step: the answer is owed
		var strangers []net.Conn
		for range 10 {
			strangers = append(strangers, l.dial())
			time.Sleep(200 * time.Millisecond)
		}
		r.step([]any{in})
		if res, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || res.StatusCode != http.StatusAccepted {
			t.Errorf("answered %v, %v", res, err)
		}
		for _, conn := range append(strangers, client) {
			conn.Close()
		}
	})
}
