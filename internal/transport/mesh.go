package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// Mesh is a process's end of the internal network: its listening sockets and one outgoing connection for each peer that it
// sends to.
type Mesh struct {
	options  Options
	address  string
	hello    []byte
	listener *net.TCPListener
	packets  *packetSocket
	local    *local
	meters   meters
	logs     logLimiter

	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex        sync.Mutex
	closed       bool
	destinations map[string]*destination
	accepted     map[*incoming]struct{}
	bySender     map[string]*incoming
}

// Mesh implements Sender.
var _ Sender = (*Mesh)(nil)

// Listen takes the internal address for TCP and UDP and starts to serve it.
func Listen(options Options) (*Mesh, error) {
	options = options.withDefaults()
	listener, packets, err := bind(options.Address)
	if err != nil {
		return nil, trace.Wrap(&ListenError{Address: options.Address, Err: err})
	}
	mesh := newMesh(options, listener, packets)
	mesh.spawn(mesh.acceptLoop)
	mesh.spawn(mesh.receiveLoop)
	mesh.spawn(mesh.local.run)
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
	mesh.local = &local{mesh: mesh, queue: newQueue(options.QueueMessages, options.QueueBytes)}
	return mesh
}

// Address returns the internal address that this process listens on.
func (m *Mesh) Address() string { return m.address }

// Counters returns what the mesh has done so far.
func (m *Mesh) Counters() Counters { return m.meters.snapshot() }

// Send implements Sender.
func (m *Mesh) Send(to string, kind Kind, message proto.Message) {
	m.Batch(kind).Send(to, message)
}

// sendFrame puts an encoded message into the queue of its destination.
func (m *Mesh) sendFrame(to string, kind Kind, encoded []byte) {
	m.meters.sent(kind, len(encoded))
	item := queued{bytes: encoded, since: time.Now()}
	if to == m.address {
		m.count(m.local.queue.push(item))
		return
	}
	for {
		result := pushFull
		if target := m.destination(to); target != nil {
			result = target.queue.push(item)
		}
		if result != pushRetired {
			m.count(result)
			return
		}
	}
}

// count notes a message that found its queue full.
func (m *Mesh) count(result pushResult) {
	if result == pushFull {
		m.meters.droppedFull.Add(1)
	}
}

// destination returns the destination at an address, and starts its writer when it is new. It returns nil when the mesh is
// closed.
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
	m.running.Go(added.run)
	return added
}

// retire forgets a destination that nothing waits for.
func (m *Mesh) retire(idle *destination) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !idle.queue.retire() {
		return false
	}
	delete(m.destinations, idle.address)
	return true
}

// spawn runs a part of the mesh until Close. It returns false when the mesh is closed.
func (m *Mesh) spawn(part func()) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed {
		return false
	}
	m.running.Go(part)
	return true
}

// Close ends all sockets and waits for the parts of the mesh. What is still queued is dropped.
func (m *Mesh) Close() {
	m.mutex.Lock()
	if m.closed {
		m.mutex.Unlock()
		return
	}
	m.closed = true
	for open := range m.accepted {
		_ = open.socket.Close()
	}
	m.mutex.Unlock()
	m.cancel()
	_ = m.listener.Close()
	m.packets.close()
	m.running.Wait()
}
