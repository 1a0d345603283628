package config

import (
	"bytes"
	"encoding/json"
)

// Diff returns a change that leads from one document to another by named items, in the form of a PATCH. Documents are compared by
// hash wherever they go, so that a change counts only if ApplyPatch gives the new document byte for byte; false: there is none.
func Diff(old, new []byte) (patch []byte, ok bool) {
	before, err := readObject(old, "")
	if err != nil {
		return nil, false
	}
	after, err := readObject(new, "")
	if err != nil {
		return nil, false
	}
	change, ok := compareDocuments(before, after)
	if !ok {
		return nil, false
	}
	patch = change.encode()
	patched, err := ApplyPatch(old, patch)
	if err != nil || !bytes.Equal(patched, new) {
		return nil, false
	}
	return patch, true
}

// compareDocuments collects what differs between two documents.
func compareDocuments(before, after *object) (*change, bool) {
	found := &change{upsert: &object{}, delete: &object{}}
	for _, current := range after.members {
		if current.name == memberGeneration {
			found.generation = current.value
			continue
		}
		former, given := before.get(current.name)
		if given && bytes.Equal(former, current.value) {
			continue
		}
		if !given || !isArray(former) || !isArray(current.value) {
			found.upsert.set(current.name, current.value)
			continue
		}
		if !found.compareLists(current.name, former, current.value) {
			return nil, false
		}
	}
	return found, found.generation != nil
}

// compareLists adds the items of one list that differ.
func (c *change) compareLists(name string, former, current json.RawMessage) bool {
	path := "/" + name
	before, err := readItems(former, path)
	if err != nil {
		return false
	}
	after, err := readItems(current, path)
	if err != nil {
		return false
	}
	if changed := after.differingFrom(before); len(changed.list) > 0 {
		c.upsert.set(name, changed.encode())
	}
	if missing := before.missingIn(after); len(missing) > 0 {
		names, _ := json.Marshal(missing) // strings always have a JSON form
		c.delete.set(name, names)
	}
	return true
}

// differingFrom returns the items that the others lack or have otherwise.
func (i *items) differingFrom(others *items) *items {
	differing := &items{byName: make(map[string]int)}
	for _, own := range i.list {
		at, known := others.byName[own.name]
		if !known || !bytes.Equal(others.list[at].text, own.text) {
			differing.put(own)
		}
	}
	return differing
}

// missingIn returns the names that the others lack.
func (i *items) missingIn(others *items) []string {
	var missing []string
	for _, own := range i.list {
		if _, known := others.byName[own.name]; !known {
			missing = append(missing, own.name)
		}
	}
	return missing
}

// encode writes the change as a PATCH, without parts that are empty.
func (c *change) encode() []byte {
	patch := &object{}
	patch.set(memberGeneration, c.generation)
	if len(c.upsert.members) > 0 {
		patch.set(memberUpsert, c.upsert.encode())
	}
	if len(c.delete.members) > 0 {
		patch.set(memberDelete, c.delete.encode())
	}
	return patch.encode()
}
