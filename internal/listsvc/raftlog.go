package listsvc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logInterval is the minimum interval between log lines with the same message. Raft logs an unreachable server at every
// heartbeat.
const logInterval = 5 * time.Second

// raftLogger returns a logger that forwards raft's messages to log, each at most once per logInterval.
func raftLogger(log *slog.Logger, now func() time.Time) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info})
	l.RegisterSink(&raftLogSink{log: log, now: now, messages: map[string]*messageState{}})
	return l
}

// messageState records when a message was last logged and how often it was suppressed since.
type messageState struct {
	lastLogged time.Time
	suppressed int
}

// raftLogSink forwards raft's messages to log.
type raftLogSink struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	messages map[string]*messageState // by message text, of which raft has a few dozen
}

// Accept implements hclog.SinkAdapter.
func (s *raftLogSink) Accept(_ string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Info {
		return
	}
	slogLevel := slog.LevelInfo
	switch level {
	case hclog.Warn:
		slogLevel = slog.LevelWarn
	case hclog.Error:
		slogLevel = slog.LevelError
	}
	s.mu.Lock()
	state := s.messages[msg]
	if state == nil {
		state = &messageState{}
		s.messages[msg] = state
	}
	now := s.now()
	if !state.lastLogged.IsZero() && now.Sub(state.lastLogged) < logInterval {
		state.suppressed++
		s.mu.Unlock()
		return
	}
	suppressed := state.suppressed
	state.lastLogged, state.suppressed = now, 0
	s.mu.Unlock()
	if suppressed > 0 {
		args = append(args, "not_logged", suppressed)
	}
	for i, a := range args {
		if f, ok := a.(hclog.Format); ok && len(f) > 0 {
			args[i] = fmt.Sprintf(f[0].(string), f[1:]...)
		}
	}
	s.log.Log(context.Background(), slogLevel, "raft: "+msg, args...)
}
