package config

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// items is a list of named items, each as it was written.
type items struct {
	list   []item
	byName map[string]int // where in the list
}

// item is one of them; a nil text means that it was deleted.
type item struct {
	name string
	text json.RawMessage
}

// readItems takes a list of an operator apart whose syntax was checked.
func readItems(list json.RawMessage, path string) (*items, error) {
	return splitItems(list, path, itemName)
}

// readTrustedItems takes a list apart whose items were checked as part of a document.
func readTrustedItems(list json.RawMessage, path string) (*items, error) {
	return splitItems(list, path, trustedItemName)
}

func splitItems(list json.RawMessage, path string, nameOf func(text json.RawMessage, path string) (string, error)) (*items, error) {
	if !isArray(list) {
		return nil, invalid(path, string(list), "want a list of items")
	}
	texts := elements(list)
	all := &items{list: make([]item, 0, len(texts)), byName: make(map[string]int, len(texts))}
	for index, text := range texts {
		name, err := nameOf(text, path+"/"+strconv.Itoa(index))
		if err != nil {
			return nil, err
		}
		if _, twice := all.byName[name]; twice {
			return nil, invalid(path+"/"+strconv.Itoa(index)+"/name", quoted(name), "named twice")
		}
		all.put(item{name: name, text: text})
	}
	return all, nil
}

func itemName(text json.RawMessage, path string) (string, error) {
	members, err := splitObject(text, path)
	if err != nil {
		return "", err
	}
	name, given := members.get("name")
	if !given || name[0] != '"' || len(name) == len(`""`) {
		return "", invalid(path+"/name", string(name), "an item needs a name")
	}
	return stringOf(name), nil
}

// trustedItemName looks no further than the name.
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
			return stringOf(text[start:end]), nil
		}
		position = nextPart(text, end)
	}
	return itemName(text, path)
}

// put replaces the item of the same name, or adds one.
func (i *items) put(new item) {
	if at, known := i.byName[new.name]; known {
		i.list[at] = new
		return
	}
	i.byName[new.name] = len(i.list)
	i.list = append(i.list, new)
}

func (i *items) upsert(news *items) {
	for _, new := range news.list {
		i.put(new)
	}
}

func (i *items) remove(names []string) {
	for _, name := range names {
		if at, known := i.byName[name]; known {
			i.list[at].text = nil
			delete(i.byName, name)
		}
	}
}

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
