package fault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxPacketBytes     = 64 << 10
	maxSenders         = 1024 // whose sockets a packet link keeps
	maxPacketsInFlight = 4096 // in one packet link
)

// PacketLink forwards UDP packets from its own address to a target, and replies back to their senders. Lost packets are
// not sent again.
type PacketLink struct {
	Name string

	target *net.UDPAddr
	conn   *net.UDPConn
	wg     sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	rng      *rand.Rand
	senders  map[string]*net.UDPConn // socket towards the target, by the sender's address
	inFlight int
	closed   bool
	dropped  int64
}

// NewPacketLink listens on host, on a port that the system chooses, and forwards to target.
func NewPacketLink(name, host, target string, seed uint64, faults Faults) (*PacketLink, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	k := &PacketLink{Name: name, target: to, conn: in, faults: faults, rng: rand.New(rand.NewPCG(seed, 0x756470)),
		senders: map[string]*net.UDPConn{}}
	k.wg.Go(k.receive)
	return k, nil
}

// Addr returns the address to send to.
func (k *PacketLink) Addr() string { return k.conn.LocalAddr().String() }

// Set changes the faults of the link.
func (k *PacketLink) Set(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Dropped returns the number of packets lost so far.
func (k *PacketLink) Dropped() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dropped
}

// Close closes the link.
func (k *PacketLink) Close() {
	k.mu.Lock()
	k.closed = true
	for _, c := range k.senders {
		c.Close()
	}
	k.mu.Unlock()
	k.conn.Close()
	k.wg.Wait()
}

func (k *PacketLink) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := k.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example a connection refused that an earlier packet caused
		}
		socket := k.sender(from)
		if socket == nil {
			continue
		}
		k.schedule(func(f *Faults) *Direction { return &f.To }, append([]byte(nil), buf[:n]...), func(p []byte) { socket.Write(p) })
	}
}

// sender returns the socket for packets of one sender; nil if there are too many senders.
func (k *PacketLink) sender(from *net.UDPAddr) *net.UDPConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.senders[from.String()]; c != nil || k.closed || len(k.senders) >= maxSenders {
		return c
	}
	c, err := net.DialUDP("udp", nil, k.target)
	if err != nil {
		return nil
	}
	k.senders[from.String()] = c
	k.wg.Go(func() { k.receiveReplies(c, from) })
	return c
}

func (k *PacketLink) receiveReplies(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		k.schedule(func(f *Faults) *Direction { return &f.From }, append([]byte(nil), buf[:n]...), func(p []byte) { k.conn.WriteToUDP(p, to) })
	}
}

// schedule delivers a packet after its delay, or drops it.
func (k *PacketLink) schedule(direction func(*Faults) *Direction, p []byte, deliver func([]byte)) {
	k.mu.Lock()
	faults := direction(&k.faults)
	if k.closed || faults.Cut || k.inFlight >= maxPacketsInFlight || (faults.Loss > 0 && k.rng.Float64() < faults.Loss) {
		k.dropped++
		k.mu.Unlock()
		return
	}
	d := faults.Delay
	if faults.Jitter > 0 {
		d += time.Duration(float64(d) * faults.Jitter * (2*k.rng.Float64() - 1))
	}
	if faults.Rate > 0 {
		d += time.Duration(float64(len(p)) / faults.Rate * float64(time.Second))
	}
	k.inFlight++
	k.mu.Unlock()
	time.AfterFunc(d, func() { // after Close, the write fails on a closed socket
		k.mu.Lock()
		k.inFlight--
		k.mu.Unlock()
		deliver(p)
	})
}
