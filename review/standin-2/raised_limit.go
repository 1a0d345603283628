package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// The operator raises maxHeaderBytes. Clients with connections from before send requests that the new configuration permits.
const limitConfig = `{"generation":%d,
"routes":[{"name":"r-read","host":"small.example","pathPrefix":"/read/","kind":"safe","timeoutMs":3000,"targetMs":300,"priority":1,"backend":"register","retries":2,"homeRegions":[]}],
"backends":[{"name":"register","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"warmupS":0.0,"warmupPerS":0.0}],
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	lowLimit    = 16 << 10
	highLimit   = 64 << 10
	largeHeader = 40 << 10
	connections = 30 // kept by the clients, over all relays
)

// keptClient is a client's connection to a relay.
type keptClient struct {
	system *system
	zone   int
	name   string
	conn   net.Conn
	reader *bufio.Reader
	number int
}

func (k *keptClient) connect() (err error) {
	if k.conn, err = net.Dial("tcp4", k.system.front(k.zone)); err == nil {
		k.reader = bufio.NewReader(k.conn)
	}
	return err
}

// send sends one request with a header of some size, and returns the status of the answer; 0: none came.
func (k *keptClient) send(headerBytes int) int {
	k.number++
	id := fmt.Sprintf("%s-%d", k.name, k.number)
	k.conn.SetDeadline(time.Now().Add(3 * time.Second))
	k.system.record.add("client: request %s with a header of %d bytes to relay-%d", id, headerBytes, k.zone+1)
	fmt.Fprintf(k.conn, "GET /read/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Context: %s\r\n\r\n",
		host, id, strings.Repeat("c", headerBytes))
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.system.record.add("client: %s got no answer: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	k.system.record.add("client: %s got %d, stamp %s", id, response.StatusCode, response.Header.Get("X-Server-Stamp"))
	return response.StatusCode
}

func playRaisedLimit(s *system, trouble bool) (bool, error) {
	first := lowLimit
	if !trouble {
		first = highLimit // the limit is what it will be; the second configuration changes nothing but its number
	}
	if err := s.start(fmt.Sprintf(limitConfig, 3, first)); err != nil {
		return false, err
	}
	for i := range zones {
		server := &endpoint{id: fmt.Sprintf("i-register-%d", i+1), service: "register", zone: zones[i].zone,
			address: s.ip(101+i) + ":8080", record: s.record, work: 10 * time.Millisecond,
			controls: []string{s.control(0), s.control(1), s.control(2)}}
		if err := server.open(); err != nil {
			return false, err
		}
		defer server.close()
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // calm, longer than contactMs
	total := 0
	var clients []*keptClient
	for i := range connections {
		c := &keptClient{system: s, zone: i % len(zones), name: fmt.Sprintf("c%02d", i)}
		if err := c.connect(); err != nil {
			return false, err
		}
		defer func() { c.conn.Close() }()
		clients = append(clients, c)
		if status := c.send(100); status != 200 {
			return false, fmt.Errorf("a small request was answered with %d", status)
		}
		total++
	}
	operator := &operator{system: s}
	acknowledged, err := operator.order(0, "PUT", "/config", fmt.Sprintf(limitConfig, 5, highLimit), map[string]string{"If-Match": "3"})
	if err != nil {
		return false, err
	}
	s.record.say("maxHeaderBytes is %d from now on", highLimit)
	for range 4 { // the connections stay in use: no rest reaches idleTimeoutMs
		time.Sleep(time.Second)
		for _, c := range clients {
			if status := c.send(100); status != 200 {
				return false, fmt.Errorf("a small request was answered with %d", status)
			}
			total++
		}
	}
	time.Sleep(time.Until(acknowledged.Add(applyBound + time.Second)))
	denied := 0
	for round := range 5 {
		for _, c := range clients {
			status := c.send(largeHeader)
			total++
			if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
				denied++
			}
			if status != 200 {
				c.conn.Close()
				if err := c.connect(); err != nil {
					return false, err
				}
			}
		}
		s.record.add("round %d: %d requests were denied so far", round+1, denied)
	}
	allowed := 5 + total/500
	s.record.say("%d of %d requests were ended with a 4xx of the relay's own; the rule allows %d", denied, total, allowed)
	return denied > allowed, nil
}
