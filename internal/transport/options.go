package transport

import (
	"cmp"
	"log/slog"
	"time"
)

// Limits of the protocol, the same for every process.
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

// Options configure a Mesh. Address and Handler are required. A zero value in another field selects the default.
type Options struct {
	// Address is the internal "ip:port" of this process, for TCP and UDP. With port 0 a free port is chosen.
	Address string
	// Handler handles received messages. It owns the payload that it is given.
	Handler Handler
	// Logger receives the log lines of the package. By default they are discarded.
	Logger *slog.Logger

	// QueueMessages and QueueBytes bound the queue of one destination. An empty queue accepts a frame larger than
	// QueueBytes.
	QueueMessages int
	QueueBytes    int
	// QueueAge is how long a message is kept for an unreachable destination.
	QueueAge time.Duration
	// MaxAccepted bounds the number of incoming connections.
	MaxAccepted int
	// DialTimeout bounds one attempt to connect.
	DialTimeout time.Duration
	// BackoffFloor and BackoffCeiling bound the delay after a failed attempt to connect. The default ceiling is below one
	// second, so that a destination that becomes reachable again is reached within a second.
	BackoffFloor   time.Duration
	BackoffCeiling time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT of outgoing connections: how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// WriteTimeout bounds the write of one chunk of data.
	WriteTimeout time.Duration
	// IdleTimeout is how long an outgoing connection may be idle before it is closed.
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
