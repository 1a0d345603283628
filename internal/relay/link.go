package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// This file holds the protocol between the two processes of a takeover. They talk over a Unix socket in the state folder:
// the successor sends a takeoverRequest, the predecessor sends the listening socket and a handoverState, the successor
// reports that it is ready, and from then on both send frames. All of it is JSON; Go names of exported fields are
// part of the protocol.

const (
	linkSocketName  = "takeover.sock"
	linkVersion     = 1
	linkSendTimeout = time.Second // for one frame
)

// takeoverRequest asks a process to hand over its relay.
type takeoverRequest struct{ Version int }

// handoverState is the state of a relay that is handed over, except for what is in the write-ahead log. Times are wall clock
// times, except for those of the decision module.
type handoverState struct {
	Version     int
	Now         time.Duration // the decision module's clock
	Wall        int64         // the same moment in Unix time, in nanoseconds
	Module      policy.State
	Zones       []string
	Kinds       []string
	ListVersion int64
	Routes      []routeState
	Msgs        []messageState
	Calls       []callState // in flight in the predecessor
	LastID      uint32
	Held        connCounts
}

type routeState struct {
	Listing policy.Listing
	Addr    string
}

// messageState holds what the write-ahead log does not have of a message's state; see type message for the fields.
type messageState struct {
	ID               uint32
	Trace            string
	Sends            int
	Ended, Counted   bool
	Again, Withdrawn bool // Again: resubmitted
}

type callState struct {
	ID    int
	Route string
	Addr  string
	Zone  int
	Sent  int64 // Unix time in nanoseconds
	Parts []attemptState
}

type attemptState struct {
	Msg  uint32
	N    int  // number of the attempt
	Over bool // its outcome has been reported
}

// frame is a message between the two processes after the handover. One field is set.
type frame struct {
	Ready  bool              `json:",omitempty"` // the successor has taken over
	In     *forwardedMessage `json:",omitempty"` // a submission on a client connection of the predecessor
	Left   uint32            `json:",omitempty"` // id of a message whose client disconnected
	Cut    *attemptCut       `json:",omitempty"` // an attempt timed out while its call goes on
	End    *callOutcome      `json:",omitempty"` // a call of the predecessor ended
	Answer *forwardedAnswer  `json:",omitempty"` // answer to a submission that the predecessor forwarded
	Held   *connCounts       `json:",omitempty"` // connections of the predecessor
}

type forwardedMessage struct {
	Seq     int // repeated in the answer
	Class   string
	Message *wal.Message
	Body    []byte
}

// attemptCut says that an attempt timed out. Part is the attempt's index in the call.
type attemptCut struct{ Call, Part int }

type callOutcome struct {
	Call    int
	Results []attemptOutcome
}

type attemptOutcome struct {
	Outcome policy.Outcome
	Gone    bool // see result.messageEnded
	Wait    time.Duration
	Report  policy.Report
}

type forwardedAnswer struct {
	Seq    int
	Status int
	Again  time.Duration
	ID     uint32
	Policy int64 `json:",omitempty"` // fleet policy under which the message was accepted
}

// connCounts are the connections of a process. The limits apply to both processes together.
type connCounts struct{ Clients, Hosts int }

// link is the connection between the two processes of a takeover.
type link struct {
	conn *net.UnixConn
	dec  *json.Decoder

	mu  sync.Mutex
	enc *json.Encoder
}

func newLink(conn *net.UnixConn) *link {
	return &link{conn: conn, dec: json.NewDecoder(conn), enc: json.NewEncoder(conn)}
}

// send writes a frame. On an error it closes the link, since a partly written frame would corrupt the next one.
func (l *link) send(x any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.conn.SetWriteDeadline(time.Now().Add(linkSendTimeout))
	if err == nil {
		err = l.enc.Encode(x)
	}
	if err != nil {
		l.conn.Close()
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// linkAddress returns the address of the socket in a folder. It goes through /proc/self/fd, because the folder's path may be
// longer than a socket path may be. release closes the folder.
func linkAddress(dir string) (addr *net.UnixAddr, release func(), err error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, nil, fmt.Errorf("link: %w", err)
	}
	name := fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), linkSocketName)
	return &net.UnixAddr{Name: name, Net: "unix"}, func() { f.Close() }, nil
}

// listenLink listens for successors. The caller holds the log's lock, so an existing socket is stale and is removed.
func listenLink(dir string) (*net.UnixListener, error) {
	if err := os.Remove(filepath.Join(dir, linkSocketName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("link: %w", err)
	}
	addr, release, err := linkAddress(dir)
	if err != nil {
		return nil, err
	}
	defer release()
	l, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to a successor's socket
	return l, nil
}

// dialLink connects to the process that has the relay.
func dialLink(dir string) (*net.UnixConn, error) {
	addr, release, err := linkAddress(dir)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialUnix("unix", nil, addr)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return conn, nil
}

// sendListener passes a listening socket to the other process. Both then share it with one accept queue, so that no
// connection is lost when one of them closes it.
func sendListener(conn *net.UnixConn, l net.Listener) error {
	sock, ok := l.(syscall.Conn)
	if !ok {
		return errors.New("link: the listener is not a socket")
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	// Not with TCPListener.File, which would put the socket into blocking mode for both processes.
	var sent error
	err = raw.Control(func(fd uintptr) { _, _, sent = conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(fd)), nil) })
	if err = errors.Join(err, sent); err != nil {
		return fmt.Errorf("link: send the listener: %w", err)
	}
	return nil
}

// receiveListener receives a listening socket from the other process.
func receiveListener(conn *net.UnixConn) (net.Listener, error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := conn.ReadMsgUnix(make([]byte, 1), oob)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	msgs, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(msgs) != 1 {
		return nil, fmt.Errorf("link: no listener received: %d control messages, %w", len(msgs), errors.Join(err))
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		return nil, fmt.Errorf("link: no listener received: %d descriptors, %w", len(fds), errors.Join(err))
	}
	syscall.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return l, nil
}
