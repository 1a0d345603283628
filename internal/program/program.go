// Package program holds what the daemons of the system share: command line, settings, logging and signal handling.
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
	ExitSettings = 2 // the settings or the command line are invalid
)

const (
	settingsFlag = "settings"
	levelFlag    = "log-level"
	jsonFlag     = "log-json"
	// memoryLimitRatio is the fraction of the memory limit of the process that is set as soft limit of the Go runtime.
	memoryLimitRatio = 0.7
	// gcPercent is the garbage collection target percentage. It bounds peak memory, which has a cost.
	gcPercent = 100
)

// Environment is what a daemon is started with.
type Environment struct {
	Settings *settings.Settings
	Changed  <-chan *settings.Settings // the new settings after each change of the file
	Log      *slog.Logger
}

// Main parses the command line, loads the settings and runs a daemon until it receives SIGTERM or SIGINT. It returns the exit
// code of the process.
func Main(command *cli.Command, serve func(ctx context.Context, environment Environment) error) int {
	code := ExitOK
	hangups := notifyHangups()
	command.Flags = append(command.Flags,
		&cli.StringFlag{Name: settingsFlag, Usage: "settings file", Value: settings.PathFromEnvironment()},
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

// prepare loads the settings, sets the memory limit and creates the logger.
func prepare(parsed *cli.Command, output io.Writer) (Environment, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(parsed.String(levelFlag))); err != nil {
		return Environment{}, fmt.Errorf("--%s: %w", levelFlag, err)
	}
	loaded, err := settings.Load(parsed.String(settingsFlag))
	if err != nil {
		return Environment{}, err
	}
	limitMemory(loaded)
	return Environment{Settings: loaded, Log: newLog(output, level, parsed.Bool(jsonFlag))}, nil
}

// limitMemory sets the soft memory limit of the Go runtime well below the limit at which the process is killed.
func limitMemory(loaded *settings.Settings) {
	debug.SetGCPercent(gcPercent)
	if loaded.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(loaded.Limits.MemoryMB) * (1 << 20)))
	}
}

// newLog returns a logger that writes text or JSON.
func newLog(output io.Writer, level slog.Level, asJSON bool) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(output, options))
	}
	return slog.New(slog.NewTextHandler(output, options))
}
