package transport

import (
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

const (
	// datagramHeaderSize is the size of the header in bytes: one byte for the kind.
	datagramHeaderSize = 1
	// maxSenderNames bounds the cache of sender addresses in text form.
	maxSenderNames = 2048
)

// packetSocket is the UDP socket of a process.
type packetSocket struct {
	socket *net.UDPConn
	raw    syscall.RawConn
}

// bindPackets opens the UDP socket at an address.
func bindPackets(address string) (*packetSocket, error) {
	resolved, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(resolved))
	if err != nil {
		return nil, err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &packetSocket{socket: socket, raw: raw}, nil
}

func (p *packetSocket) close() { _ = p.socket.Close() }

// send passes a datagram to the kernel. It does not wait when the socket buffer is full.
func (p *packetSocket) send(to netip.AddrPort, datagram []byte) error {
	target := unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	var sendErr error
	err := p.raw.Write(func(descriptor uintptr) bool {
		sendErr = unix.Sendto(int(descriptor), datagram, unix.MSG_DONTWAIT, &target)
		return true
	})
	if err != nil {
		return err
	}
	return sendErr
}

// SendDatagram implements Sender.
func (m *Mesh) SendDatagram(to string, kind Kind, message proto.Message) {
	if to == m.address {
		m.Send(to, kind, message)
		return
	}
	datagram, err := encodeDatagram(kind, message)
	if err != nil {
		m.counters.droppedLarge.Add(1)
		return
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil || !target.Addr().Unmap().Is4() {
		m.counters.droppedDatagrams.Add(1)
		return
	}
	if err := m.packets.send(target, datagram); err != nil {
		m.counters.droppedDatagrams.Add(1)
		return
	}
	m.counters.datagramsSent.Add(1)
	m.counters.countSent(kind, len(datagram))
}

// encodeDatagram returns the encoded datagram of a message.
func encodeDatagram(kind Kind, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if datagramHeaderSize+size > MaxDatagram {
		return nil, &FrameError{Reason: "too large for a datagram"}
	}
	datagram := make([]byte, datagramHeaderSize, datagramHeaderSize+size)
	datagram[0] = byte(kind)
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(datagram, message)
}

// receiveLoop passes datagrams to the handler until the socket is closed.
func (m *Mesh) receiveLoop() {
	buffer := make([]byte, MaxDatagram+1)
	names := map[netip.AddrPort]string{}
	for {
		size, from, err := m.packets.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if !m.sleep(acceptRetryDelay) {
				return
			}
		default:
			m.receive(senderName(names, from), buffer[:size])
		}
	}
}

// receive checks one datagram and passes a copy of its payload to the handler.
func (m *Mesh) receive(from string, datagram []byte) {
	if len(datagram) < datagramHeaderSize || len(datagram) > MaxDatagram || Kind(datagram[0]) == kindHello {
		m.reportMalformed(from, &FrameError{Reason: "datagram with an invalid length or kind"})
		return
	}
	m.counters.datagramsReceived.Add(1)
	payload := append([]byte(nil), datagram[datagramHeaderSize:]...)
	m.options.Handler(from, Kind(datagram[0]), payload)
}

// senderName returns an address as text. The cache saves formatting known addresses again.
func senderName(names map[netip.AddrPort]string, from netip.AddrPort) string {
	if name, known := names[from]; known {
		return name
	}
	if len(names) >= maxSenderNames {
		clear(names)
	}
	name := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	names[from] = name
	return name
}
