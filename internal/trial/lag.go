package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wallflow/internal/trial/history"
)

// Lag describes how late the harness itself was, measured by a timer every 2 ms.
type Lag struct {
	P99, Max time.Duration
	Share    float64 // share of the time in delays over 15 ms
}

// excess explains why the harness was too late for a verdict; empty if it was not.
func (l Lag) excess() string {
	switch {
	case l.Max > maxLag:
		return fmt.Sprintf("the test process was late by %v once, the limit is %v", l.Max.Round(time.Millisecond), maxLag)
	case l.Share > maxLagShare:
		return fmt.Sprintf("the test process was late by over %v in %.0f%% of the time, the limit is %.0f%%", lagThreshold, 100*l.Share,
			100*maxLagShare)
	}
	return ""
}

// lagMeter measures the lag of the harness.
type lagMeter struct {
	mu        sync.Mutex
	hist      *hdrhistogram.Histogram // in microseconds
	lateTime  time.Duration
	startedAt time.Time
}

// measureLag measures until ctx ends. Delays over lagThreshold are recorded in the history.
func (h *Harness) measureLag(ctx context.Context) *lagMeter {
	w := &lagMeter{hist: hdrhistogram.New(1, (time.Minute).Microseconds(), 3), startedAt: time.Now()}
	h.background.Go(func() {
		for {
			asked := time.Now()
			if !sleep(ctx, lagInterval) {
				return
			}
			w.record(h.recorder, time.Since(asked)-lagInterval)
		}
	})
	return w
}

func (w *lagMeter) record(recorder *history.Recorder, late time.Duration) {
	late = max(late, 0)
	w.mu.Lock()
	w.hist.RecordValue(min(late, time.Minute).Microseconds())
	if late > lagThreshold {
		w.lateTime += late
	}
	w.mu.Unlock()
	if late > lagThreshold {
		recorder.Add(history.Event{Kind: history.Lag, Duration: late.Microseconds()})
	}
}

func (w *lagMeter) result() Lag {
	w.mu.Lock()
	defer w.mu.Unlock()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return Lag{P99: us(w.hist.ValueAtQuantile(99)), Max: us(w.hist.Max()), Share: w.lateTime.Seconds() / time.Since(w.startedAt).Seconds()}
}
