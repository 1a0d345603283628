package config

import "encoding/json"

// The members of a patch.
const (
	memberGeneration = "generation"
	memberUpsert     = "upsert"
	memberDelete     = "delete"
)

// emptyDocument is the document that a patch applies to before the first configuration.
const emptyDocument = `{"generation":0,"routes":[],"backends":[]}`

// ApplyPatch applies a patch to the JSON text of a document and returns the text of the new document, which has still to be parsed
// and validated. First the items named under "delete" are removed; unknown names are ignored. Then each item under "upsert" replaces
// the item of the same name in place, or is appended to its list. A member of "upsert" that is not a list, such as "limits", replaces
// the whole member. Everything else keeps its text and order.
func ApplyPatch(current []byte, patch []byte) ([]byte, error) {
	if err := checkSyntax(current); err != nil {
		return nil, err
	}
	return ApplyTrustedPatch(current, patch)
}

// ApplyTrustedPatch is like ApplyPatch, for a current document whose syntax has been checked before.
func ApplyTrustedPatch(current []byte, patch []byte) ([]byte, error) {
	change, err := readChange(patch)
	if err != nil {
		return nil, err
	}
	document, err := splitObject(trimSpace(current), "")
	if err != nil {
		return nil, err
	}
	document.set(memberGeneration, change.generation)
	for _, list := range change.delete.members {
		if err := deleteItems(document, list); err != nil {
			return nil, err
		}
	}
	for _, list := range change.upsert.members {
		if err := upsertItems(document, list); err != nil {
			return nil, err
		}
	}
	return document.encode(), nil
}

// change is a parsed patch.
type change struct {
	generation json.RawMessage
	upsert     *object
	delete     *object
}

func readChange(patch []byte) (*change, error) {
	members, err := readObject(patch, "")
	if err != nil {
		return nil, err
	}
	generation, exists := members.get(memberGeneration)
	if !exists {
		return nil, invalid("/"+memberGeneration, "", "missing")
	}
	upsert, err := members.optionalObject(memberUpsert)
	if err != nil {
		return nil, err
	}
	deleted, err := members.optionalObject(memberDelete)
	if err != nil {
		return nil, err
	}
	return &change{generation: generation, upsert: upsert, delete: deleted}, nil
}

func deleteItems(document *object, list member) error {
	path := "/" + memberDelete + "/" + list.name
	var names []string
	if err := json.Unmarshal(list.value, &names); err != nil {
		return invalid(path, string(list.value), "want a list of names")
	}
	text, exists := document.get(list.name)
	if !exists || len(names) == 0 {
		return nil
	}
	items, err := readTrustedItems(text, "/"+list.name)
	if err != nil {
		return err
	}
	items.remove(names)
	document.set(list.name, items.encode())
	return nil
}

func upsertItems(document *object, list member) error {
	path := "/" + memberUpsert + "/" + list.name
	if list.name == memberGeneration {
		return invalid(path, string(list.value), "the version stands outside of upsert")
	}
	if !isArray(list.value) {
		return replaceMember(document, list, path)
	}
	changed, err := readItems(list.value, path)
	if err != nil {
		return err
	}
	current, exists := document.get(list.name)
	if !exists {
		document.set(list.name, list.value)
		return nil
	}
	items, err := readTrustedItems(current, "/"+list.name)
	if err != nil {
		return err
	}
	items.upsert(changed)
	document.set(list.name, items.encode())
	return nil
}

// replaceMember sets a member that is not a list. It refuses to replace a list.
func replaceMember(document *object, replacement member, path string) error {
	if current, exists := document.get(replacement.name); exists && isArray(current) {
		return invalid(path, string(replacement.value), "want a list of items")
	}
	document.set(replacement.name, replacement.value)
	return nil
}
