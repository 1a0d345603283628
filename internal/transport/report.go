package transport

import (
	"context"
	"log/slog"
	"time"
)

// reportInterval is the time between two log lines about the sent messages.
const reportInterval = 10 * time.Second

// Reporter periodically logs, at debug level, what a mesh has sent.
type Reporter struct {
	Mesh       *Mesh
	Log        *slog.Logger
	nextReport time.Time
}

// Tick writes the log line if it is due. It is called regularly.
func (r *Reporter) Tick(now time.Time) {
	if now.Before(r.nextReport) || !r.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	r.nextReport = now.Add(reportInterval)
	attributes := make([]slog.Attr, 0, kindCount)
	for kind, counter := range r.Mesh.Counters().Sent {
		if counter.Messages > 0 {
			attributes = append(attributes, slog.Group(Kind(kind).String(),
				slog.Uint64("messages", counter.Messages), slog.Uint64("bytes", counter.Bytes)))
		}
	}
	r.Log.LogAttrs(context.Background(), slog.LevelDebug, "sent", attributes...)
}
