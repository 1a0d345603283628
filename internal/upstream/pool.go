// Package upstream keeps a pool of connections to endpoints and sends HTTP requests on them. A connection carries one exchange at a
// time. A request is never written twice, and every error tells whether the request may have run.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"wallflow/internal/socket"
)

const (
	maxDialTimeout       = time.Second
	tcpKeepAliveIdle     = 5 * time.Second // until the first TCP keep-alive probe on a silent connection
	tcpKeepAliveInterval = 2 * time.Second
	tcpKeepAliveProbes   = 3 // unanswered probes after which the connection is closed
	defaultIdleTimeout   = 10 * time.Second
	defaultUserTimeout   = 6 * time.Second

	// An idle connection is reused for 4/5 of the timeout in the endpoint's Keep-Alive header, so that the endpoint does not close
	// it at the same moment.
	idleTimeoutNumerator   = 4
	idleTimeoutDenominator = 5
	keepAliveTimeoutPrefix = "timeout="
)

// Options are the settings of a Pool.
type Options struct {
	IdleTimeout time.Duration // for connections whose endpoint sends no keep-alive timeout; 0: 10 s
	UserTimeout time.Duration // how long sent bytes may remain unacknowledged (TCP_USER_TIMEOUT); 0: 6 s

	Dial func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	Now  func() time.Time                                            // nil: time.Now

	// OnConnect is called with the time that it took to connect to an instance. It may be nil.
	OnConnect func(instanceID string, took time.Duration)
}

// Target is an endpoint and the limits for connecting to it.
type Target struct {
	Address     string
	InstanceID  string
	MaxConns    int           // maximum number of open connections; 0: unlimited
	DialTimeout time.Duration // at most 1 s; 0: 1 s
}

// Stats holds counters since the start, and the current numbers of connections.
type Stats struct {
	Dials            uint64 // connection attempts
	DialFailures     uint64 // connection attempts that failed
	Reused           uint64 // exchanges on a reused connection
	Stale            uint64 // idle connections found expired, closed or with unexpected bytes when they were to be reused
	SkippedResponses uint64 // responses to other requests that were skipped
	Open             int    // connections that are idle, in use or being dialed
	Idle             int    // idle connections
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	options Options

	mu         sync.Mutex
	endpoints  map[string]*endpoint // by instance id
	lastNumber connectionNumber     // of the connections dialed so far
	stats      Stats
}

// endpoint holds the connections to one instance. Pool.mu guards it.
type endpoint struct {
	instanceID string
	idle       []*connection // the most recently used one is last
	openCount  int           // connections that are idle, in use or being dialed
	removed    bool          // connections in use are closed after their exchange
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.UserTimeout <= 0 {
		options.UserTimeout = defaultUserTimeout
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pool{options: options, endpoints: map[string]*endpoint{}}
}

// Stats returns the counters and current numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	for _, e := range p.endpoints {
		stats.Idle += len(e.idle)
	}
	return stats
}

// HasIdle reports whether there is an unexpired idle connection to an instance.
func (p *Pool) HasIdle(instanceID string) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[instanceID]
	return e != nil && slices.ContainsFunc(e.idle, func(c *connection) bool { return now.Before(c.expiresAt) })
}

// Forget closes the idle connections to an instance that no longer exists; those in use are closed after their exchange.
func (p *Pool) Forget(instanceID string) {
	p.mu.Lock()
	e := p.endpoints[instanceID]
	var idle []*connection
	if e != nil {
		e.removed = true
		idle = p.removeIdle(e)
		delete(p.endpoints, instanceID)
	}
	p.mu.Unlock()
	closeAll(idle)
}

// Sweep closes expired idle connections. It should be called about once a second.
func (p *Pool) Sweep() {
	now := p.options.Now()
	var expired []*connection
	p.mu.Lock()
	for id, e := range p.endpoints {
		remaining := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.expiresAt) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(e.idle[len(remaining):])
		p.countClosed(e, len(e.idle)-len(remaining))
		e.idle = remaining
		if e.openCount == 0 {
			delete(p.endpoints, id)
		}
	}
	p.mu.Unlock()
	closeAll(expired)
}

// Close closes all idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	var idle []*connection
	for id, e := range p.endpoints {
		e.removed = true
		idle = append(idle, p.removeIdle(e)...)
		delete(p.endpoints, id)
	}
	p.mu.Unlock()
	closeAll(idle)
}

// closeAll closes connections. It is called without the lock.
func closeAll(connections []*connection) {
	for _, c := range connections {
		c.Conn.Close()
	}
}

// removeIdle removes and returns all idle connections of an endpoint. The caller holds the lock and closes them.
func (p *Pool) removeIdle(e *endpoint) []*connection {
	idle := e.idle
	e.idle = nil
	p.countClosed(e, len(idle))
	return idle
}

