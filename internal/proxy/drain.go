package proxy

import (
	"context"
	"time"
)

const (
	// drainAcceptDuration is how long new connections are accepted after the stop signal: clients use a cached list of relays for
	// some time.
	drainAcceptDuration = 2500 * time.Millisecond
	// drainMargin is how long before the end of the grace period the last response must be complete.
	drainMargin = 500 * time.Millisecond
	// refuseWaitingMargin is how long before the end of the grace period requests that still wait for an endpoint are refused, so
	// that their clients have time to try another relay.
	refuseWaitingMargin = time.Second
	// acceptGraceDivisor limits drainAcceptDuration to this part of a short grace period.
	acceptGraceDivisor = 3
)

// Drain stops serving without losing a request. The relay reports that it is not ready, and responses announce that their
// connections close. New connections are accepted for some time longer. Then idle connections are closed, and every request that
// was read gets its response. Drain returns when all connections have ended, when the grace period is about to end, or when ctx
// ends. It returns false if connections were still open, so that requests may have remained without a response. A further call
// returns true at once.
func (s *Server) Drain(ctx context.Context) bool {
	if s.draining.Swap(true) {
		return true
	}
	drainDuration := s.options.GracePeriod - drainMargin
	deadline := time.Now().Add(drainDuration)
	requestDeadline := deadline.Add(-maxResponseMargin)
	s.drainDeadline.Store(&requestDeadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	refuseTimer := time.AfterFunc(s.options.GracePeriod-refuseWaitingMargin, func() { close(s.refuseWaiting) })
	defer refuseTimer.Stop()

	s.options.Log.Info("draining", "grace", s.options.GracePeriod)
	sleep(ctx, min(drainAcceptDuration, drainDuration/acceptGraceDivisor))
	s.acceptor.stopAccepting()
	complete := s.acceptor.waitForClients(ctx)
	if !complete {
		clients, _ := s.acceptor.count()
		s.options.Log.Warn("drain ended with open connections", "connections", clients)
	}
	s.Close()
	s.logSummary()
	return complete
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
