// Package fault holds the network links of a trial. All traffic between two parties goes through a link, which injects
// network faults. A link draws jitter and loss from a seed of its own, so that two trials with the same seed see the
// same network.
//
// A link that is cut behaves as a network that drops everything: data is lost silently, open connections stay open, and
// new ones are not established. Connections are reset only when a process dies, which Link.Reset simulates.
package fault

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxChunkBytes   = 16 << 10
	maxQueuedChunks = 64 // in transit in one direction
	dialTimeout     = time.Second
	retransmitDelay = 200 * time.Millisecond // minimum delay that a lost segment causes in a TCP stream
	fillDialTimeout = 20 * time.Millisecond
	maxFillers      = 16

	maxHandshakeRTT = 10 * time.Millisecond // see establishedDuringCut
)

// Direction holds the faults of one direction of a link.
type Direction struct {
	Delay  time.Duration // one way
	Jitter float64       // relative to Delay: up to so much more or less
	Rate   float64       // bytes per second; 0: unlimited
	Loss   float64       // share of chunks (TCP: delayed by retransmission) or packets (UDP: dropped)
	Cut    bool          // nothing passes
}

// Faults are the faults of a link.
type Faults struct {
	To, From Direction // from the connecting side to the other one, and back
	Refuse   bool      // reset new connections at once, as if no process listened
}

// cut reports whether new connections cannot be established.
func (f *Faults) cut() bool { return f.To.Cut || f.From.Cut }

// DialFunc connects to the far side of a link.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Link forwards TCP connections that are made to its own address.
type Link struct {
	Name string

	dial     DialFunc
	listener *net.TCPListener

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	setMu sync.Mutex // held by Set, which alone changes the accept queue

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
	conns   map[*conn]struct{}
	fillers []net.Conn // connections that keep the accept queue full while the link is cut
	rng     *rand.Rand
	closed  bool
	err     error // the first cut or healing that failed

	opened atomic.Int64
}

// NewLink listens on host, on a port that the system chooses, and forwards to the connections that dial returns.
func NewLink(name, host string, seed uint64, faults Faults, dial DialFunc) (*Link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	k := &Link{Name: name, dial: dial, listener: l.(*net.TCPListener), faults: faults, changed: make(chan struct{}),
		conns: map[*conn]struct{}{},
		rng:   rand.New(rand.NewPCG(seed, 0x6c696e6b))}
	k.ctx, k.stop = context.WithCancel(context.Background())
	k.wg.Go(k.accept)
	return k, nil
}

// Addr returns the address to connect to.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Opened returns the number of connections accepted so far.
func (k *Link) Opened() int64 { return k.opened.Load() }

// Err returns an error if a cut or a healing failed. Traffic over the link then proves nothing.
func (k *Link) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err
}

func (k *Link) setErr(what string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err == nil {
		k.err = fmt.Errorf("link %s: %s: %w", k.Name, what, err)
	}
}

// Open returns the number of open connections.
func (k *Link) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.conns)
}

// Faults returns the present faults of the link.
func (k *Link) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// Set changes the faults of the link, for open connections too. Data held back by a cut is delivered when the cut ends,
// as TCP retransmits it.
func (k *Link) Set(f Faults) {
	k.setMu.Lock()
	defer k.setMu.Unlock()
	k.mu.Lock()
	wasCut, closed := k.faults.cut(), k.closed
	k.mu.Unlock()
	if wasCut && !f.cut() && !closed {
		if err := k.allowNewConnections(); err != nil { // no goroutine accepts connections yet
			k.setErr("heal", err)
		}
	}
	k.mu.Lock()
	k.faults = f
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	if !wasCut && f.cut() && !closed {
		if err := k.blockNewConnections(); err != nil {
			k.setErr("cut", err)
		}
	}
}

// Change edits the faults of the link.
func (k *Link) Change(edit func(*Faults)) {
	f := k.Faults()
	edit(&f)
	k.Set(f)
}

// Reset resets all open connections, as the death of a process does.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.reset()
	}
}

