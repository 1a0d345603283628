package proxy

import (
	"bytes"
	"strconv"
)

// event is one whole event of a stream, as far as the relay looks into it.
type event struct {
	id      int64
	hasID   bool
	hasData bool   // it is no comment
	version string // where the event says that the version of the weights changes
}

var (
	idField      = []byte("id:")
	dataField    = []byte("data")
	versionField = []byte("versions:")
)

// eventEnd returns the length of the first whole event in data, its empty line included; 0: it isn't whole yet. The search begins
// at from, where an earlier one ended.
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

// parseEvent reads the fields of an event that matter here.
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

func fieldValue(line, field []byte) string {
	return string(bytes.TrimSpace(line[len(field):]))
}
