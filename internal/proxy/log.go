package proxy

import (
	"log/slog"
	"sync"
	"time"
)

// logEvery is between two lines of the same text.
const logEvery = 5 * time.Second

// eventLog writes what should not happen often, and bounds how often it is written.
type eventLog struct {
	log *slog.Logger

	mu    sync.Mutex
	lines map[string]*logLine
}

type logLine struct {
	writtenAt time.Time
	passed    int // over since
}

// warn writes a line, unless the same text was written a moment ago. The texts are constants, so there are few.
func (e *eventLog) warn(text, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lines == nil {
		e.lines = map[string]*logLine{}
	}
	line := e.lines[text]
	if line == nil {
		line = &logLine{}
		e.lines[text] = line
	}
	now := time.Now()
	if now.Sub(line.writtenAt) < logEvery {
		line.passed++
		return
	}
	e.log.Warn(text, "detail", detail, "more", line.passed)
	line.writtenAt, line.passed = now, 0
}
