package emulator

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// drainRetry is the pause before an unacknowledged leave is told again.
const drainRetry = 200 * time.Millisecond

// Drain tells the control processes that the endpoint is about to leave, until one of them acknowledges it or the context ends. It
// serves on; answers say that their connection ends.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.draining.Store(true)
	return e.untilAcknowledged(ctx, e.beats.beat)
}

// TakeAway is Drain for an endpoint that is taken away at short notice: whatever it runs, it ends after the remaining time. Close is to
// follow by then.
func (e *Endpoint) TakeAway(ctx context.Context, remaining time.Duration) error {
	end := time.Now().Add(remaining)
	e.ends.Store(&end)
	return e.Drain(ctx)
}

// remainingMs is the time that an endpoint has left which is taken away at short notice; nil: it isn't.
func (e *Endpoint) remainingMs() *int64 {
	end := e.ends.Load()
	if end == nil {
		return nil
	}
	left := max(0, time.Until(*end).Milliseconds())
	return &left
}

// Leave tells the control processes that the endpoint has ended. Close is to follow.
func (e *Endpoint) Leave(ctx context.Context) error {
	return e.untilAcknowledged(ctx, e.beats.leave)
}

func (e *Endpoint) untilAcknowledged(ctx context.Context, tell func(context.Context) error) error {
	for {
		err := tell(ctx)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(drainRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return trace.Wrap(err)
		case <-timer.C:
		}
	}
}
