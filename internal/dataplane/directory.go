package dataplane

import (
	"net/http"

	"wallflow/internal/directory"
	"wallflow/internal/swim"
)

// DirectoryHandler serves clients that ask where to go.
func (p *Process) DirectoryHandler() http.Handler {
	return directory.New(directory.Options{
		Members: p.listMembers,
		HoldMax: p.settings.Bounds.TTLMax(),
		Region:  p.settings.Region,

		HomeRegions: p.homeRegions,
	}).Handler()
}

// homeRegions returns the sets of home regions of a host's routes, by the configuration in force here.
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
