package transport

import (
	"context"
	"log/slog"
	"time"
)

// reportEvery is between two log lines that tell what was sent.
const reportEvery = 10 * time.Second

// Reporter writes what a mesh has sent to a log at debug level, now and then.
type Reporter struct {
	Mesh *Mesh
	Log  *slog.Logger
	next time.Time
}

// Tick writes the line when it is due.
func (r *Reporter) Tick(now time.Time) {
	if now.Before(r.next) || !r.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	r.next = now.Add(reportEvery)
	attributes := make([]slog.Attr, 0, kinds)
	for kind, counter := range r.Mesh.Counters().Sent {
		if counter.Messages > 0 {
			attributes = append(attributes, slog.Group(Kind(kind).String(),
				slog.Uint64("messages", counter.Messages), slog.Uint64("bytes", counter.Bytes)))
		}
	}
	r.Log.LogAttrs(context.Background(), slog.LevelDebug, "sent", attributes...)
}
