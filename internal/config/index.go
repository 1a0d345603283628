package config

import (
	"crypto/sha256"
	"encoding/json"
	"strings"
)

// The lists of a document whose items are told apart by their text.
const (
	memberRoutes   = "routes"
	memberBackends = "backends"
)

// itemIndex finds the items of a document that was read before by their text. An order mostly changes a few of many items, and to
// check and read an item is the dear part of reading a document, so a document is read by those items alone that the index lacks.
type itemIndex struct {
	routes   map[digest]*Route
	backends map[digest]*Backend
}

func newItemIndex() *itemIndex { return &itemIndex{} }

func (i *itemIndex) empty() bool { return len(i.routes) == 0 && len(i.backends) == 0 }

// splitDocument is a document taken apart into items that are known and the rest.
type splitDocument struct {
	rest     []byte // the document without the items that are known
	routes   []digest
	backends []digest
	whole    bool // nothing was taken out: the document has to be read as it is
}

// splitByIndex takes a document apart whose syntax was checked.
func splitByIndex(text []byte, known *itemIndex) (*splitDocument, error) {
	document, err := splitObject(trimSpace(text), "")
	if err != nil {
		return nil, err
	}
	split := &splitDocument{}
	for index := range document.members {
		member := &document.members[index]
		switch {
		case member.name == memberRoutes && isArray(member.value):
			split.routes, member.value = takeKnown(member.value, known.routes)
		case member.name == memberBackends && isArray(member.value):
			split.backends, member.value = takeKnown(member.value, known.backends)
		case isListName(member.name):
			return &splitDocument{rest: text, whole: true}, nil
		}
	}
	split.rest = document.encode()
	return split, nil
}

// isListName tells whether the JSON library may take a name for the one of a list: it passes over the case of letters.
func isListName(name string) bool {
	return strings.EqualFold(name, memberRoutes) || strings.EqualFold(name, memberBackends)
}

// takeKnown returns the digests of all items of a list, and the list of those that are not known.
func takeKnown[T any](list json.RawMessage, known map[digest]*T) ([]digest, json.RawMessage) {
	texts := elements(list)
	sums := make([]digest, 0, len(texts))
	var unknown items
	for _, text := range texts {
		whole := sha256.Sum256(text)
		sum := digest(whole[:digestSize])
		sums = append(sums, sum)
		if _, isKnown := known[sum]; !isKnown {
			unknown.list = append(unknown.list, item{text: text})
		}
	}
	return sums, unknown.encode()
}

// join puts the known items into a document that was read from the rest, and returns the index of the whole. It returns false where
// the document doesn't hold what was left in the rest.
func (s *splitDocument) join(document *Document, known *itemIndex) (*itemIndex, bool) {
	if s.whole {
		return newItemIndex(), true
	}
	routes, routeIndex, ok := joinItems(s.routes, document.Routes, known.routes)
	if !ok {
		return nil, false
	}
	backends, backendIndex, ok := joinItems(s.backends, document.Backends, known.backends)
	if !ok {
		return nil, false
	}
	document.Routes, document.Backends = routes, backends
	return &itemIndex{routes: routeIndex, backends: backendIndex}, true
}

// joinItems returns the items of a list in their order, of which unknown were read now, and finds them by their text.
func joinItems[T any](sums []digest, unknown []T, known map[digest]*T) ([]T, map[digest]*T, bool) {
	joined := make([]T, 0, len(sums))
	index := make(map[digest]*T, len(sums))
	for _, sum := range sums {
		if before, isKnown := known[sum]; isKnown {
			joined = append(joined, *before)
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
