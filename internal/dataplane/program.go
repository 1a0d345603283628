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

// Options are what the command line of a relay says.
type Options struct {
	Disabled []string // mechanisms of the decision that are switched off
}

// Serve runs a relay until the context ends, and ends it in order: every request that was read gets its answer.
func (o *Options) Serve(ctx context.Context, environment program.Environment) error {
	set, log := environment.Settings, environment.Log
	process, err := Start(set, log, *o)
	if err != nil {
		return trace.Wrap(err)
	}
	defer process.Close()
	front, err := proxy.Listen(set.Listen.Front)
	if err != nil {
		return trace.Wrap(err)
	}
	ready, err := proxy.Listen(set.Listen.Ready)
	if err != nil {
		return trace.Wrap(err)
	}
	platform := process.server.MonitoringServer(process.figures)
	failed := make(chan error, 3)
	if set.Listen.Directory != "" {
		directory, err := httpapi.Listen(set.Listen.Directory, process.DirectoryHandler())
		if err != nil {
			return trace.Wrap(err)
		}
		defer directory.ShutDown()
		go func() { failed <- directory.Serve() }()
	}
	go func() { failed <- process.server.Serve(front) }()
	go func() { failed <- platform.Serve(ready) }()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go process.Run(running)
	go process.shareLoads(running)
	log.Info("relay started", "node", set.Node, "front", set.Listen.Front)
	for {
		select {
		case err = <-failed:
			return trace.Wrap(err)
		case changed := <-environment.Changed:
			process.SetSeeds(changed.SeedInternalAddresses())
		case <-ctx.Done():
			process.drain(platform)
			return nil
		}
	}
}

// drain ends the serving of clients.
func (p *Process) drain(platform *http.Server) {
	p.Stop(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Grace())
	defer cancel()
	if !p.server.Drain(ctx) {
		p.log.Warn("some requests had no answer at the end")
	}
	platform.Close()
}
