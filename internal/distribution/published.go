package distribution

import (
	"time"

	"wallflow/internal/registry"
)

// published is an instance at a publisher.
type published struct {
	registry.Instance
	version   uint64 // position of the feed at which it last changed
	hash      uint64 // its part of the bucket
	goneSince time.Time

	previous, next *published
}

// publishedList keeps the instances in the order of their last changes, so that those after a position are found without
// looking at the others.
type publishedList struct {
	first, last *published
}

// moveToEnd puts an instance at the end, also when it isn't in the list yet.
func (l *publishedList) moveToEnd(moved *published) {
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

// remove takes an instance out, if it is in the list.
func (l *publishedList) remove(removed *published) {
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

// since returns the instances that changed after a position.
func (l *publishedList) since(sequence uint64) []*published {
	var changed []*published
	for known := l.last; known != nil && known.version > sequence; known = known.previous {
		changed = append(changed, known)
	}
	return changed
}
