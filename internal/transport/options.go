package transport

import (
	"cmp"
	"log/slog"
	"time"
)

// Bounds of the protocol, the same for every process.
const (
	// MaxFrame is the largest payload of a frame, in bytes.
	MaxFrame = 16 << 20
	// MaxDatagram is the largest datagram with its kind byte, in bytes.
	MaxDatagram = 1200
)

// Defaults of Options.
const (
	defaultQueueMessages  = 4096
	defaultQueueBytes     = 8 << 20
	defaultMaxAccepted    = 2048
	defaultDialTimeout    = 400 * time.Millisecond
	defaultBackoffFloor   = 100 * time.Millisecond
	defaultBackoffCeiling = 600 * time.Millisecond
	defaultQueueAge       = time.Second
	defaultUserTimeout    = time.Second
	defaultWriteTimeout   = 2 * time.Second
	defaultIdleTimeout    = time.Minute
)

// Options are the settings of a Mesh. Address and Handler are required; a zero value elsewhere means the default.
type Options struct {
	// Address is the internal "ip:port" of this process, for TCP and UDP. With port 0 a free port is taken.
	Address string
	// Handler takes what arrives. It owns the payload that it is given.
	Handler Handler
	// Logger takes the few log lines of the package.
	Logger *slog.Logger

	// QueueMessages and QueueBytes bound what waits for one destination. A single frame larger than QueueBytes is taken
	// when nothing else waits.
	QueueMessages int
	QueueBytes    int
	// QueueAge is how long a message waits for a destination that cannot be reached.
	QueueAge time.Duration
	// MaxAccepted bounds the incoming connections.
	MaxAccepted int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// BackoffFloor and BackoffCeiling bound the pause after a failed attempt. The ceiling is below a second so that a
	// destination that comes back is reached within a second.
	BackoffFloor   time.Duration
	BackoffCeiling time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT of outgoing connections: how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// WriteTimeout bounds the write of one chunk of bytes to a peer that does not read.
	WriteTimeout time.Duration
	// IdleTimeout is how long an outgoing connection may rest before it is closed.
	IdleTimeout time.Duration
}

// withDefaults returns the options with each zero value replaced by its default.
func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.QueueMessages = cmp.Or(o.QueueMessages, defaultQueueMessages)
	o.QueueBytes = cmp.Or(o.QueueBytes, defaultQueueBytes)
	o.MaxAccepted = cmp.Or(o.MaxAccepted, defaultMaxAccepted)
	o.QueueAge = cmp.Or(o.QueueAge, defaultQueueAge)
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.BackoffFloor = cmp.Or(o.BackoffFloor, defaultBackoffFloor)
	o.BackoffCeiling = cmp.Or(o.BackoffCeiling, defaultBackoffCeiling)
	o.UserTimeout = cmp.Or(o.UserTimeout, defaultUserTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	return o
}