// countClosed updates the counts for connections that are no longer open. The caller holds the lock.
func (p *Pool) countClosed(e *endpoint, count int) {
	e.openCount -= count
	p.stats.Open -= count
}

// acquire returns an idle connection that appears to be alive, or a new one.
func (p *Pool) acquire(ctx context.Context, target Target, request *Request) (*connection, error) {
	reserved, err := p.reserve(target, request)
	if err != nil {
		return nil, &Error{Kind: PoolExhausted, InstanceID: target.InstanceID, Err: err}
	}
	if reserved.replaced != nil {
		reserved.replaced.Conn.Close()
	}
	if reserved.reused != nil {
		return reserved.reused, nil
	}
	return p.connect(ctx, target, reserved)
}

// connect dials the connection that was reserved.
func (p *Pool) connect(ctx context.Context, target Target, reserved reservation) (*connection, error) {
	dialStart := p.options.Now()
	conn, err := p.dial(ctx, target)
	if err != nil {
		p.dialFailed(reserved.endpoint)
		kind := ConnectFailed
		if ctx.Err() != nil {
			kind = Canceled
		}
		return nil, &Error{Kind: kind, InstanceID: target.InstanceID, Err: err}
	}
	if p.options.OnConnect != nil {
		p.options.OnConnect(target.InstanceID, p.options.Now().Sub(dialStart))
	}
	c := &connection{
		Conn: conn, number: reserved.number, raw: socket.Raw(conn), pool: p, endpoint: reserved.endpoint, headBytesLeft: -1,
	}
	if c.stale() { // an endpoint at its connection limit accepts further connections and resets them
		conn.Close()
		p.dialFailed(reserved.endpoint)
		return nil, &Error{Kind: ConnectFailed, InstanceID: target.InstanceID, Err: errClosedOnConnect}
	}
	return c, nil
}

// reservation is a connection that a request may use: an idle one, or one that the caller is to dial.
type reservation struct {
	endpoint *endpoint
	reused   *connection      // nil: a new connection was counted as open
	number   connectionNumber // of the new connection
	replaced *connection      // to be closed, since the new connection takes its place within the limit; may be nil
}

// reserve returns an idle connection, or counts a new one as open, which the caller is to dial. If the limit allows no further connection
// and those that are idle can't be used for this request, the new connection replaces one of them.
func (p *Pool) reserve(target Target, request *Request) (reservation, error) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[target.InstanceID]
	if e == nil {
		e = &endpoint{instanceID: target.InstanceID}
		p.endpoints[target.InstanceID] = e
	}
	if reused := p.popIdle(e, request, now); reused != nil {
		p.stats.Reused++
		return reservation{endpoint: e, reused: reused}, nil
	}
	var replaced *connection
	if target.MaxConns > 0 && e.openCount >= target.MaxConns {
		if replaced = p.removeOldestIdle(e); replaced == nil {
			return reservation{}, errAllBusy
		}
	}
	e.openCount++
	p.lastNumber++
	p.stats.Open++
	p.stats.Dials++
	return reservation{endpoint: e, number: p.lastNumber, replaced: replaced}, nil
}

// popIdle removes and returns the most recently used idle connection on which the request was not sent before, or nil. It closes
// connections that are expired or stale. The caller holds the lock.
func (p *Pool) popIdle(e *endpoint, request *Request, now time.Time) *connection {
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if request.wasSentOn(c) {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if now.Before(c.expiresAt) && !c.stale() {
			return c
		}
		p.stats.Stale++
		p.countClosed(e, 1)
		c.Conn.Close()
	}
	return nil
}

// removeOldestIdle removes and returns the idle connection that was used least recently, or nil. The caller holds the lock and closes it.
func (p *Pool) removeOldestIdle(e *endpoint) *connection {
	if len(e.idle) == 0 {
		return nil
	}
	oldest := e.idle[0]
	e.idle = slices.Delete(e.idle, 0, 1)
	p.countClosed(e, 1)
	return oldest
}

// dialFailed counts a failed connection attempt.
func (p *Pool) dialFailed(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.DialFailures++
	p.countClosed(e, 1)
}

// release returns a connection to the pool after a complete response, or closes it if its endpoint was removed.
func (p *Pool) release(c *connection, idleTimeout time.Duration) {
	c.releaseReader()
	c.reused = true
	c.expiresAt = p.options.Now().Add(idleTimeout)
	p.mu.Lock()
	if !c.endpoint.removed {
		c.endpoint.idle = append(c.endpoint.idle, c)
		p.mu.Unlock()
		return
	}
	p.countClosed(c.endpoint, 1)
	p.mu.Unlock()
	c.Conn.Close()
}

// discard closes a connection that is not to be reused.
func (p *Pool) discard(c *connection) {
	c.Conn.Close()
	c.releaseReader()
	p.mu.Lock()
	p.countClosed(c.endpoint, 1)
	p.mu.Unlock()
}
