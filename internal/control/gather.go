package control

import "wallflow/internal/registry"

// gatheredChanges are the changes of instances that the other control processes are told of together at the next tick: those
// that no endpoint waits for. At a start, when every endpoint is new, a message for each would cost each process more than all
// heartbeats do.
type gatheredChanges struct {
	changes []registry.Change
	places  map[string]int // by id of the instance
}

// add puts a change in, in the place of an earlier one of the same instance.
func (g *gatheredChanges) add(change registry.Change) {
	if at, known := g.places[change.Instance.ID]; known {
		g.changes[at] = change
		return
	}
	if g.places == nil {
		g.places = make(map[string]int)
	}
	g.places[change.Instance.ID] = len(g.changes)
	g.changes = append(g.changes, change)
}

// take returns the changes and forgets them.
func (g *gatheredChanges) take() []registry.Change {
	taken := g.changes
	g.changes = nil
	clear(g.places)
	return taken
}
