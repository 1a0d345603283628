package config

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object that keeps the order and the original text of its members.
type object struct {
	members []member
}

// member is a name and its value in an object.
type member struct {
	name  string
	value json.RawMessage
}

// readObject parses JSON text that consists of exactly one object. Duplicate names are refused.
func readObject(text []byte, path string) (*object, error) {
	if err := checkSyntax(text); err != nil {
		return nil, err
	}
	return splitObject(trimSpace(text), path)
}

// trimSpace removes the white space around a value.
func trimSpace(text []byte) json.RawMessage { return bytes.TrimSpace(text) }

// splitObject is like readObject, for a value whose syntax has been checked.
func splitObject(value json.RawMessage, path string) (*object, error) {
	if !isObject(value) {
		return nil, invalid(path, string(value), "want an object")
	}
	split := &object{}
	position := skipSpace(value, 1)
	for position < len(value) && value[position] != '}' {
		end := endOfString(value, position)
		name := decodeString(value[position:end])
		if _, duplicate := split.get(name); duplicate {
			return nil, invalid(path+"/"+name, "", "given twice")
		}
		colon := skipSpace(value, end)
		start := skipSpace(value, colon+1)
		end = endOfValue(value, start)
		split.members = append(split.members, member{name: name, value: value[start:end:end]})
		position = nextElement(value, end)
	}
	return split, nil
}

// decodeString decodes a JSON string whose syntax has been checked.
func decodeString(text json.RawMessage) string {
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

// set replaces the value of a member in place, or appends a new member.
func (o *object) set(name string, value json.RawMessage) {
	for index := range o.members {
		if o.members[index].name == name {
			o.members[index].value = value
			return
		}
	}
	o.members = append(o.members, member{name: name, value: value})
}

// optionalObject returns a member that is an object. If it is missing or null, the result is empty.
func (o *object) optionalObject(name string) (*object, error) {
	value, exists := o.get(name)
	if !exists || string(value) == "null" {
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
		name, _ := json.Marshal(member.name) // encoding a string never fails
		out.Write(name)
		out.WriteByte(':')
		out.Write(member.value)
	}
	out.WriteByte('}')
	return out.Bytes()
}
