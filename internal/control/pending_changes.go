package control

import "wallflow/internal/registry"

// pendingChanges collects instance changes whose replication no endpoint waits for. They are sent to the other control processes in one
// message at the next tick. When the system starts and every endpoint is new, a message per endpoint would cost each process more than
// all heartbeats do.
type pendingChanges struct {
	changes []registry.Change
	indexes map[string]int // positions in changes, by instance ID
}

// add adds a change. It replaces an earlier change of the same instance.
func (c *pendingChanges) add(change registry.Change) {
	if index, known := c.indexes[change.Instance.ID]; known {
		c.changes[index] = change
		return
	}
	if c.indexes == nil {
		c.indexes = make(map[string]int)
	}
	c.indexes[change.Instance.ID] = len(c.changes)
	c.changes = append(c.changes, change)
}

// takeAll returns the collected changes and clears the collection.
func (c *pendingChanges) takeAll() []registry.Change {
	taken := c.changes
	c.changes = nil
	clear(c.indexes)
	return taken
}
