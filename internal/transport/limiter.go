package transport

import (
	"sync"
	"time"
)

// logInterval is the minimum time between two log lines about malformed data.
const logInterval = 5 * time.Second

// logLimiter allows one log line per logInterval and counts the suppressed ones.
type logLimiter struct {
	mutex      sync.Mutex
	next       time.Time
	suppressed int
}

// allow reports whether a line may be written now, and how many have been suppressed since the last one.
func (l *logLimiter) allow(now time.Time) (suppressed int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Before(l.next) {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed = 0
	l.next = now.Add(logInterval)
	return suppressed, true
}
