// Package catalog holds the list of endpoints: its entries, a version that increases with each change, and a history of
// recent changes. It uses neither the network nor a clock, so replicas that apply the same writes hold the same list.
package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"strconv"
	"strings"
)

// State is the state of an endpoint, which tells relays whether to send it new requests.
type State string

// The states of an entry. Gone appears only in incremental lists and the history, for an entry that was removed.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Limits on the fields of an entry. Lengths are in bytes.
const (
	maxIDBytes    = 128 // length of an ID
	maxNameBytes  = 64  // length of a zone or a kind
	maxAddrBytes  = 256
	maxCell       = 1 << 20
	maxExtraBytes = 4 << 10 // total length of the names and values in Extra
)

// Entry is one endpoint, in the platform's format.
type Entry struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     State
	Weight    float64
	StartedMS int64

	// Extra holds fields that this build does not know. They are stored and passed on, so that an old build between
	// two newer ones loses nothing.
	Extra map[string]json.RawMessage
}

// entryJSON is the JSON encoding of the known fields.
type entryJSON struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      *int    `json:"cell"`
	State     State   `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var knownFields = []string{"id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"}

// MarshalJSON writes the known fields in a fixed order, followed by the extra fields sorted by name.
func (e Entry) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(entryJSON{e.ID, e.Addr, e.Zone, e.Kind, &e.Cell, e.State, e.Weight, e.StartedMS})
	if err != nil || len(e.Extra) == 0 {
		return data, err
	}
	extra, err := json.Marshal(e.Extra) // json.Marshal sorts map keys
	if err != nil {
		return nil, err
	}
	return append(append(data[:len(data)-1], ','), extra[1:]...), nil
}

// UnmarshalJSON decodes an entry without validating its values; see Check. A missing cell becomes -1, which is invalid.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var j entryJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	*e = Entry{ID: j.ID, Addr: j.Addr, Zone: j.Zone, Kind: j.Kind, Cell: -1, State: j.State, Weight: j.Weight, StartedMS: j.StartedMS}
	if j.Cell != nil {
		e.Cell = *j.Cell
	}
	for name, raw := range all {
		// json.Unmarshal matches field names case-insensitively, so a field that it consumed is not an extra one.
		if !isKnownField(name) {
			if e.Extra == nil {
				e.Extra = map[string]json.RawMessage{}
			}
			e.Extra[name] = raw
		}
	}
	return nil
}

func isKnownField(name string) bool {
	for _, k := range knownFields {
		if strings.EqualFold(k, name) {
			return true
		}
	}
	return false
}

// Equal reports whether two entries are equal in every field.
func (e Entry) Equal(o Entry) bool {
	x, y := e, o
	x.Extra, y.Extra = nil, nil
	return x.ID == y.ID && x.Addr == y.Addr && x.Zone == y.Zone && x.Kind == y.Kind && x.Cell == y.Cell && x.State == y.State && x.Weight == y.Weight &&
		x.StartedMS == y.StartedMS && maps.EqualFunc(e.Extra, o.Extra, func(a, b json.RawMessage) bool { return string(a) == string(b) })
}

// FieldError reports an invalid field of an entry.
type FieldError struct {
	Entry string // its quoted ID, or its 1-based position in a write
	Field string
	Why   string
}

func (e *FieldError) Error() string { return fmt.Sprintf("entry %s: %s: %s", e.Entry, e.Field, e.Why) }

// Check validates the values of an entry.
func (e Entry) Check() error {
	fieldError := func(field, format string, args ...any) error {
		return &FieldError{strconv.Quote(truncate(e.ID)), field, fmt.Sprintf(format, args...)}
	}
	size := 0
	for name, raw := range e.Extra {
		size += len(name) + len(raw)
	}
	switch {
	case e.ID == "":
		return fieldError("id", "is missing")
	case len(e.ID) > maxIDBytes:
		return fieldError("id", "has %d bytes, at most are %d", len(e.ID), maxIDBytes)
	case !isPlainName(e.ID):
		return fieldError("id", "may hold printable ASCII without spaces and slashes alone")
	case e.Zone == "" || len(e.Zone) > maxNameBytes || !isPlainName(e.Zone):
		return fieldError("zone", "%q, wanted are 1 to %d bytes of printable ASCII without spaces and slashes", truncate(e.Zone), maxNameBytes)
	case e.Kind == "" || len(e.Kind) > maxNameBytes || !isPlainName(e.Kind):
		return fieldError("kind", "%q, wanted are 1 to %d bytes of printable ASCII without spaces and slashes", truncate(e.Kind), maxNameBytes)
	case e.Cell < 0 || e.Cell > maxCell:
		return fieldError("cell", "wanted is a whole number from 0 to %d", maxCell)
	case e.State != Ready && e.State != Draining:
		return fieldError("state", "%q, wanted is ready or draining; what is gone is removed", truncate(string(e.State)))
	case math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) || e.Weight < 0:
		return fieldError("weight", "%v, wanted is a number of 0 or more", e.Weight)
	case e.StartedMS < 0:
		return fieldError("started_ms", "%d is below 0", e.StartedMS)
	case size > maxExtraBytes:
		return fieldError("other fields", "have %d bytes, at most are %d", size, maxExtraBytes)
	}
	if why := addressProblem(e.Addr); why != "" {
		return fieldError("addr", "%q: %s", truncate(e.Addr), why)
	}
	return nil
}

// addressProblem describes why an address is invalid, or returns "" if it is valid.
func addressProblem(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.ParseUint(port, 10, 16)
	switch {
	case len(addr) > maxAddrBytes:
		return "too long"
	case err != nil:
		return "wanted is host:port, such as 10.1.0.18:3000"
	case host == "" || !isPlainName(host):
		return "its host is missing or no name"
	case portErr != nil || n == 0:
		return "its port is no number from 1 to 65535"
	}
	return ""
}

// isPlainName reports whether text consists of printable ASCII without spaces and slashes, so that it can be used in a
// path, a log line and a table.
func isPlainName(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// truncate shortens text to 64 bytes for an error message.
func truncate(text string) string {
	if len(text) > 64 {
		return text[:64] + "…"
	}
	return text
}
