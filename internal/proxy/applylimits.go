package proxy

import (
	"time"

	"wallflow/internal/config"
)

// supersededCloseDuration is the time over which idle connections with previous timeouts are closed, so that their clients do not all
// connect anew at once.
const supersededCloseDuration = time.Second

// ApplyLimits sets the limits on request heads and on the time that clients may take. The limit on the size of heads holds at once for all
// connections. New connections get the timeouts at once; those that are open are closed without losing a request if the timeouts differ:
// idle ones within supersededCloseDuration, the others after the response that is under way. The limit on body size is taken from
// the current configuration for each request.
func (s *Server) ApplyLimits(limits config.Limits) {
	s.acceptor.maxHeadBytes.Store(maxHeadBytes(limits))
	s.mu.Lock()
	defer s.mu.Unlock()
	requested := clientTimeoutsFrom(limits)
	previous := s.active
	if previous != nil && previous.timeouts == requested {
		return
	}
	s.active = newTimedServer(requested, s)
	if previous == nil {
		return
	}
	previous.superseded.Store(true)
	previous.Close() // its open connections are served to their end
	if !s.closingSuperseded {
		s.closingSuperseded = true
		go s.closeSuperseded()
	}
}

// maxHeadBytes returns the configured limit on request heads, or the default if it is not set.
func maxHeadBytes(limits config.Limits) int64 {
	if limits.MaxHeaderBytes <= 0 {
		return defaultHeaderBytes
	}
	return int64(limits.MaxHeaderBytes)
}

// assign selects the server with the current timeouts for a connection.
func (s *Server) assign(c *client) *timedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.setServer(s.active)
	return s.active
}

// closeSuperseded closes the connections that have previous timeouts as they become idle, and returns when none is left.
func (s *Server) closeSuperseded() {
	const rounds = int(supersededCloseDuration / idleCheckInterval)
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	most := 0 // connections seen in one round, to spread the closing
	for !s.supersededClosed() {
		open := s.acceptor.countSuperseded()
		most = max(most, open)
		s.acceptor.expireSuperseded((most + rounds - 1) / rounds)
		<-ticker.C
	}
}

// supersededClosed reports whether no connection with previous timeouts is open, in which case closeSuperseded ends.
func (s *Server) supersededClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closingSuperseded = s.acceptor.countSuperseded() > 0
	return !s.closingSuperseded
}

// countSuperseded returns the number of open connections that have previous timeouts, and 0 once closeAll was called.
func (a *acceptor) countSuperseded() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0
	}
	count := 0
	for c := range a.clients {
		if c.isSuperseded() {
			count++
		}
	}
	return count
}

// expireSuperseded makes up to limit idle connections end that have previous timeouts.
func (a *acceptor) expireSuperseded(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for c := range a.clients {
		if limit == 0 {
			return
		}
		if !c.isSuperseded() {
			continue
		}
		if idle, _ := c.idleSince(now); idle && c.expireIfIdle() {
			limit--
		}
	}
}

// setServer sets the server that serves the connection.
func (c *client) setServer(assigned *timedServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = assigned
}

// isSuperseded reports whether the timeouts of the connection are no longer the current ones.
func (c *client) isSuperseded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server != nil && c.server.superseded.Load()
}
