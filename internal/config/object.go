package config

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object whose members keep their order and their text.
type object struct {
	members []member
}

// member is one name and value of an object.
type member struct {
	name  string
	value json.RawMessage
}

// readObject reads JSON text that holds exactly one object, no name of which is given twice.
func readObject(text []byte, path string) (*object, error) {
	if err := checkSyntax(text); err != nil {
		return nil, err
	}
	return splitObject(trimSpace(text), path)
}

// trimSpace leaves out the white space around a value.
func trimSpace(text []byte) json.RawMessage { return bytes.TrimSpace(text) }

// splitObject is readObject for a value whose syntax was checked.
func splitObject(value json.RawMessage, path string) (*object, error) {
	if !isObject(value) {
		return nil, invalid(path, string(value), "want an object")
	}
	split := &object{}
	position := skipSpace(value, 1)
	for position < len(value) && value[position] != '}' {
		end := endOfString(value, position)
		name := stringOf(value[position:end])
		if _, twice := split.get(name); twice {
			return nil, invalid(path+"/"+name, "", "given twice")
		}
		colon := skipSpace(value, end)
		start := skipSpace(value, colon+1)
		end = endOfValue(value, start)
		split.members = append(split.members, member{name: name, value: value[start:end:end]})
		position = nextPart(value, end)
	}
	return split, nil
}

// stringOf reads a JSON string whose syntax was checked.
func stringOf(text json.RawMessage) string {
	inner := text[1 : len(text)-1]
	if bytes.IndexByte(inner, '\\') < 0 {
		return string(inner)
	}
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return string(inner)
	}
	return value
}

func (o *object) get(name string) (json.RawMessage, bool) {
	for _, member := range o.members {
		if member.name == name {
			return member.value, true
		}
	}
	return nil, false
}

// set replaces the value of a member in its place, or adds a member at the end.
func (o *object) set(name string, value json.RawMessage) {
	for index := range o.members {
		if o.members[index].name == name {
			o.members[index].value = value
			return
		}
	}
	o.members = append(o.members, member{name: name, value: value})
}

// optionalObject returns a member that is an object; one that is missing or null is empty.
func (o *object) optionalObject(name string) (*object, error) {
	value, given := o.get(name)
	if !given || string(value) == "null" {
		return &object{}, nil
	}
	return splitObject(value, "/"+name)
}

func (o *object) encode() []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for index, member := range o.members {
		if index > 0 {
			out.WriteByte(',')
		}
		name, _ := json.Marshal(member.name) // a string always has a JSON form
		out.Write(name)
		out.WriteByte(':')
		out.Write(member.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}