// blockNewConnections keeps new connections from being established. It shortens the accept queue and fills it, so that
// the system silently drops further handshakes.
func (k *Link) blockNewConnections() error {
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return errors.Join(err, listenErr)
	}
	k.listener.SetDeadline(time.Unix(1, 0)) // accept returns, and its loop waits until the faults change
	for range maxFillers {
		c, err := net.DialTimeout("tcp", k.Addr(), fillDialTimeout)
		var full net.Error
		if errors.As(err, &full) && full.Timeout() {
			return nil
		} else if err != nil {
			return err
		}
		k.mu.Lock()
		k.fillers = append(k.fillers, c)
		k.mu.Unlock()
	}
	return fmt.Errorf("%d connections were established and the accept queue is still not full", maxFillers)
}

// allowNewConnections lets connections be established again. It discards connections left in the accept queue. Their
// clients consider them established, may have written to them and have perhaps given up, and that data must not be
// delivered now as if it were new.
func (k *Link) allowNewConnections() error {
	raw, err := k.listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			for {
				c, _, err := syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC)
				if err == syscall.EINTR || err == syscall.ECONNABORTED {
					continue
				}
				if err != nil {
					return // the queue is empty
				}
				syscall.SetsockoptLinger(c, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
				syscall.Close(c)
			}
		})
	}
	k.mu.Lock()
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	k.mu.Unlock()
	if err == nil {
		var listen error
		err = raw.Control(func(fd uintptr) { listen = syscall.Listen(int(fd), syscall.SOMAXCONN) })
		err = errors.Join(err, listen)
	}
	k.listener.SetDeadline(time.Time{})
	return err
}

// Close closes the link and all its connections.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	for _, c := range k.fillers {
		c.Close()
	}
	k.fillers = nil
	k.mu.Unlock()
	k.stop()
	k.listener.Close()
	k.Reset()
	k.wg.Wait()
}

func (k *Link) accept() {
	for {
		k.mu.Lock()
		changed, cut, closed := k.changed, k.faults.cut(), k.closed
		k.mu.Unlock()
		if closed {
			return
		}
		if cut {
			select {
			case <-changed:
			case <-k.ctx.Done():
				return
			}
			continue
		}
		near, err := k.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the deadline set by blockNewConnections, or out of descriptors
			select {
			case <-time.After(time.Millisecond):
			case <-k.ctx.Done():
				return
			}
			continue
		}
		f := k.Faults()
		if f.Refuse || establishedDuringCut(near) {
			near.SetLinger(0)
			near.Close()
			continue
		}
		k.opened.Add(1)
		k.wg.Go(func() { k.serve(near) })
	}
}

// establishedDuringCut reports whether a client considered its connection established while the link was cut: the system
// dropped the last step of the handshake because the accept queue was full, and a later retransmission by the client
// completed it. Otherwise handshakes over loopback take microseconds, as no process takes part in them.
func establishedDuringCut(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	stale := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		stale = err == nil && (info.Total_retrans > 0 || time.Duration(info.Rtt)*time.Microsecond > maxHandshakeRTT)
	})
	return stale
}

// conn is one connection over a link.
type conn struct {
	near *net.TCPConn
	far  net.Conn
	once sync.Once
}

// reset resets both sides.
func (c *conn) reset() {
	c.once.Do(func() {
		c.near.SetLinger(0)
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	})
}

// close closes both sides. Data that was written still arrives.
func (c *conn) close() {
	c.once.Do(func() {
		c.near.Close()
		c.far.Close()
	})
}

// Resetter is a far side that can report that it ended the connection by a reset.
type Resetter interface{ WasReset() bool }

// DeliveryObserver is a far side that is told when bytes that it sent have been written to the near side.
type DeliveryObserver interface{ OnDeliver(bytes int, at time.Time) }

// ReceiveObserver is a far side that is told when bytes arrive from the near side, before any delay.
type ReceiveObserver interface{ OnReceive(at time.Time) }

