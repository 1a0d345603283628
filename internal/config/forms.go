package config

import (
	"crypto/sha256"
	"encoding/json"
)

// The lists of a document whose items are checked one by one.
const (
	memberRoutes   = "routes"
	memberBackends = "backends"
)

// forms are the items of a document that have passed the schema. An order mostly changes a few of many items, and the schema is the
// dear part of checking it, so an item that was part of the document before isn't checked again.
type forms struct {
	routes   itemSet
	backends itemSet
}

// itemSet holds the digests of items.
type itemSet map[digest]struct{}

// list returns the set that belongs to a member of the document; nil where its items aren't told apart.
func (f *forms) list(name string) itemSet {
	switch name {
	case memberRoutes:
		return f.routes
	case memberBackends:
		return f.backends
	}
	return nil
}

func newForms() *forms {
	return &forms{routes: itemSet{}, backends: itemSet{}}
}

func (f *forms) empty() bool {
	return len(f.routes) == 0 && len(f.backends) == 0
}

// formsOf returns the items of a document that was checked before. Of one that can't be read it returns none.
func formsOf(text []byte) *forms {
	items, _, err := splitForms(text, newForms())
	if err != nil {
		return newForms()
	}
	return items
}

// splitForms returns the items of a document and the document without those that are known.
func splitForms(text []byte, known *forms) (*forms, []byte, error) {
	document, err := readObject(text, "")
	if err != nil {
		return nil, nil, err
	}
	all := newForms()
	for index := range document.members {
		member := &document.members[index]
		set := all.list(member.name)
		if set == nil || !isArray(member.value) {
			continue
		}
		member.value = set.take(member.value, known.list(member.name))
	}
	return all, document.encode(), nil
}

// take adds the items of a list to the set, and returns the list of those that are not known.
func (s itemSet) take(list json.RawMessage, known itemSet) json.RawMessage {
	var unknown items
	for _, text := range elements(list) {
		sum := sha256.Sum256(text)
		short := digest(sum[:digestSize])
		s[short] = struct{}{}
		if _, isKnown := known[short]; !isKnown {
			unknown.list = append(unknown.list, item{text: text})
		}
	}
	return unknown.encode()
}
