// Command cherrytrestle is the relay: it takes messages from clients and delivers each by a call to a host of
// its destination. The environment tells it all; see package relay. Arguments only ask what the program is.
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

// heapShare is the part of the memory limit that the heap may grow to; the rest is for stacks, the program
// itself and the files of the log.
const heapShare = 0.7

const usage = `cherrytrestle is the message relay of one client process. It takes no arguments but these:

  --help     print this
  --version  print the version of this build

It is told all by the environment:

  ROUTER_CONFIG     file that holds the configuration, as JSON (wanted)
  ROUTER_STATE      folder that lasts, which holds the journal (wanted)
  ROUTER_LISTEN     address where clients connect, such as 127.0.0.1:3000; or "listen" in the file
  ROUTER_DISCOVERY  address of discovery's agent; the file's "discovery" goes before it
  ROUTER_NAME       the relay's name; or "name" in the file
  ROUTER_MGMT       address where operators ask; or "mgmt" in the file; may be left out

SIGTERM drains the relay and ends it, SIGHUP makes it read the file again. A relay to try, with all that it needs
around it: bin/wallflow trial run berth
`

// answerAbout answers arguments, which ask about the program; start tells that there were none. An argument that is
// unknown must not be taken for a start.
func answerAbout(args []string, out, errOut io.Writer) (code int, start bool) {
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
		fmt.Fprintf(errOut, "cherrytrestle: argument %q: none is taken, the environment tells all; see --help\n", flags.Arg(0))
		return 2, false
	case *version:
		fmt.Fprintln(out, "cherrytrestle", build())
	}
	return 0, false
}

// build is what the build says of itself.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of no known build"
	}
	return info.Main.Version + " " + info.GoVersion
}

func main() {
	if code, start := answerAbout(os.Args[1:], os.Stdout, os.Stderr); !start {
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
	// Before anything else: without a hand on it the signal ends the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	for {
		r, err := relay.Start(ctx, cfg, slog.Default())
		if ctx.Err() != nil && r == nil {
			return nil // told to end before there was anything to end
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
		slog.Warn("starting over", "err", err)
	}
}
