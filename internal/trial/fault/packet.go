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
	packetMost  = 64 << 10
	sendersMost = 1024 // that a packet link remembers
	packetsMost = 4096 // under way
)

// PacketLink forwards UDP packets that come to its own address to another, and what comes back to who sent. Loss is
// loss here: a packet is gone.
type PacketLink struct {
	Name string

	target *net.UDPAddr
	in     *net.UDPConn
	wg     sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	rng     *rand.Rand
	senders map[string]*net.UDPConn // by who sent
	flying  int
	closed  bool
	dropped int64
}

// NewPacketLink listens on host, on a port of the system's choosing, and forwards to target.
func NewPacketLink(name, host, target string, seed uint64, faults Faults) (*PacketLink, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", name, err)
	}
	k := &PacketLink{Name: name, target: to, in: in, faults: faults, rng: rand.New(rand.NewPCG(seed, 0x756470)),
		senders: map[string]*net.UDPConn{}}
	k.wg.Go(k.receive)
	return k, nil
}

// Addr is where to send.
func (k *PacketLink) Addr() string { return k.in.LocalAddr().String() }

// Set changes what the link does.
func (k *PacketLink) Set(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Dropped is how many packets the link has lost.
func (k *PacketLink) Dropped() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dropped
}

// Close ends the link.
func (k *PacketLink) Close() {
	k.mu.Lock()
	k.closed = true
	for _, c := range k.senders {
		c.Close()
	}
	k.mu.Unlock()
	k.in.Close()
	k.wg.Wait()
}

func (k *PacketLink) receive() {
	buf := make([]byte, packetMost)
	for {
		n, from, err := k.in.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a refusal that the system tells of an earlier packet
		}
		out := k.sender(from)
		if out == nil {
			continue
		}
		k.fly(func(f *Faults) *Way { return &f.To }, append([]byte(nil), buf[:n]...), func(p []byte) { out.Write(p) })
	}
}

// sender is the socket by which the target sees packets of one sender; nil if there are too many.
func (k *PacketLink) sender(from *net.UDPAddr) *net.UDPConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.senders[from.String()]; c != nil || k.closed || len(k.senders) >= sendersMost {
		return c
	}
	c, err := net.DialUDP("udp", nil, k.target)
	if err != nil {
		return nil
	}
	k.senders[from.String()] = c
	k.wg.Go(func() { k.back(c, from) })
	return c
}

func (k *PacketLink) back(c *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, packetMost)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		k.fly(func(f *Faults) *Way { return &f.From }, append([]byte(nil), buf[:n]...), func(p []byte) { k.in.WriteToUDP(p, to) })
	}
}

// fly delivers a packet when it is due, or loses it.
func (k *PacketLink) fly(way func(*Faults) *Way, p []byte, deliver func([]byte)) {
	k.mu.Lock()
	w := way(&k.faults)
	if k.closed || w.Cut || k.flying >= packetsMost || (w.Loss > 0 && k.rng.Float64() < w.Loss) {
		k.dropped++
		k.mu.Unlock()
		return
	}
	d := w.Delay
	if w.Jitter > 0 {
		d += time.Duration(float64(d) * w.Jitter * (2*k.rng.Float64() - 1))
	}
	if w.Rate > 0 {
		d += time.Duration(float64(len(p)) / w.Rate * float64(time.Second))
	}
	k.flying++
	k.mu.Unlock()
	time.AfterFunc(d, func() { // one that lands after Close meets a closed socket
		k.mu.Lock()
		k.flying--
		k.mu.Unlock()
		deliver(p)
	})
}
