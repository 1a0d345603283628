package program

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// signalTimeout bounds the wait for a signal.
const signalTimeout = 5 * time.Second

func sendHangup(t *testing.T) {
	t.Helper()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

// A process that has stopped watching its settings and finishes its last requests receives SIGHUP. If the signal were not handled
// any more, it would terminate the test process.
func TestHangupAfterWatchEndedIsHarmless(t *testing.T) {
	hangups := notifyHangups()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	ended := make(chan struct{})
	go func() {
		watchLoop(ctx, filepath.Join(t.TempDir(), "missing.toml"), log, hangups, nil)
		close(ended)
	}()
	cancel()
	<-ended
	sendHangup(t)
	select {
	case <-hangups:
	case <-time.After(signalTimeout):
		t.Fatal("SIGHUP was not received")
	}
}
