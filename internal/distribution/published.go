package distribution

import (
	"time"

	"wallflow/internal/registry"
)

// publishedInstance is an instance as known to a publisher.
type publishedInstance struct {
	registry.Instance
	changedAt   uint64 // sequence of the feed at which it last changed
	contentHash uint64 // contribution to the digest of its bucket
	goneSince   time.Time

	previous, next *publishedInstance // in publishedList
}

// publishedList is a linked list of the instances in the order of their last changes, so that those changed after a sequence are found
// without visiting the others.
type publishedList struct {
	first, last *publishedInstance
}

// moveToEnd moves an instance to the end, or appends it if it isn't in the list yet.
func (l *publishedList) moveToEnd(moved *publishedInstance) {
	if l.last == moved {
		return
	}
	l.remove(moved)
	moved.previous = l.last
	if l.last != nil {
		l.last.next = moved
	} else {
		l.first = moved
	}
	l.last = moved
}

// remove removes an instance, if it is in the list.
func (l *publishedList) remove(removed *publishedInstance) {
	if removed.previous != nil {
		removed.previous.next = removed.next
	} else if l.first == removed {
		l.first = removed.next
	}
	if removed.next != nil {
		removed.next.previous = removed.previous
	} else if l.last == removed {
		l.last = removed.previous
	}
	removed.previous, removed.next = nil, nil
}

// changedSince returns the instances that changed after a sequence, the latest change first.
func (l *publishedList) changedSince(sequence uint64) []*publishedInstance {
	var changed []*publishedInstance
	for known := l.last; known != nil && known.changedAt > sequence; known = known.previous {
		changed = append(changed, known)
	}
	return changed
}
