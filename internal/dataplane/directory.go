package dataplane

import (
	"net/http"
	"time"

	"wallflow/internal/directory"
	"wallflow/internal/swim"
)

// DirectoryHandler serves clients that ask for relays.
func (p *Process) DirectoryHandler() http.Handler {
	return directory.New(directory.Options{
		Members: p.listMembers,
		MaxTTL:  p.settings.Bounds.TTLMax(),
		Region:  p.settings.Region,

		Departures:  p.listDepartures,
		HomeRegions: p.homeRegions,
	}).Handler()
}

// homeRegions returns the sets of home regions of a host's routes, according to the configuration in force at this relay.
func (p *Process) homeRegions(host string) [][]string {
	compiled := p.compiled.Load()
	if compiled == nil {
		return nil
	}
	return compiled.HomeRegions(host)
}

func (p *Process) listMembers() []swim.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Members()
}

func (p *Process) listDepartures(after time.Time) []swim.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Departures(after)
}
