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

// pollInterval is the interval at which the settings file is checked for changes, which may come without a signal.
const pollInterval = 3 * time.Second

// notifyHangups returns a channel that receives SIGHUP until the process exits. Without it the signal would terminate the process,
// even while it finishes its last requests.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watch returns a channel that receives the settings after SIGHUP and after each change of the file, until the context ends.
// Invalid settings are logged, and the previous ones stay in use.
func watch(ctx context.Context, path string, log *slog.Logger, hangups <-chan os.Signal) <-chan *settings.Settings {
	changed := make(chan *settings.Settings, 1)
	go watchLoop(ctx, path, log, hangups, changed)
	return changed
}

// watchLoop reloads the settings after SIGHUP and after each change of the modification time of the file.
func watchLoop(ctx context.Context, path string, log *slog.Logger, hangups <-chan os.Signal, changed chan<- *settings.Settings) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		reload(ctx, path, log, changed)
	}
}

// modificationTime returns when the file was last modified, or the zero time if that is unknown.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload loads the settings and sends them to the channel.
func reload(ctx context.Context, path string, log *slog.Logger, changed chan<- *settings.Settings) {
	loaded, err := settings.Load(path)
	if err != nil {
		log.Error("the changed settings are invalid; the previous ones stay in use", "error", err)
		return
	}
	log.Info("settings reloaded", "path", path)
	select {
	case changed <- loaded:
	case <-ctx.Done():
	}
}
