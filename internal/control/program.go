package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/program"
)

// shutdownWithin bounds the end of the calls that are under way when the process stops.
const shutdownWithin = 2 * time.Second

// Serve runs a control process until the context ends, and ends it in order.
func Serve(ctx context.Context, environment program.Environment) error {
	set, log := environment.Settings, environment.Log
	process, err := Start(set, log)
	if err != nil {
		return trace.Wrap(err)
	}
	defer process.Close()
	servers := map[string]http.Handler{
		set.Listen.Control:   process.ControlHandler(),
		set.Listen.Directory: process.DirectoryHandler(),
	}
	failed := make(chan error, len(servers))
	var running []*http.Server
	for address, handler := range servers {
		if address == "" {
			continue
		}
		server := NewHTTPServer(handler)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		running = append(running, server)
		go func() { failed <- server.Serve(listener) }()
	}
	go process.Run(ctx)
	log.Info("control process started", "node", set.Node, "control", set.Listen.Control, "directory", set.Listen.Directory)
	for {
		select {
		case err = <-failed:
			return trace.Wrap(err)
		case changed := <-environment.Changed:
			process.SetSeeds(changed.SeedInternalAddresses())
		case <-ctx.Done():
			shutDown(running)
			return nil
		}
	}
}

// shutDown ends servers: what is under way gets its answer, if it comes in time.
func shutDown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
}
