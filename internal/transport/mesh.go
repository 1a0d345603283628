package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// Mesh connects a process to the other processes of the system. It has the listening sockets and one outgoing connection for
// each peer that the process sends to.
type Mesh struct {
	options      Options
	address      string
	hello        []byte // encoded hello frame
	listener     *net.TCPListener
	packets      *packetSocket
	loopback     *loopback
	counters     liveCounters
	malformedLog logLimiter

	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex        sync.Mutex
	closed       bool
	destinations map[string]*destination // by internal address
	accepted     map[*incoming]struct{}  // all open incoming connections
	bySender     map[string]*incoming    // current connection of each sender, by internal address
}

// Mesh implements Sender.
var _ Sender = (*Mesh)(nil)

// Listen binds the internal address for TCP and UDP and starts the goroutines that serve it.
func Listen(options Options) (*Mesh, error) {
	options = options.withDefaults()
	listener, packets, err := bind(options.Address)
	if err != nil {
		return nil, trace.Wrap(&ListenError{Address: options.Address, Err: err})
	}
	mesh := newMesh(options, listener, packets)
	mesh.spawn(mesh.acceptLoop)
	mesh.spawn(mesh.receiveLoop)
	mesh.spawn(mesh.loopback.run)
	return mesh, nil
}

func newMesh(options Options, listener *net.TCPListener, packets *packetSocket) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	address := listener.Addr().String()
	mesh := &Mesh{
		options:      options,
		address:      address,
		hello:        encodeHello(address),
		listener:     listener,
		packets:      packets,
		context:      ctx,
		cancel:       cancel,
		destinations: map[string]*destination{},
		accepted:     map[*incoming]struct{}{},
		bySender:     map[string]*incoming{},
	}
	mesh.loopback = &loopback{mesh: mesh, queue: newQueue(options.QueueMessages, options.QueueBytes)}
	return mesh
}

// Address returns the internal address that this process listens on.
func (m *Mesh) Address() string { return m.address }

// Counters returns the statistics since the start.
func (m *Mesh) Counters() Counters { return m.counters.snapshot() }

// Send implements Sender.
func (m *Mesh) Send(to string, kind Kind, message proto.Message) {
	m.Batch(kind).Send(to, message)
}

// sendFrame appends an encoded message to the queue of its destination.
func (m *Mesh) sendFrame(to string, kind Kind, encoded []byte) {
	m.counters.countSent(kind, len(encoded))
	item := queued{bytes: encoded, queuedAt: time.Now()}
	if to == m.address {
		m.countPush(m.loopback.queue.push(item))
		return
	}
	for {
		result := pushFull
		if target := m.destination(to); target != nil {
			result = target.queue.push(item)
		}
		if result != pushRetired {
			m.countPush(result)
			return
		}
	}
}

// countPush counts a message that was dropped because its queue was full.
func (m *Mesh) countPush(result pushResult) {
	if result == pushFull {
		m.counters.droppedFull.Add(1)
	}
}

// destination returns the destination at an address. It creates it and starts its writer if there is none yet. It returns nil
// if the mesh is closed.
func (m *Mesh) destination(to string) *destination {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return nil
	}
	if known := m.destinations[to]; known != nil {
		return known
	}
	added := &destination{
		mesh:    m,
		address: to,
		queue:   newQueue(m.options.QueueMessages, m.options.QueueBytes),
	}
	m.destinations[to] = added
	m.goroutines.Go(added.run)
	return added
}

// retire removes an idle destination. It returns false if messages have been queued for it meanwhile.
func (m *Mesh) retire(idle *destination) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !idle.queue.retire() {
		return false
	}
	delete(m.destinations, idle.address)
	return true
}

// spawn starts a goroutine that Close waits for. It returns false if the mesh is already closed.
func (m *Mesh) spawn(task func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return false
	}
	m.goroutines.Go(task)
	return true
}

// Close closes all sockets and waits for the goroutines of the mesh. Queued messages are dropped.
func (m *Mesh) Close() {
	m.mutex.Lock()
	if m.closed {
		m.mutex.Unlock()
		return
	}
	m.closed = true
	for connection := range m.accepted {
		_ = connection.socket.Close()
	}
	m.mutex.Unlock()
	m.cancel()
	_ = m.listener.Close()
	m.packets.close()
	m.goroutines.Wait()
}
