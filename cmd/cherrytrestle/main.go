// Command cherrytrestle is the message relay. It accepts messages from clients and delivers each by a call to a host of its
// destination; see package relay. It is configured by environment variables. The only arguments are --help and --version.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"wallflow/internal/relay"
)

// heapRatio is the fraction of the memory limit of the process that is set as soft limit of the Go runtime. The rest is for stacks,
// the program image and the cached log files.
const heapRatio = 0.7

const usage = `cherrytrestle is the message relay of one client process. It accepts only these arguments:

  --help     print this help
  --version  print the version of this build

It is configured by environment variables:

  ROUTER_CONFIG     path of the configuration file, in JSON (required)
  ROUTER_STATE      persistent folder for the journal (required)
  ROUTER_LISTEN     address where clients connect, such as 127.0.0.1:3000; or "listen" in the file
  ROUTER_DISCOVERY  address of the discovery agent; "discovery" in the file takes precedence
  ROUTER_NAME       name of the relay; or "name" in the file
  ROUTER_MGMT       management address for operators; or "mgmt" in the file (optional)

SIGTERM drains and stops the relay, SIGHUP makes it reload the file. To try a relay with everything around it:
bin/wallflow trial run berth
`

// handleArguments handles --help and --version and rejects all other arguments, so that a mistyped one does not start the relay.
// It returns start if there are no arguments, and otherwise the exit code.
func handleArguments(args []string, out, errOut io.Writer) (code int, start bool) {
	if len(args) == 0 {
		return 0, true
	}
	flags := flag.NewFlagSet("cherrytrestle", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	version := flags.Bool("version", false, "")
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, usage)
		return 0, false
	case err != nil:
		fmt.Fprintf(errOut, "cherrytrestle: %v; see --help\n", err)
		return 2, false
	case flags.NArg() > 0:
		fmt.Fprintf(errOut, "cherrytrestle: unexpected argument %q: the relay is configured by environment variables; see --help\n", flags.Arg(0))
		return 2, false
	case *version:
		fmt.Fprintln(out, "cherrytrestle", buildVersion())
	}
	return 0, false
}

// buildVersion returns the module version and the Go version of the build.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown build)"
	}
	return info.Main.Version + " " + info.GoVersion
}

func main() {
	if code, start := handleArguments(os.Args[1:], os.Stdout, os.Stderr); !start {
		os.Exit(code)
	}
	if err := run(); err != nil {
		slog.Error("stopped", "err", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP terminates the process until it is handled, so this comes first.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapRatio * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	for {
		r, err := relay.Start(ctx, cfg, slog.Default())
		if ctx.Err() != nil && r == nil {
			return nil // stopped during the start
		}
		if err != nil {
			return fmt.Errorf("start: %w", err)
		}
		ended := make(chan struct{})
		go func() {
			for {
				select {
				case <-reload:
					r.Reload(os.Getenv)
				case <-ended:
					return
				}
			}
		}()
		err = r.Run(ctx)
		close(ended)
		if !errors.Is(err, relay.ErrSuccessorGone) || ctx.Err() != nil {
			return err
		}
		slog.Warn("restarting the relay from the journal", "err", err)
	}
}
