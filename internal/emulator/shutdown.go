package emulator

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// acknowledgeRetryDelay is the pause before a drain or deregistration that no control process acknowledged is sent again.
const acknowledgeRetryDelay = 200 * time.Millisecond

// Drain announces to the control processes that the endpoint is draining, and retries until one of them acknowledges it or the context
// ends. The endpoint continues to serve; its responses carry "Connection: close".
func (e *Endpoint) Drain(ctx context.Context) error {
	e.draining.Store(true)
	return e.retryUntilAcknowledged(ctx, e.heartbeats.sendHeartbeat)
}

// DrainWithin drains an endpoint that will be shut down after the remaining time, whether or not its requests have finished, and
// announces that time in its heartbeats. The caller calls Close by then.
func (e *Endpoint) DrainWithin(ctx context.Context, remaining time.Duration) error {
	shutdownAt := time.Now().Add(remaining)
	e.shutdownAt.Store(&shutdownAt)
	return e.Drain(ctx)
}

// remainingMs returns the time in milliseconds until the shutdown announced by DrainWithin; nil: none is announced.
func (e *Endpoint) remainingMs() *int64 {
	shutdownAt := e.shutdownAt.Load()
	if shutdownAt == nil {
		return nil
	}
	remaining := max(0, time.Until(*shutdownAt).Milliseconds())
	return &remaining
}

// Deregister deregisters the endpoint from the control processes, and retries until one of them acknowledges it or the context ends. The
// caller calls Close afterwards.
func (e *Endpoint) Deregister(ctx context.Context) error {
	return e.retryUntilAcknowledged(ctx, e.heartbeats.sendDeregistration)
}

func (e *Endpoint) retryUntilAcknowledged(ctx context.Context, send func(context.Context) error) error {
	for {
		err := send(ctx)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(acknowledgeRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return trace.Wrap(err)
		case <-timer.C:
		}
	}
}
