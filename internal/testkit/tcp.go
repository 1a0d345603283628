package testkit

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TCPPair returns the two ends of a TCP connection on the loopback address, which are closed when the test ends.
func TCPPair(t testing.TB) (conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}
