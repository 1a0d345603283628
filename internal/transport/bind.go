package transport

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// bindAttempts bounds the search for a port that is free for both TCP and UDP when the address has port 0.
const bindAttempts = 16

// bind opens a TCP listener and a UDP socket at the same address.
func bind(address string) (*net.TCPListener, *packetSocket, error) {
	var lastErr error
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
		lastErr = err
		if !errors.Is(err, unix.EADDRINUSE) {
			break
		}
	}
	return nil, nil, lastErr
}

// bindStream opens the TCP listener. Keep-alive probes are off, because accepted connections have a read deadline.
func bindStream(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: setReuseAddress, KeepAlive: noKeepAlive}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// setReuseAddress sets SO_REUSEADDR, so that a restarted process can bind its port while old connections linger.
func setReuseAddress(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}
