package proxy

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/selector"
)

// The cause of a late response is the delay that dominates.
func TestCauseOfLateResponse(t *testing.T) {
	const targetLatency = time.Second
	arrived := time.Unix(100, 0)
	attempt := func(held, own time.Duration) sentAttempt {
		return sentAttempt{new(selector.Attempt), selector.Forecast{SentAt: arrived.Add(held), Processing: own}}
	}
	for _, c := range []struct {
		name   string
		record requestRecord
		wanted Cause
	}{
		{"nothing was sent", requestRecord{}, CauseHeld},
		{"sent late", requestRecord{attempts: 1, lastAttempt: attempt(300*time.Millisecond, 0)}, CauseHeld},
		{"long prefill", requestRecord{attempts: 1, lastAttempt: attempt(0, 600*time.Millisecond)}, CausePrefill},
		{"queued at the endpoint", requestRecord{attempts: 1, lastAttempt: attempt(0, 50*time.Millisecond)}, CauseQueued},
		{"sent twice", requestRecord{attempts: 2, lastAttempt: attempt(0, 600*time.Millisecond)}, CauseRetried},
	} {
		e := &exchange{arrived: arrived, record: c.record}
		assert.Equal(t, e.lateFirstByteCause(targetLatency), c.wanted, c.name)
	}
	for cause := range causeCount {
		assert.Assert(t, cause.String() != "none" && cause.String() != "")
	}
	assert.Equal(t, causeCount.String(), "none")
}

// A failed request is counted by cause at any log level. Its details are logged at debug level only.
func TestFailedRequestsAreCountedAndLogged(t *testing.T) {
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo} {
		var log bytes.Buffer
		endpoint := newFakeEndpoint(t, "a", respondTruncated)
		relay := newTestRelay(t, compiledConfig(config.KindUnsafe, nil), newFakeChooser(endpoint), func(options *Options) {
			options.Log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: level}))
		})
		got := relay.requestOnce("", "")
		assert.Equal(t, got.StatusCode, 502)
		assert.Assert(t, <-relay.drain())
		assert.Equal(t, relay.server.Stats().LateByCause[CauseFailed], uint64(1))
		text := log.String()
		assert.Equal(t, strings.Contains(text, "request late or failed"), level == slog.LevelDebug, text)
		assert.Assert(t, strings.Contains(text, "request summary") && strings.Contains(text, "failed=1"), text)
		if level == slog.LevelDebug {
			assert.Assert(t, strings.Contains(text, "cause=failed") && strings.Contains(text, "attempt1.instance="), text)
		}
	}
}

// The attempts that are kept for the log of one request are bounded.
func TestLoggedAttemptsAreBounded(t *testing.T) {
	var record requestRecord
	for range 3 * maxLoggedAttempts {
		record.addAttempt(&selector.Decision{Attempt: new(selector.Attempt)}, true)
	}
	assert.Equal(t, len(record.logged), maxLoggedAttempts)
	assert.Equal(t, record.attempts, 3*maxLoggedAttempts)
}

// The longest gap is measured between the times at which events are written to the client.
func TestLongestGap(t *testing.T) {
	var record requestRecord
	at := time.Unix(1, 0)
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 40 * time.Millisecond} {
		at = at.Add(gap)
		record.addEvent(at)
	}
	assert.Equal(t, record.longestGap, 300*time.Millisecond)
}
