package control

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"

	"wallflow/internal/httpapi"
	"wallflow/internal/program"
)

// Serve runs a control process until the context is canceled, and then shuts it down gracefully.
func Serve(ctx context.Context, environment program.Environment) error {
	cfg, log := environment.Settings, environment.Log
	process, err := Start(cfg, log)
	if err != nil {
		return trace.Wrap(err)
	}
	defer process.Close()
	handlers := map[string]http.Handler{
		cfg.Listen.Control:   process.ControlHandler(),
		cfg.Listen.Directory: process.DirectoryHandler(),
	}
	serveErrors := make(chan error, len(handlers))
	var servers []*httpapi.Server
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		server, err := httpapi.Listen(httpapi.Options{Address: address, Handler: handler, OnAccept: process.OnAccept})
		if err != nil {
			return trace.Wrap(err)
		}
		servers = append(servers, server)
		go func() { serveErrors <- server.Serve() }()
	}
	runCtx, stopRun := context.WithCancel(context.Background())
	defer stopRun()
	go process.Run(runCtx) // keeps running while the process retires
	log.Info("control process started", "node", cfg.Node, "control", cfg.Listen.Control, "directory", cfg.Listen.Directory)
	for {
		select {
		case err = <-serveErrors:
			return trace.Wrap(err)
		case changed := <-environment.Changed:
			process.SetSeeds(changed.SeedInternalAddresses())
		case <-ctx.Done():
			process.Retire()
			for _, server := range servers {
				server.ShutDown()
			}
			return nil
		}
	}
}
