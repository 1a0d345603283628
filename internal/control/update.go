package control

import (
	"bytes"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/distribution"
)

// published is the state that the feed was last given.
type published struct {
	state    *config.State
	revision uint64
}

// step returns what leads from the published state to a newer one by the items that changed; none where only the whole document
// does.
func (p *published) step(newer *config.State, revision uint64) []distribution.Step {
	if p.state == nil || bytes.Equal(p.state.Document(), newer.Document()) {
		return nil // the feed notices by itself that a document stayed as it was
	}
	patch, ok := config.Diff(p.state.Document(), newer.Document())
	if !ok {
		return nil
	}
	return []distribution.Step{{
		Base:       p.revision,
		Revision:   revision,
		Generation: newer.Generation(),
		Patch:      patch,
	}}
}

// restorations remembers when this process first saw that a zone was taken back.
type restorations struct {
	seen map[string]seenRestoration // by zone
}

type seenRestoration struct {
	revision uint64
	at       time.Time
}

// since returns when a restoration was first seen here. One that is older than this process counts as of now: its endpoints are
// then held cold for longer than they are, which breaks nothing.
func (r *restorations) since(now time.Time, restoration config.Restoration) time.Time {
	if r.seen == nil {
		r.seen = make(map[string]seenRestoration)
	}
	known := r.seen[restoration.Zone]
	if known.revision != restoration.Revision {
		known = seenRestoration{revision: restoration.Revision, at: now}
		r.seen[restoration.Zone] = known
	}
	return known.at
}

// update is a committed state as the feed takes it.
func (r *restorations) update(now time.Time, state *config.State, revision uint64) distribution.Update {
	update := distribution.Update{ConfigState: distribution.ConfigState{
		Revision:   revision,
		Generation: state.Generation(),
		Document:   state.Document(),
	}}
	for _, zone := range state.Evacuated() {
		update.Evacuated = append(update.Evacuated, distribution.Evacuation{Zone: zone, Revision: revision})
	}
	for _, restoration := range state.Restored() {
		update.Restored = append(update.Restored, distribution.Restoration{
			Zone:     restoration.Zone,
			Revision: restoration.Revision,
			At:       r.since(now, restoration),
		})
	}
	return update
}
