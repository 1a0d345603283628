// Command wallflow is the command-line tool of the project. It runs a small serving system on loopback, sends the operator's orders to
// a running system, runs list servers and agents, and runs trials, which are fault-injection tests of relays.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"

	"wallflow/internal/tomlfile"
	"wallflow/internal/units"
)

// Exit codes.
const (
	exitOK          = 0
	exitCheckFailed = 1 // a check failed: an invariant is violated, or a status shows problems
	exitError       = 2 // usage error, or the command could not be carried out
)

// errCheckFailed makes the program exit with exitCheckFailed. The details have been printed by then.
var errCheckFailed = errors.New("a check failed")

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run runs the program with the given arguments and streams, and returns its exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer stop()
	root := newRoot()
	root.Reader, root.Writer, root.ErrWriter = in, out, errOut
	err := root.Run(ctx, append([]string{root.Name}, args...))
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed):
		return exitCheckFailed
	}
	fmt.Fprintln(errOut, "wallflow:", err)
	return exitError
}

// settings holds the contents of the configuration file. Flags take precedence over it.
type settings struct {
	Log struct {
		Format string // text or json
		Level  string // debug, info, warn or error
	}
	Trial struct {
		Relay string // path of the relay's executable
		Load  string
		For   units.Duration
		Dir   string
	}
	Serve   serveSettings
	Agent   agentSettings
	Server  []string // addresses of list servers
	Control []string // addresses of control processes
}

// app holds what all subcommands share.
type app struct {
	settings
	configFile string
	log        *slog.Logger
}

func newRoot() *cli.Command {
	a := &app{}
	root := &cli.Command{
		Name:  "wallflow",
		Usage: "Runs a small serving system on loopback, sends the operator's orders, and runs trials",
		Description: withExamples(`wallflow runs, operates and tests the serving system.

Exit codes: 0 success, 1 a check failed, 2 usage error or the command could not be carried out.`,
			`wallflow up`,
			`wallflow status --control 10.1.0.13:8166`,
			`wallflow config check config.json`,
			`wallflow trial run berth`,
			`wallflow completion bash`),
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // run reports errors
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: os.Getenv("WALLFLOW_CONFIG"), Destination: &a.configFile,
				Usage: "configuration file (TOML); also WALLFLOW_CONFIG"},
			&cli.StringFlag{Name: "log-format", Value: "text", Destination: &a.Log.Format, Usage: "log format: text or json"},
			&cli.StringFlag{Name: "log-level", Value: "info", Destination: &a.Log.Level, Usage: "minimum log level: debug, info, warn or error"},
		},
		Commands: []*cli.Command{
			newUp(a), newStatus(a), newConfig(a), newEvacuate(a), newRestore(a), newVerify(a),
			newExperiment(a), newDays(a), newTrial(a), newServe(a), newAgent(a), newEndpoint(a), newSnapshot(a), newPolicy(a), newVersion(a),
		},
		Action: showSubcommands,
	}
	configureCommand(root)
	return root
}

// prepare reads the configuration file, if any, and creates the logger.
func (a *app) prepare(cmd *cli.Command) error {
	if a.configFile != "" {
		var file settings
		if err := tomlfile.Read(a.configFile, &file); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		a.applyFile(cmd, file)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(a.Log.Level)); err != nil {
		return fmt.Errorf("log level %q: must be debug, info, warn or error", a.Log.Level)
	}
	handlerOptions := &slog.HandlerOptions{Level: level}
	switch a.Log.Format {
	case "text":
		a.log = slog.New(slog.NewTextHandler(cmd.Root().ErrWriter, handlerOptions))
	case "json":
		a.log = slog.New(slog.NewJSONHandler(cmd.Root().ErrWriter, handlerOptions))
	default:
		return fmt.Errorf("log format %q: must be text or json", a.Log.Format)
	}
	return nil
}

// applyFile copies the file's values to the settings for which no flag is given.
func (a *app) applyFile(cmd *cli.Command, file settings) {
	for flag, to := range map[string][2]*string{
		"log-format": {&a.Log.Format, &file.Log.Format}, "log-level": {&a.Log.Level, &file.Log.Level},
		"name": {&a.Serve.Name, &file.Serve.Name}, "listen": {&a.Serve.Listen, &file.Serve.Listen}, "raft": {&a.Serve.Raft, &file.Serve.Raft},
		"relay": {&a.Trial.Relay, &file.Trial.Relay}, "load": {&a.Trial.Load, &file.Trial.Load}, "dir": {&a.Trial.Dir, &file.Trial.Dir},
	} {
		if *to[1] != "" && !cmd.IsSet(flag) {
			*to[0] = *to[1]
		}
	}
	if len(file.Server) > 0 && !cmd.IsSet("server") {
		a.Server = file.Server
	}
	if len(file.Control) > 0 && !cmd.IsSet("control") {
		a.Control = file.Control
	}
	serve := file.Serve // settings without a flag come from the file
	serve.Name, serve.Listen, serve.Raft = a.Serve.Name, a.Serve.Listen, a.Serve.Raft
	if serve.Dir == "" || cmd.IsSet("dir") {
		serve.Dir = a.Serve.Dir
	}
	if len(serve.Join) == 0 || cmd.IsSet("join") {
		serve.Join = a.Serve.Join
	}
	a.Serve = serve
	for flag, to := range map[string][2]*string{"dir": {&a.Agent.Dir, &file.Agent.Dir}, "listen": {&a.Agent.Listen, &file.Agent.Listen},
		"register": {&a.Agent.Name, &file.Agent.Name}, "zone": {&a.Agent.Zone, &file.Agent.Zone},
		"finals": {&a.Agent.Finals, &file.Agent.Finals}, "take-on": {&a.Agent.TakeOn, &file.Agent.TakeOn}} {
		if *to[1] != "" && !cmd.IsSet(flag) {
			*to[0] = *to[1]
		}
	}
	a.Agent.Spool, a.Agent.Via = file.Agent.Spool, file.Agent.Via
	if file.Trial.For.Duration > 0 && !cmd.IsSet("for") {
		a.Trial.For = file.Trial.For
	}
}

func newVersion(a *app) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "Prints the version of this build",
		Action: a.action(noArguments, func(_ context.Context, cmd *cli.Command) error {
			fmt.Fprintln(cmd.Root().Writer, version())
			return nil
		}),
	}
}

// version returns the version, the Go version and the commit of this build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "wallflow, unknown build"
	}
	parts := []string{"wallflow", info.Main.Version, info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			parts = append(parts, s.Value)
		}
	}
	return strings.Join(parts, " ")
}
