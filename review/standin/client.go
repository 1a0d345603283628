package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one try.
type answer struct {
	id       string
	status   int // 0: the connection ended without an answer
	stamp    string
	body     string
	complete bool // the whole answer came, as its framing tells
	err      error
	sentAt   time.Time
	took     time.Duration
	server   string // Server address
}

// kept is a kept connection of a client to a relay.
type kept struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// open opens a connection; a new connection gets one second.
func open(address string) (*kept, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{address: address, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// newID returns the id of a new try.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request with the given lines of the head behind the usual ones, and reads its answer. closing tells that the relay
// closes the connection, or that it has ended.
func (k *kept) send(host, path, extra string, body []byte, deadline time.Duration) (a answer, closing bool) {
	a = answer{id: newID(), sentAt: time.Now(), server: k.address}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		path, host, a.id, deadline.Milliseconds(), extra, len(body))
	k.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	defer func() { a.took = time.Since(a.sentAt) }()
	if _, a.err = k.conn.Write(append([]byte(head), body...)); a.err != nil {
		return a, true
	}
	response, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a, true
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	text, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(text), err, err == nil
	return a, err != nil || response.Close
}
