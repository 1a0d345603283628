package config

import "encoding/json"

// The members of a change.
const (
	memberGeneration = "generation"
	memberUpsert     = "upsert"
	memberDelete     = "delete"
)

// emptyDocument is what a change applies to before the first configuration.
const emptyDocument = `{"generation":0,"routes":[],"backends":[]}`

// ApplyPatch applies a change to the JSON of a whole document and returns the JSON of the new one, which has still to be parsed and
// validated. Names under "delete" go first; unknown ones are ignored. Then each item under "upsert" replaces the one of its name in
// its place, or is added at the end of its list; what is no list there, such as "limits", replaces the whole member. What the change
// doesn't touch stays byte for byte and in its order.
func ApplyPatch(current []byte, patch []byte) ([]byte, error) {
	if err := checkSyntax(current); err != nil {
		return nil, err
	}
	return ApplyTrustedPatch(current, patch)
}

// ApplyTrustedPatch is ApplyPatch where the current document was checked before, as one that is in force was.
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

// change is a PATCH, read but not applied.
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
	generation, given := members.get(memberGeneration)
	if !given {
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
	text, given := document.get(list.name)
	if !given || len(names) == 0 {
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
		return replaceWhole(document, list, path)
	}
	news, err := readItems(list.value, path)
	if err != nil {
		return err
	}
	current, given := document.get(list.name)
	if !given {
		document.set(list.name, list.value)
		return nil
	}
	items, err := readTrustedItems(current, "/"+list.name)
	if err != nil {
		return err
	}
	items.upsert(news)
	document.set(list.name, items.encode())
	return nil
}

// replaceWhole replaces a member that is no list.
func replaceWhole(document *object, whole member, path string) error {
	if current, given := document.get(whole.name); given && isArray(current) {
		return invalid(path, string(whole.value), "want a list of items")
	}
	document.set(whole.name, whole.value)
	return nil
}
