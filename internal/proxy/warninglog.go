package proxy

import (
	"log/slog"
	"sync"
	"time"
)

// warnInterval is the minimum time between two log lines with the same text.
const warnInterval = 5 * time.Second

// warningLog logs warnings at a limited rate per text.
type warningLog struct {
	log *slog.Logger

	mu     sync.Mutex
	byText map[string]*warning
}

// warning is the rate limit state of one text.
type warning struct {
	loggedAt   time.Time
	suppressed int // repetitions since loggedAt that were not logged
}

// warn logs a warning, unless one with the same text was logged less than warnInterval ago. The texts are constants, so byText
// stays small.
func (l *warningLog) warn(text, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byText == nil {
		l.byText = map[string]*warning{}
	}
	entry := l.byText[text]
	if entry == nil {
		entry = &warning{}
		l.byText[text] = entry
	}
	now := time.Now()
	if now.Sub(entry.loggedAt) < warnInterval {
		entry.suppressed++
		return
	}
	l.log.Warn(text, "detail", detail, "more", entry.suppressed)
	entry.loggedAt, entry.suppressed = now, 0
}
