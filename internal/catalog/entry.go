// Package catalog holds the list of endpoints: entries, one rising version for each change, and the changes since a
// version. It has no sockets and no clock, so that every replica that is given the same writes holds the same list.
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

// State is what an endpoint wants of relays.
type State string

// The states of an entry. Gone appears among changes only.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Bounds of an entry's fields.
const (
	idMost    = 128 // bytes of an id
	nameMost  = 64  // of a zone or a kind
	addrMost  = 256
	cellMost  = 1 << 20
	extraMost = 4 << 10 // of the fields that this build does not know
)

// Entry is one endpoint, in the platform's form.
type Entry struct {
	ID        string
	Addr      string
	Zone      string
	Kind      string
	Cell      int
	State     State
	Weight    float64
	StartedMS int64

	// Extra are fields that this build does not know: they are kept and passed on, so that an old build between two
	// new ones loses nothing.
	Extra map[string]json.RawMessage
}

// entryJSON is the form of the known fields.
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

var known = []string{"id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"}

// MarshalJSON writes the known fields in their order, and then the others by name.
func (e Entry) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal(entryJSON{e.ID, e.Addr, e.Zone, e.Kind, &e.Cell, e.State, e.Weight, e.StartedMS})
	if err != nil || len(e.Extra) == 0 {
		return data, err
	}
	extra, err := json.Marshal(e.Extra) // sorted by name
	if err != nil {
		return nil, err
	}
	return append(append(data[:len(data)-1], ','), extra[1:]...), nil
}

// UnmarshalJSON reads an entry; it does not judge its values.
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
		// The library takes a known field in any case; what it took is no other field.
		if !isKnown(name) {
			if e.Extra == nil {
				e.Extra = map[string]json.RawMessage{}
			}
			e.Extra[name] = raw
		}
	}
	return nil
}

func isKnown(name string) bool {
	for _, k := range known {
		if strings.EqualFold(k, name) {
			return true
		}
	}
	return false
}

// Equal tells whether two entries are the same in every field.
func (e Entry) Equal(o Entry) bool {
	x, y := e, o
	x.Extra, y.Extra = nil, nil
	return x.ID == y.ID && x.Addr == y.Addr && x.Zone == y.Zone && x.Kind == y.Kind && x.Cell == y.Cell && x.State == y.State && x.Weight == y.Weight &&
		x.StartedMS == y.StartedMS && maps.EqualFunc(e.Extra, o.Extra, func(a, b json.RawMessage) bool { return string(a) == string(b) })
}

// FieldError says which field of which entry is wrong.
type FieldError struct {
	Entry string // its id, or its place among several
	Field string
	Why   string
}

func (e *FieldError) Error() string { return fmt.Sprintf("entry %s: %s: %s", e.Entry, e.Field, e.Why) }

// Check judges an entry's values.
func (e Entry) Check() error {
	wrong := func(field, format string, args ...any) error {
		return &FieldError{strconv.Quote(clip(e.ID)), field, fmt.Sprintf(format, args...)}
	}
	size := 0
	for name, raw := range e.Extra {
		size += len(name) + len(raw)
	}
	switch {
	case e.ID == "":
		return wrong("id", "is missing")
	case len(e.ID) > idMost:
		return wrong("id", "has %d bytes, at most are %d", len(e.ID), idMost)
	case !plain(e.ID):
		return wrong("id", "may hold printable ASCII without spaces and slashes alone")
	case e.Zone == "" || len(e.Zone) > nameMost || !plain(e.Zone):
		return wrong("zone", "%q, wanted are 1 to %d bytes of printable ASCII without spaces and slashes", clip(e.Zone), nameMost)
	case e.Kind == "" || len(e.Kind) > nameMost || !plain(e.Kind):
		return wrong("kind", "%q, wanted are 1 to %d bytes of printable ASCII without spaces and slashes", clip(e.Kind), nameMost)
	case e.Cell < 0 || e.Cell > cellMost:
		return wrong("cell", "wanted is a whole number from 0 to %d", cellMost)
	case e.State != Ready && e.State != Draining:
		return wrong("state", "%q, wanted is ready or draining; what is gone is removed", clip(string(e.State)))
	case math.IsNaN(e.Weight) || math.IsInf(e.Weight, 0) || e.Weight < 0:
		return wrong("weight", "%v, wanted is a number of 0 or more", e.Weight)
	case e.StartedMS < 0:
		return wrong("started_ms", "%d is below 0", e.StartedMS)
	case size > extraMost:
		return wrong("other fields", "have %d bytes, at most are %d", size, extraMost)
	}
	if why := address(e.Addr); why != "" {
		return wrong("addr", "%q: %s", clip(e.Addr), why)
	}
	return nil
}

// address tells why an address is none; empty: it is one.
func address(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	n, bad := strconv.ParseUint(port, 10, 16)
	switch {
	case len(addr) > addrMost:
		return "too long"
	case err != nil:
		return "wanted is host:port, such as 10.1.0.18:3000"
	case host == "" || !plain(host):
		return "its host is missing or no name"
	case bad != nil || n == 0:
		return "its port is no number from 1 to 65535"
	}
	return ""
}

// plain is printable ASCII without spaces and slashes: it can stand in a path, a log line and a table.
func plain(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

func clip(text string) string {
	if len(text) > 64 {
		return text[:64] + "…"
	}
	return text
}
