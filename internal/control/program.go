package control

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"wallflow/internal/httpapi"
	"wallflow/internal/program"
)

// Serve runs a control process until the context ends, and ends it in order.
func Serve(ctx context.Context, environment program.Environment) error {
	set, log := environment.Settings, environment.Log
	process, err := Start(set, log)
	if err != nil {
		return trace.Wrap(err)
	}
	defer process.Close()
	handlers := map[string]http.Handler{
		set.Listen.Control:   process.ControlHandler(),
		set.Listen.Directory: process.DirectoryHandler(),
	}
	failed := make(chan error, len(handlers))
	var running []*httpapi.Server
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		server, err := httpapi.Listen(address, handler)
		if err != nil {
			return trace.Wrap(err)
		}
		running = append(running, server)
		go func() { failed <- server.Serve() }()
	}
	timers, stopTimers := context.WithCancel(context.Background())
	defer stopTimers()
	go process.Run(timers) // also while the process retires
	log.Info("control process started", "node", set.Node, "control", set.Listen.Control, "directory", set.Listen.Directory)
	for {
		select {
		case err = <-failed:
			return trace.Wrap(err)
		case changed := <-environment.Changed:
			process.SetSeeds(changed.SeedInternalAddresses())
		case <-ctx.Done():
			process.Retire()
			for _, server := range running {
				server.ShutDown()
			}
			return nil
		}
	}
}
