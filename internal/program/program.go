// Package program is what the daemons of the system share: their command line, settings, logs and signals.
package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"wallflow/internal/settings"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the settings or the command line can't be used
)

const (
	settingsFlag = "settings"
	levelFlag    = "log-level"
	jsonFlag     = "log-json"
	// memoryShare is the part of the memory limit that the runtime tries to stay within.
	memoryShare = 0.7
	// collectAt is how much the heap may grow before it is collected, in percent: memory at its peak is priced.
	collectAt = 100
)

// Environment is what a daemon starts with.
type Environment struct {
	Settings *settings.Settings
	Changed  <-chan *settings.Settings // the settings after each change of the file
	Log      *slog.Logger
}

// Main runs a daemon until it is told to stop, and returns the exit code of the process.
func Main(command *cli.Command, serve func(ctx context.Context, environment Environment) error) int {
	code := ExitOK
	hangups := takeHangups()
	command.Flags = append(command.Flags,
		&cli.StringFlag{Name: settingsFlag, Usage: "settings file", Value: settings.FromEnvironment()},
		&cli.StringFlag{Name: levelFlag, Usage: "debug, info, warn or error", Value: "info"},
		&cli.BoolFlag{Name: jsonFlag, Usage: "write logs as JSON"},
	)
	command.Action = func(ctx context.Context, parsed *cli.Command) error {
		environment, err := prepare(parsed, os.Stderr)
		if err != nil {
			code = ExitSettings
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		signal.Ignore(syscall.SIGPIPE)
		environment.Changed = watch(ctx, parsed.String(settingsFlag), environment.Log, hangups)
		return serve(ctx, environment)
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, command.Name+":", err)
		if code == ExitOK {
			code = ExitFailed
		}
	}
	return code
}

func prepare(parsed *cli.Command, output io.Writer) (Environment, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(parsed.String(levelFlag))); err != nil {
		return Environment{}, fmt.Errorf("--%s: %w", levelFlag, err)
	}
	set, err := settings.Load(parsed.String(settingsFlag))
	if err != nil {
		return Environment{}, err
	}
	boundMemory(set)
	return Environment{Settings: set, Log: newLog(output, level, parsed.Bool(jsonFlag))}, nil
}

// boundMemory has the runtime stay well under the limit at which the process is ended.
func boundMemory(set *settings.Settings) {
	debug.SetGCPercent(collectAt)
	if set.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.Limits.MemoryMB) * (1 << 20)))
	}
}

func newLog(output io.Writer, level slog.Level, asJSON bool) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(output, options))
	}
	return slog.New(slog.NewTextHandler(output, options))
}
