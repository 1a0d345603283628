// Package upstream keeps connections to endpoints and sends requests on them: one exchange at a time on a connection, never the
// same request twice, and every failure with what it tells about whether the request may have run.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	dialMost       = time.Second
	probeIdle      = 5 * time.Second
	probeInterval  = 2 * time.Second
	probeCount     = 3
	defaultIdle    = 10 * time.Second
	defaultUser    = 6 * time.Second
	idleNumerator  = 4 // a connection is used for 4/5 of the time that the endpoint keeps it
	idleDivisor    = 5
	keepAliveField = "timeout="
)

// Options are the settings of a pool.
type Options struct {
	IdleTimeout time.Duration // for connections whose endpoint names none; 0: ten seconds
	UserTimeout time.Duration // how long sent bytes may stay without acknowledgement; 0: six seconds

	Dial func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	Now  func() time.Time                                            // nil: time.Now

	// Connected is told how long it took to connect to an instance; may be nil.
	Connected func(instanceID string, took time.Duration)
}

// Target is an endpoint, and how it may be connected to.
type Target struct {
	Address     string
	InstanceID  string
	MaxConns    int           // connections to it at most; 0: no bound
	DialTimeout time.Duration // a second at most; 0: a second
}

// Stats are counts since the start, and the connections of the moment.
type Stats struct {
	Dials        uint64
	DialFailures uint64
	Reused       uint64 // exchanges on a kept connection
	Stale        uint64 // kept connections that proved dead, or held bytes of nobody, before they were used
	Extra        uint64 // answers to other requests that were skipped
	Open         int
	Idle         int
}

// Pool keeps the connections to all endpoints. It is safe for use by several goroutines.
type Pool struct {
	options Options

	mu        sync.Mutex
	endpoints map[string]*endpoint // by instance
	stats     Stats
}

// endpoint holds the connections to one instance. The pool's lock guards it.
type endpoint struct {
	instanceID string
	idle       []*connection // the one used last stands last
	open       int           // idle, in use and being dialled
	gone       bool
}

// NewPool makes an empty pool.
func NewPool(options Options) *Pool {
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdle
	}
	if options.UserTimeout <= 0 {
		options.UserTimeout = defaultUser
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Pool{options: options, endpoints: map[string]*endpoint{}}
}

// Stats returns the counts.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	for _, e := range p.endpoints {
		stats.Idle += len(e.idle)
	}
	return stats
}

// HasIdle tells whether an open connection to an instance waits for a request.
func (p *Pool) HasIdle(instanceID string) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.endpoints[instanceID]
	return known != nil && slices.ContainsFunc(known.idle, func(c *connection) bool { return now.Before(c.expires) })
}

// Forget closes the idle connections to an instance that is gone; those in use are closed after their exchange.
func (p *Pool) Forget(instanceID string) {
	p.mu.Lock()
	e := p.endpoints[instanceID]
	var idle []*connection
	if e != nil {
		e.gone = true
		idle = p.takeIdle(e)
		delete(p.endpoints, instanceID)
	}
	p.mu.Unlock()
	closeAll(idle)
}

// Sweep closes the idle connections whose time is over. It is to be called about once a second.
func (p *Pool) Sweep() {
	now := p.options.Now()
	var over []*connection
	p.mu.Lock()
	for id, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				over = append(over, c)
			}
		}
		clear(e.idle[len(kept):])
		p.dropped(e, len(e.idle)-len(kept))
		e.idle = kept
		if e.open == 0 {
			delete(p.endpoints, id)
		}
	}
	p.mu.Unlock()
	closeAll(over)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var idle []*connection
	for id, e := range p.endpoints {
		e.gone = true
		idle = append(idle, p.takeIdle(e)...)
		delete(p.endpoints, id)
	}
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.Conn.Close()
	}
}

// takeIdle empties the list of idle connections. The caller holds the lock.
func (p *Pool) takeIdle(e *endpoint) []*connection {
	idle := e.idle
	e.idle = nil
	p.dropped(e, len(idle))
	return idle
}

// dropped books that connections are no longer open. The caller holds the lock.
func (p *Pool) dropped(e *endpoint, count int) {
	e.open -= count
	p.stats.Open -= count
}

// take returns a kept connection that looks alive, or a new one.
func (p *Pool) take(ctx context.Context, target Target, request *Request) (*connection, error) {
	e, kept, err := p.reserve(target, request.ID)
	if err != nil {
		return nil, &Error{Kind: Crowded, InstanceID: target.InstanceID, Err: err}
	}
	if kept != nil {
		return kept, nil
	}
	began := p.options.Now()
	conn, err := p.dial(ctx, target)
	if err != nil {
		p.dialFailed(e)
		kind := ConnectFailed
		if ctx.Err() != nil {
			kind = Abandoned
		}
		return nil, &Error{Kind: kind, InstanceID: target.InstanceID, Err: err}
	}
	if p.options.Connected != nil {
		p.options.Connected(target.InstanceID, p.options.Now().Sub(began))
	}
	c := &connection{Conn: conn, raw: rawOf(conn), pool: p, endpoint: e, headLeft: -1}
	if c.stale() { // an endpoint with too many connections resets those above
		conn.Close()
		p.dialFailed(e)
		return nil, &Error{Kind: ConnectFailed, InstanceID: target.InstanceID, Err: errEndedAtOnce}
	}
	return c, nil
}

// reserve returns a kept connection, or books a new one that the caller is to dial.
func (p *Pool) reserve(target Target, requestID string) (*endpoint, *connection, error) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[target.InstanceID]
	if e == nil {
		e = &endpoint{instanceID: target.InstanceID}
		p.endpoints[target.InstanceID] = e
	}
	if c := p.popIdle(e, requestID, now); c != nil {
		p.stats.Reused++
		return e, c, nil
	}
	if target.MaxConns > 0 && e.open >= target.MaxConns {
		return nil, nil, errAllBusy
	}
	e.open++
	p.stats.Open++
	p.stats.Dials++
	return e, nil, nil
}

// popIdle takes the idle connection used last. One whose time is over, or on which something waits to be read, is closed. One that
// carried the same request before is passed over: an extra answer to that try could be taken for this one's. The caller holds the
// lock.
func (p *Pool) popIdle(e *endpoint, requestID string, now time.Time) *connection {
	for i := len(e.idle) - 1; i >= 0; i-- {
		c := e.idle[i]
		if requestID != "" && c.lastID == requestID {
			continue
		}
		e.idle = append(e.idle[:i], e.idle[i+1:]...)
		if now.Before(c.expires) && !c.stale() {
			return c
		}
		p.stats.Stale++
		p.dropped(e, 1)
		c.Conn.Close()
	}
	return nil
}

func (p *Pool) dialFailed(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.DialFailures++
	p.dropped(e, 1)
}

// put keeps a connection after a whole answer, if its endpoint is still there.
func (p *Pool) put(c *connection, idle time.Duration) {
	c.releaseReader()
	c.kept = true
	c.expires = p.options.Now().Add(idle)
	p.mu.Lock()
	if !c.endpoint.gone {
		c.endpoint.idle = append(c.endpoint.idle, c)
		p.mu.Unlock()
		return
	}
	p.dropped(c.endpoint, 1)
	p.mu.Unlock()
	c.Conn.Close()
}

// discard closes a connection.
func (p *Pool) discard(c *connection) {
	c.Conn.Close()
	c.releaseReader()
	p.mu.Lock()
	p.dropped(c.endpoint, 1)
	p.mu.Unlock()
}
