package config

import (
	"crypto/sha256"
	"encoding/json"
	"strings"
)

// The members of a document that are lists of items.
const (
	memberRoutes   = "routes"
	memberBackends = "backends"
)

// itemIndex holds the parsed items of the previous document by the digest of their text. Most changes affect few of many items, and
// validating and unmarshaling items is the expensive part of parsing, so that only items missing in the index are parsed.
type itemIndex struct {
	routes   map[digest]*Route
	backends map[digest]*Backend
}

func newItemIndex() *itemIndex { return &itemIndex{} }

func (i *itemIndex) isEmpty() bool { return len(i.routes) == 0 && len(i.backends) == 0 }

// splitDocument is a document separated into the items that are in an index and the remaining text.
type splitDocument struct {
	remainder      []byte // text of the document without the indexed items
	routeDigests   []digest
	backendDigests []digest
	unsplit        bool // remainder is the whole document, as it can't be split
}

// splitKnownItems removes the items found in the index from a document. The syntax of the document has been checked.
func splitKnownItems(text []byte, known *itemIndex) (*splitDocument, error) {
	document, err := splitObject(trimSpace(text), "")
	if err != nil {
		return nil, err
	}
	split := &splitDocument{}
	for index := range document.members {
		member := &document.members[index]
		switch {
		case member.name == memberRoutes && isArray(member.value):
			split.routeDigests, member.value = separateUnknown(member.value, known.routes)
		case member.name == memberBackends && isArray(member.value):
			split.backendDigests, member.value = separateUnknown(member.value, known.backends)
		case isListName(member.name):
			return &splitDocument{remainder: text, unsplit: true}, nil
		}
	}
	split.remainder = document.encode()
	return split, nil
}

// isListName reports whether encoding/json may read a member of this name as one of the lists, as it ignores the case of names.
func isListName(name string) bool {
	return strings.EqualFold(name, memberRoutes) || strings.EqualFold(name, memberBackends)
}

// separateUnknown returns the digests of all items of a list, and a list of only those items that are not in the index.
func separateUnknown[T any](list json.RawMessage, known map[digest]*T) ([]digest, json.RawMessage) {
	texts := elements(list)
	digests := make([]digest, 0, len(texts))
	var unknown items
	for _, text := range texts {
		hash := sha256.Sum256(text)
		sum := digest(hash[:digestSize])
		digests = append(digests, sum)
		if _, isKnown := known[sum]; !isKnown {
			unknown.list = append(unknown.list, item{text: text})
		}
	}
	return digests, unknown.encode()
}

// join inserts the indexed items into the document that was parsed from the remainder, and returns an index of all items. It returns
// false if the number of parsed items does not match.
func (s *splitDocument) join(document *Document, known *itemIndex) (*itemIndex, bool) {
	if s.unsplit {
		return newItemIndex(), true
	}
	routes, routeIndex, ok := joinItems(s.routeDigests, document.Routes, known.routes)
	if !ok {
		return nil, false
	}
	backends, backendIndex, ok := joinItems(s.backendDigests, document.Backends, known.backends)
	if !ok {
		return nil, false
	}
	document.Routes, document.Backends = routes, backends
	return &itemIndex{routes: routeIndex, backends: backendIndex}, true
}

// joinItems returns the items of a list in their original order, taken from the index or from the newly parsed items, and an index
// of them all.
func joinItems[T any](digests []digest, unknown []T, known map[digest]*T) ([]T, map[digest]*T, bool) {
	joined := make([]T, 0, len(digests))
	index := make(map[digest]*T, len(digests))
	for _, sum := range digests {
		if knownItem, isKnown := known[sum]; isKnown {
			joined = append(joined, *knownItem)
		} else if len(unknown) > 0 {
			joined = append(joined, unknown[0])
			unknown = unknown[1:]
		} else {
			return nil, nil, false
		}
		index[sum] = &joined[len(joined)-1]
	}
	return joined, index, len(unknown) == 0
}
