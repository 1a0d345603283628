package config

import (
	"bytes"
	"encoding/json"
)

// Diff returns a patch that turns the old document into the new one, in the format of a PATCH request. Receivers compare the hash of
// the patched document, so that ApplyPatch has to produce the new document byte for byte. Diff returns false if no such patch exists.
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

// compareDocuments collects the differences between two documents. It returns false if a patch can't express them.
func compareDocuments(before, after *object) (*change, bool) {
	diff := &change{upsert: &object{}, delete: &object{}}
	for _, newMember := range after.members {
		if newMember.name == memberGeneration {
			diff.generation = newMember.value
			continue
		}
		oldValue, exists := before.get(newMember.name)
		if exists && bytes.Equal(oldValue, newMember.value) {
			continue
		}
		if !exists || !isArray(oldValue) || !isArray(newMember.value) {
			diff.upsert.set(newMember.name, newMember.value)
			continue
		}
		if !diff.compareLists(newMember.name, oldValue, newMember.value) {
			return nil, false
		}
	}
	return diff, diff.generation != nil
}

// compareLists adds the differences between two versions of a list of named items to the change. It returns false for a list that
// has items without a unique name.
func (c *change) compareLists(name string, oldList, newList json.RawMessage) bool {
	path := "/" + name
	before, err := readItems(oldList, path)
	if err != nil {
		return false
	}
	after, err := readItems(newList, path)
	if err != nil {
		return false
	}
	if changed := after.changedFrom(before); len(changed.list) > 0 {
		c.upsert.set(name, changed.encode())
	}
	if missing := before.missingIn(after); len(missing) > 0 {
		names, _ := json.Marshal(missing) // encoding strings never fails
		c.delete.set(name, names)
	}
	return true
}

// changedFrom returns the items that are missing in others or differ from the item of the same name there.
func (i *items) changedFrom(others *items) *items {
	changed := &items{byName: make(map[string]int)}
	for _, current := range i.list {
		index, exists := others.byName[current.name]
		if !exists || !bytes.Equal(others.list[index].text, current.text) {
			changed.put(current)
		}
	}
	return changed
}

// missingIn returns the names of the items that are missing in others.
func (i *items) missingIn(others *items) []string {
	var missing []string
	for _, current := range i.list {
		if _, exists := others.byName[current.name]; !exists {
			missing = append(missing, current.name)
		}
	}
	return missing
}

// encode returns the change in the format of a PATCH request. Empty parts are left out.
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
