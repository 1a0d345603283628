package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/httpapi"
	"wallflow/internal/program"
	"wallflow/internal/proxy"
)

// Options holds the command-line options of a relay.
type Options struct {
	Disabled []string // names of selection mechanisms to disable
}

// Serve runs a relay until the context is canceled, and then shuts it down gracefully: requests that have been read are answered
// within the grace period.
func (o *Options) Serve(ctx context.Context, environment program.Environment) error {
	cfg, log := environment.Settings, environment.Log
	process, err := Start(cfg, log, *o)
	if err != nil {
		return trace.Wrap(err)
	}
	defer process.Close()
	frontListener, err := proxy.Listen(cfg.Listen.Front)
	if err != nil {
		return trace.Wrap(err)
	}
	readyListener, err := proxy.Listen(cfg.Listen.Ready)
	if err != nil {
		return trace.Wrap(err)
	}
	readyServer := process.server.MonitoringServer(process.collectMetrics)
	serveErrors := make(chan error, 3)
	if cfg.Listen.Directory != "" {
		directory, err := httpapi.Listen(httpapi.Options{Address: cfg.Listen.Directory, Handler: process.DirectoryHandler()})
		if err != nil {
			return trace.Wrap(err)
		}
		defer directory.ShutDown()
		go func() { serveErrors <- directory.Serve() }()
	}
	go func() { serveErrors <- process.server.Serve(frontListener) }()
	go func() { serveErrors <- readyServer.Serve(readyListener) }()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go process.Run(runCtx)
	go process.exchangeLoads(runCtx)
	log.Info("relay started", "node", cfg.Node, "front", cfg.Listen.Front)
	for {
		select {
		case err = <-serveErrors:
			return trace.Wrap(err)
		case changed := <-environment.Changed:
			process.SetSeeds(changed.SeedInternalAddresses())
		case <-ctx.Done():
			process.drain(readyServer)
			return nil
		}
	}
}

// drain stops serving clients and waits for the requests in flight, for at most the grace period.
func (p *Process) drain(readyServer *http.Server) {
	p.Stop(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Grace())
	defer cancel()
	if !p.server.Drain(ctx) {
		p.log.Warn("grace period ended with unanswered requests")
	}
	readyServer.Close()
}
