package transport

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// bindAttempts bounds the search for a port that is free for both TCP and UDP when the address names none.
const bindAttempts = 16

// bind takes an address for TCP and UDP.
func bind(address string) (*net.TCPListener, *packetSocket, error) {
	var failed error
	for range bindAttempts {
		listener, err := bindStream(address)
		if err != nil {
			return nil, nil, err
		}
		packets, err := bindPackets(listener.Addr().String())
		if err == nil {
			return listener, packets, nil
		}
		_ = listener.Close()
		failed = err
		if !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return nil, nil, failed
}

// bindStream listens for connections. Keep-alive probes are off: an accepted connection has a read deadline instead.
func bindStream(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: setReuseAddress, KeepAlive: noKeepAlive}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// setReuseAddress lets a process that is started again take its port while old connections linger.
func setReuseAddress(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
	if err != nil {
		return err
	}
	return failed
}
