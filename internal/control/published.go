package control

import (
	"bytes"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/distribution"
)

// published is the state last passed to the feed.
type published struct {
	state    *config.State
	revision uint64
}

// stepsTo returns the patch that leads from the published state to a newer one. It returns none if the document is unchanged or only the
// whole document can be sent.
func (p *published) stepsTo(newer *config.State, revision uint64) []distribution.Step {
	if p.state == nil || bytes.Equal(p.state.Document(), newer.Document()) {
		return nil // the feed itself detects an unchanged document
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

// restorationTimes records when this process first saw that an evacuated zone was restored.
type restorationTimes struct {
	seen map[string]seenRestoration // by zone
}

type seenRestoration struct {
	revision uint64
	at       time.Time
}

// firstSeen returns when this process first saw a restoration. A restoration from before its start counts as seen now: the endpoints of
// the zone are then treated as cold for longer than necessary, which is harmless.
func (r *restorationTimes) firstSeen(now time.Time, restoration config.Restoration) time.Time {
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

// feedUpdate converts a committed state to an update for the feed.
func (r *restorationTimes) feedUpdate(now time.Time, state *config.State, revision uint64) distribution.Update {
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
			At:       r.firstSeen(now, restoration),
		})
	}
	return update
}
