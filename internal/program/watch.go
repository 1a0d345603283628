package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wallflow/internal/settings"
)

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = 3 * time.Second

// watch sends the settings again after SIGHUP and when the file has changed. Settings that can't be used are told in the log, and
// the earlier ones stay.
func watch(ctx context.Context, path string, log *slog.Logger) <-chan *settings.Settings {
	changed := make(chan *settings.Settings, 1)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangup)
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		seen := modified(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			case <-ticker.C:
				if modified(path).Equal(seen) {
					continue
				}
			}
			seen = modified(path)
			reload(ctx, path, log, changed)
		}
	}()
	return changed
}

// modified is when the file was last written; the zero time where that can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(ctx context.Context, path string, log *slog.Logger, changed chan<- *settings.Settings) {
	set, err := settings.Load(path)
	if err != nil {
		log.Error("the changed settings can't be used; the earlier ones stay", "error", err)
		return
	}
	log.Info("settings read again", "path", path)
	select {
	case changed <- set:
	case <-ctx.Done():
	}
}
