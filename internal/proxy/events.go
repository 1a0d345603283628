package proxy

import (
	"bytes"
	"strconv"
)

// event holds the fields of one server-sent event that the relay uses.
type event struct {
	id      int64
	hasID   bool
	hasData bool   // false for an event with only comments
	version string // the new version of the model weights, if the event announces one
}

var (
	idField      = []byte("id:")
	dataField    = []byte("data")
	versionField = []byte("versions:")
)

// eventEnd returns the length of the first complete event in data, including the empty line that ends it, or 0 if no event is
// complete. from is the length of the data that was already searched without success.
func eventEnd(data []byte, from int) int {
	for at := max(from-2, 0); ; {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return 0
		}
		at += next + 1
		switch {
		case at < len(data) && data[at] == '\n':
			return at + 1
		case at+1 < len(data) && data[at] == '\r' && data[at+1] == '\n':
			return at + 2
		}
	}
}

// parseEvent parses the fields of an event that the relay uses.
func parseEvent(data []byte) event {
	var parsed event
	for len(data) > 0 {
		line, rest, _ := bytes.Cut(data, []byte{'\n'})
		data = rest
		switch {
		case bytes.HasPrefix(line, idField):
			id, err := strconv.ParseInt(fieldValue(line, idField), 10, 64)
			parsed.id, parsed.hasID = id, err == nil
		case bytes.HasPrefix(line, dataField):
			parsed.hasData = true
		case bytes.HasPrefix(line, versionField):
			parsed.version = fieldValue(line, versionField)
		}
	}
	return parsed
}

// fieldValue returns the value of a line that begins with field.
func fieldValue(line, field []byte) string {
	return string(bytes.TrimSpace(line[len(field):]))
}