func (k *Link) serve(near *net.TCPConn) {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	far, err := k.dial(ctx)
	cancel()
	c := &conn{near: near, far: far}
	if err != nil {
		c.far = nil
		c.reset()
		return
	}
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		c.reset()
		return
	}
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	broken := true
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
		if broken {
			c.reset()
		} else {
			c.close()
		}
	}()
	received, _ := far.(ReceiveObserver)
	delivered, _ := far.(DeliveryObserver)
	type end struct{ closeAll, broken bool } // closeAll: end the other direction as well
	done := make(chan end, 2)
	k.wg.Go(func() {
		err := k.forward(far, near, received, nil, func(f *Faults) *Direction { return &f.To })
		half, ok := far.(interface{ CloseWrite() error })
		if err != nil || !ok {
			done <- end{true, err != nil}
			return
		}
		half.CloseWrite()
		done <- end{}
	})
	k.wg.Go(func() {
		err := k.forward(near, far, nil, delivered, func(f *Faults) *Direction { return &f.From })
		if r, ok := far.(Resetter); err != nil || (ok && r.WasReset()) {
			done <- end{true, true}
			return
		}
		near.CloseWrite()
		done <- end{}
	})
	for range 2 {
		select {
		case e := <-done:
			if e.closeAll {
				broken = e.broken
				return
			}
		case <-k.ctx.Done():
			return
		}
	}
	broken = false
}

// chunk is a piece of a stream in transit.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction until src ends, subject to the faults of the link.
func (k *Link) forward(dst io.Writer, src io.Reader, received ReceiveObserver, delivered DeliveryObserver,
	direction func(*Faults) *Direction) error {
	inTransit := make(chan chunk, maxQueuedChunks)
	result := make(chan error, 1)
	deliveryEnded, sourceEnded := make(chan struct{}), make(chan struct{})
	go func() { // ends when inTransit is closed or dst fails
		defer close(deliveryEnded)
		result <- k.deliver(dst, delivered, inTransit, sourceEnded, direction)
	}()
	var err error
	var last time.Time
loop:
	for {
		buf := make([]byte, maxChunkBytes)
		n, e := src.Read(buf)
		if n > 0 {
			now := time.Now()
			if received != nil {
				received.OnReceive(now)
			}
			due := now.Add(k.drawDelay(direction, n))
			if due.Before(last) { // a stream keeps its order
				due = last
			}
			last = due
			select {
			case inTransit <- chunk{buf[:n], due}:
			case <-deliveryEnded:
				break loop
			}
		}
		if e != nil {
			if !errors.Is(e, io.EOF) {
				err = e
			}
			break
		}
	}
	close(sourceEnded)
	close(inTransit)
	return errors.Join(err, <-result)
}

// drawDelay draws how long a chunk is in transit.
func (k *Link) drawDelay(direction func(*Faults) *Direction, n int) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	faults := direction(&k.faults)
	d := faults.Delay
	if faults.Jitter > 0 {
		d += time.Duration(float64(d) * faults.Jitter * (2*k.rng.Float64() - 1))
	}
	if faults.Rate > 0 {
		d += time.Duration(float64(n) / faults.Rate * float64(time.Second))
	}
	for faults.Loss > 0 && k.rng.Float64() < faults.Loss && d < 10*time.Second {
		d += retransmitDelay + d // later chunks wait for the retransmission
	}
	return d
}

// errSenderGone ends a connection whose sender has disconnected while the link was cut.
var errSenderGone = errors.New("the sender disconnected while the link was cut")

// deliver writes chunks when they are due. While the direction is cut, it holds them back; they are lost if their sender
// disconnects.
func (k *Link) deliver(dst io.Writer, delivered DeliveryObserver, inTransit <-chan chunk, sourceEnded <-chan struct{},
	direction func(*Faults) *Direction) error {
	var err error
	for p := range inTransit {
		if err != nil {
			return err
		}
		if d := time.Until(p.due); d > 0 {
			select {
			case <-time.After(d):
			case <-k.ctx.Done():
				return k.ctx.Err()
			}
		}
		for {
			k.mu.Lock()
			cut, changed := direction(&k.faults).Cut, k.changed
			k.mu.Unlock()
			if !cut {
				break
			}
			select {
			case <-changed:
			case <-sourceEnded:
				return errSenderGone
			case <-k.ctx.Done():
				return k.ctx.Err()
			}
		}
		if _, err = dst.Write(p.data); err == nil && delivered != nil {
			delivered.OnDeliver(len(p.data), time.Now())
		}
	}
	return err
}
