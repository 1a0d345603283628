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

// patience is how long a test waits for a signal.
const patience = 5 * time.Second

func hangUp(t *testing.T) {
	t.Helper()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
}

// TestHangupWhileStoppingIsHarmless hangs up on a process that has ended its watch and answers its last requests. A signal that
// nobody takes would end the test's process.
func TestHangupWhileStoppingIsHarmless(t *testing.T) {
	hangups := takeHangups()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.DiscardHandler)
	ended := make(chan struct{})
	go func() {
		follow(ctx, filepath.Join(t.TempDir(), "missing.toml"), log, hangups, nil)
		close(ended)
	}()
	cancel()
	<-ended
	hangUp(t)
	select {
	case <-hangups:
	case <-time.After(patience):
		t.Fatal("the hang-up did not come")
	}
}
