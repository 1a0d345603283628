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
	// datagramHeader is the kind byte.
	datagramHeader = 1
	// maxSenderNames bounds the cache of senders' addresses in their text form.
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

// send hands a datagram to the kernel, without waiting when its buffer is full.
func (p *packetSocket) send(to netip.AddrPort, datagram []byte) error {
	target := unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	var failed error
	err := p.raw.Write(func(descriptor uintptr) bool {
		failed = unix.Sendto(int(descriptor), datagram, unix.MSG_DONTWAIT, &target)
		return true
	})
	if err != nil {
		return err
	}
	return failed
}

// SendDatagram implements Sender.
func (m *Mesh) SendDatagram(to string, kind Kind, message proto.Message) {
	if to == m.address {
		m.Send(to, kind, message)
		return
	}
	datagram, err := encodeDatagram(kind, message)
	if err != nil {
		m.meters.droppedLarge.Add(1)
		return
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil || !target.Addr().Unmap().Is4() {
		m.meters.droppedDatagrams.Add(1)
		return
	}
	if err := m.packets.send(target, datagram); err != nil {
		m.meters.droppedDatagrams.Add(1)
		return
	}
	m.meters.datagramsSent.Add(1)
	m.meters.sent(kind, len(datagram))
}

// encodeDatagram returns the bytes of a datagram that holds the message.
func encodeDatagram(kind Kind, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	if datagramHeader+size > MaxDatagram {
		return nil, &FrameError{Reason: "too large for a datagram"}
	}
	datagram := make([]byte, datagramHeader, datagramHeader+size)
	datagram[0] = byte(kind)
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(datagram, message)
}

// receiveLoop hands datagrams to the handler until the socket closes.
func (m *Mesh) receiveLoop() {
	buffer := make([]byte, MaxDatagram+1)
	names := map[netip.AddrPort]string{}
	for {
		size, from, err := m.packets.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if !m.rest(acceptPause) {
				return
			}
		default:
			m.receive(senderName(names, from), buffer[:size])
		}
	}
}

// receive checks one datagram and hands a copy of its payload on.
func (m *Mesh) receive(from string, datagram []byte) {
	if len(datagram) < datagramHeader || len(datagram) > MaxDatagram || Kind(datagram[0]) == kindHello {
		m.malformed(from, &FrameError{Reason: "datagram"})
		return
	}
	m.meters.datagramsReceived.Add(1)
	payload := append([]byte(nil), datagram[datagramHeader:]...)
	m.options.Handler(from, Kind(datagram[0]), payload)
}

// senderName returns an address as text, from the cache where it is known.
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
