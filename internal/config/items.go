package config

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// items is a list of named items that keep their original text.
type items struct {
	list   []item
	byName map[string]int // index in list
}

// item is an item of a list. A nil text marks a deleted one.
type item struct {
	name string
	text json.RawMessage
}

// readItems splits a list that comes from an operator. Its syntax has been checked, but not its items.
func readItems(list json.RawMessage, path string) (*items, error) {
	return splitItems(list, path, itemName)
}

// readTrustedItems splits a list whose items have been checked as part of a valid document.
func readTrustedItems(list json.RawMessage, path string) (*items, error) {
	return splitItems(list, path, trustedItemName)
}

func splitItems(list json.RawMessage, path string, nameOf func(text json.RawMessage, path string) (string, error)) (*items, error) {
	if !isArray(list) {
		return nil, invalid(path, string(list), "want a list of items")
	}
	texts := elements(list)
	result := &items{list: make([]item, 0, len(texts)), byName: make(map[string]int, len(texts))}
	for index, text := range texts {
		name, err := nameOf(text, path+"/"+strconv.Itoa(index))
		if err != nil {
			return nil, err
		}
		if _, duplicate := result.byName[name]; duplicate {
			return nil, invalid(path+"/"+strconv.Itoa(index)+"/name", quote(name), "named twice")
		}
		result.put(item{name: name, text: text})
	}
	return result, nil
}

// itemName returns the name of an item that has not been checked.
func itemName(text json.RawMessage, path string) (string, error) {
	members, err := splitObject(text, path)
	if err != nil {
		return "", err
	}
	name, exists := members.get("name")
	if !exists || name[0] != '"' || len(name) == len(`""`) {
		return "", invalid(path+"/name", string(name), "an item needs a name")
	}
	return decodeString(name), nil
}

// trustedItemName returns the name of an item without scanning the members that follow it.
func trustedItemName(text json.RawMessage, path string) (string, error) {
	if !isObject(text) {
		return "", invalid(path, string(text), "want an object")
	}
	position := skipSpace(text, 1)
	for position < len(text) && text[position] != '}' {
		end := endOfString(text, position)
		isName := string(text[position:end]) == `"name"`
		start := skipSpace(text, skipSpace(text, end)+1)
		end = endOfValue(text, start)
		if isName && text[start] == '"' {
			return decodeString(text[start:end]), nil
		}
		position = nextElement(text, end)
	}
	return itemName(text, path)
}

// put replaces the item of the same name, or appends the item if there is none.
func (i *items) put(replacement item) {
	if index, exists := i.byName[replacement.name]; exists {
		i.list[index] = replacement
		return
	}
	i.byName[replacement.name] = len(i.list)
	i.list = append(i.list, replacement)
}

// upsert puts all items of another list.
func (i *items) upsert(changed *items) {
	for _, replacement := range changed.list {
		i.put(replacement)
	}
}

// remove marks the items of the names as deleted. Unknown names are ignored.
func (i *items) remove(names []string) {
	for _, name := range names {
		if index, exists := i.byName[name]; exists {
			i.list[index].text = nil
			delete(i.byName, name)
		}
	}
}

// encode returns the list as JSON, without the deleted items.
func (i *items) encode() json.RawMessage {
	var out bytes.Buffer
	out.WriteByte('[')
	for _, item := range i.list {
		if item.text == nil {
			continue
		}
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		out.Write(item.text)
	}
	out.WriteByte(']')
	return out.Bytes()
}
