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

// sayEach is how often one message of raft's is logged: a server that is away is told of with each beat.
const sayEach = 5 * time.Second

// raftLogger has raft speak through the product's log, each message at most once in sayEach.
func raftLogger(log *slog.Logger, now func() time.Time) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info})
	l.RegisterSink(&raftSink{log: log, now: now, said: map[string]*saying{}})
	return l
}

type saying struct {
	last time.Time
	held int
}

type raftSink struct {
	log *slog.Logger
	now func() time.Time

	mu   sync.Mutex
	said map[string]*saying // by text: raft's own texts, which are a few dozen
}

// Accept takes a message of raft's.
func (s *raftSink) Accept(_ string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Info {
		return
	}
	to := slog.LevelInfo
	switch level {
	case hclog.Warn:
		to = slog.LevelWarn
	case hclog.Error:
		to = slog.LevelError
	}
	s.mu.Lock()
	w := s.said[msg]
	if w == nil {
		w = &saying{}
		s.said[msg] = w
	}
	now := s.now()
	if !w.last.IsZero() && now.Sub(w.last) < sayEach {
		w.held++
		s.mu.Unlock()
		return
	}
	held := w.held
	w.last, w.held = now, 0
	s.mu.Unlock()
	if held > 0 {
		args = append(args, "not_logged", held)
	}
	for i, a := range args {
		if f, ok := a.(hclog.Format); ok && len(f) > 0 {
			args[i] = fmt.Sprintf(f[0].(string), f[1:]...)
		}
	}
	s.log.Log(context.Background(), to, "raft: "+msg, args...)
}
