package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wallflow/internal/trial/history"
)

// Lag is how late the ground itself was: a timer of its own, asked for every 2 ms.
type Lag struct {
	P99, Max time.Duration
	Share    float64 // of the time that it was late by more than 15 ms
}

// tooMuch tells why what the ground saw is no evidence; empty: it is.
func (l Lag) tooMuch() string {
	switch {
	case l.Max > lagTooMuch:
		return fmt.Sprintf("the ground was late by %v once, %v is the most", l.Max.Round(time.Millisecond), lagTooMuch)
	case l.Share > lagShareMost:
		return fmt.Sprintf("the ground was late by over %v in %.0f%% of the time, %.0f%% is the most", lagNoted, 100*l.Share, 100*lagShareMost)
	}
	return ""
}

// lagWatch measures it.
type lagWatch struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // in microseconds
	late time.Duration
	from time.Time
}

// watchLag measures until ctx ends. Times that matter to the history are put down in it.
func (g *Ground) watchLag(ctx context.Context) *lagWatch {
	w := &lagWatch{hist: hdrhistogram.New(1, (time.Minute).Microseconds(), 3), from: time.Now()}
	g.parts.Go(func() {
		for {
			asked := time.Now()
			if !sleep(ctx, lagEach) {
				return
			}
			w.note(g.rec, time.Since(asked)-lagEach)
		}
	})
	return w
}

func (w *lagWatch) note(rec *history.Recorder, by time.Duration) {
	by = max(by, 0)
	w.mu.Lock()
	w.hist.RecordValue(min(by, time.Minute).Microseconds())
	if by > lagNoted {
		w.late += by
	}
	w.mu.Unlock()
	if by > lagNoted {
		rec.Add(history.Event{Kind: history.Lag, Took: by.Microseconds()})
	}
}

func (w *lagWatch) done() Lag {
	w.mu.Lock()
	defer w.mu.Unlock()
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	return Lag{P99: us(w.hist.ValueAtQuantile(99)), Max: us(w.hist.Max()), Share: w.late.Seconds() / time.Since(w.from).Seconds()}
}
