// Command wallflow is the product's command for people: it runs a small serving system on loopback, gives the operator's orders to one
// that is in service, and plays trials that show what relays do when something fails around them.
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
	exitHeld   = 0
	exitBroken = 1 // an invariant broke
	exitWrong  = 2 // wrong use, or what was asked for could not be done
)

// errBroken tells that an invariant broke; what and where was said already.
var errBroken = errors.New("an invariant broke")

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run is the whole program but for the process around it.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer stop()
	root := newRoot()
	root.Reader, root.Writer, root.ErrWriter = in, out, errOut
	err := root.Run(ctx, append([]string{root.Name}, args...))
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroken):
		return exitBroken
	}
	fmt.Fprintln(errOut, "wallflow:", err)
	return exitWrong
}

// settings are what the configuration file may hold. A flag goes before it.
type settings struct {
	Log struct {
		Format string // text or json
		Level  string // debug, info, warn or error
	}
	Trial struct {
		Relay string // the relay's program
		Load  string
		For   units.Duration
		Dir   string
	}
	Serve   serveSettings
	Agent   agentSettings
	Server  []string // addresses of list servers, for commands that ask them
	Control []string // addresses of control processes, for commands that ask them
}

// app is what all subcommands share.
type app struct {
	settings
	configFile string
	log        *slog.Logger
}

func newRoot() *cli.Command {
	a := &app{}
	root := &cli.Command{
		Name:  "wallflow",
		Usage: "The serving system's command for people: a system on loopback, its operator's orders, and trials",
		Description: described(`wallflow is the product's command.

Exit codes: 0 all held, 1 an invariant broke, 2 wrong use or what was asked for could not be done.`,
			`wallflow up`,
			`wallflow status --control 10.1.0.13:8166`,
			`wallflow config check config.json`,
			`wallflow trial run berth`,
			`wallflow completion bash`),
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {}, // run tells of errors
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Value: os.Getenv("WALLFLOW_CONFIG"), Destination: &a.configFile, Usage: "configuration file (TOML); also WALLFLOW_CONFIG"},
			&cli.StringFlag{Name: "log-format", Value: "text", Destination: &a.Log.Format, Usage: "form of the log: text or json"},
			&cli.StringFlag{Name: "log-level", Value: "info", Destination: &a.Log.Level, Usage: "least level that is logged: debug, info, warn or error"},
		},
		Commands: []*cli.Command{
			newUp(a), newStatus(a), newConfig(a), newEvacuate(a), newRestore(a), newVerify(a),
			newExperiment(a), newDays(a), newTrial(a), newServe(a), newAgent(a), newEndpoint(a), newSnapshot(a), newPolicy(a), newVersion(a),
		},
		Action: group,
	}
	settle(root)
	return root
}

// prepare reads the configuration, which flags go before, and sets the log up.
func (a *app) prepare(cmd *cli.Command) error {
	if a.configFile != "" {
		var file settings
		if err := tomlfile.Read(a.configFile, &file); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		a.take(cmd, file)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(a.Log.Level)); err != nil {
		return fmt.Errorf("log level %q: wanted is debug, info, warn or error", a.Log.Level)
	}
	o := &slog.HandlerOptions{Level: level}
	switch a.Log.Format {
	case "text":
		a.log = slog.New(slog.NewTextHandler(cmd.Root().ErrWriter, o))
	case "json":
		a.log = slog.New(slog.NewJSONHandler(cmd.Root().ErrWriter, o))
	default:
		return fmt.Errorf("log format %q: wanted is text or json", a.Log.Format)
	}
	return nil
}

// take puts the file's values where no flag was given.
func (a *app) take(cmd *cli.Command, file settings) {
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
	s := file.Serve // what has no flag is the file's
	s.Name, s.Listen, s.Raft = a.Serve.Name, a.Serve.Listen, a.Serve.Raft
	if s.Dir == "" || cmd.IsSet("dir") {
		s.Dir = a.Serve.Dir
	}
	if len(s.Join) == 0 || cmd.IsSet("join") {
		s.Join = a.Serve.Join
	}
	a.Serve = s
	for flag, to := range map[string][2]*string{"dir": {&a.Agent.Dir, &file.Agent.Dir}, "listen": {&a.Agent.Listen, &file.Agent.Listen},
		"register": {&a.Agent.Name, &file.Agent.Name}, "zone": {&a.Agent.Zone, &file.Agent.Zone}, "finals": {&a.Agent.Finals, &file.Agent.Finals}, "take-on": {&a.Agent.TakeOn, &file.Agent.TakeOn}} {
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

// version is what the build says of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "wallflow, of no known build"
	}
	parts := []string{"wallflow", info.Main.Version, info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			parts = append(parts, s.Value)
		}
	}
	return strings.Join(parts, " ")
}
