package transport

import (
	"log/slog"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Inbox decodes messages of other processes for handlers that share one lock.
type Inbox struct {
	Lock sync.Locker
	Log  *slog.Logger
}

// Handle decodes a payload into message and then calls handle with the lock held. If the payload cannot be decoded, it only logs
// that.
func (i Inbox) Handle(from string, payload []byte, message proto.Message, handle func()) {
	if err := proto.Unmarshal(payload, message); err != nil {
		i.Log.Warn("malformed message", "from", from, "error", err)
		return
	}
	i.Lock.Lock()
	defer i.Lock.Unlock()
	handle()
}
