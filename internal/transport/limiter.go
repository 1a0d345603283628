package transport

import (
	"sync"
	"time"
)

// logInterval is the least time between two log lines of one kind.
const logInterval = 5 * time.Second

// logLimiter lets one log line through in logInterval and counts those it held back.
type logLimiter struct {
	mutex sync.Mutex
	next  time.Time
	held  int
}

// allow reports whether a line may be written now, and how many were held back since the last one.
func (l *logLimiter) allow(now time.Time) (held int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Before(l.next) {
		l.held++
		return 0, false
	}
	held = l.held
	l.held = 0
	l.next = now.Add(logInterval)
	return held, true
}
