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

// takeHangups takes SIGHUP from now to the end of the process: one that nobody takes ends it, also while it answers its last
// requests.
func takeHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watch sends the settings again after SIGHUP and when the file has changed, until the context ends. Settings that can't be used are
// told in the log, and the earlier ones stay.
func watch(ctx context.Context, path string, log *slog.Logger, hangups <-chan os.Signal) <-chan *settings.Settings {
	changed := make(chan *settings.Settings, 1)
	go follow(ctx, path, log, hangups, changed)
	return changed
}

func follow(ctx context.Context, path string, log *slog.Logger, hangups <-chan os.Signal, changed chan<- *settings.Settings) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(seen) {
				continue
			}
		}
		seen = modified(path)
		reload(ctx, path, log, changed)
	}
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
