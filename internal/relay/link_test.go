package relay

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wallflow/policy"
)

// If the takeover socket cannot be created, the relay serves anyway and logs once that no successor can take over.
func TestRelayServesWithoutTakeoverSocket(t *testing.T) {
	cfg := testConfig()
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, linkSocketName, "in the way"), 0o755); err != nil {
		t.Fatal(err)
	}
	cfg.StateDir, cfg.Listen, cfg.Discovery = dir, "127.0.0.1:0", "127.0.0.1:1"
	cfg.Settings = policy.Settings{Classes: []policy.Class{{Aim: time.Second, GiveUp: 2 * time.Second, Value: 1}}}
	cfg.Classes = []string{"notice"}
	var out bytes.Buffer
	var mu sync.Mutex
	r, err := New(cfg, slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(b)
	}), nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	eventually(t, "serving", r.serving.Load)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if n := strings.Count(out.String(), "no successor can take over"); n != 1 {
		t.Errorf("logged %d times: %s", n, out.String())
	}
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }
