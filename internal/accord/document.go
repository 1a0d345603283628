package accord

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Limits of a document. They keep a typing error in a policy, for example in its skip times, from stopping a whole fleet.
const (
	MaxDocumentBytes  = 256 << 10 // bytes
	maxAttempts       = 100
	maxAdviceMS       = 60_000
	minSkipMS         = 100
	maxSkipMS         = 120_000
	maxRoutes         = 1024
	maxNameBytes      = 128
	maxQuotaPerSecond = 1e6
	maxDestination    = 1 << 20
	documentFormat    = 1
)

// Document is the content of a policy. Where a field is absent, the relay's own configuration applies.
type Document struct {
	Form         int                 `json:"form" toml:"form"` // version of the document format: 1
	Title        string              `json:"title,omitempty" toml:"title"`
	Classes      map[string]Class    `json:"classes,omitempty" toml:"classes"`           // by class name
	Customers    map[string]Customer `json:"customers,omitempty" toml:"customers"`       // by customer name
	Destinations map[string]Order    `json:"destinations,omitempty" toml:"destinations"` // by destination number
	Skip         *Skip               `json:"skip,omitempty" toml:"skip"`
}

// Class holds a policy's settings for a class of messages.
type Class struct {
	Attempts int   `json:"attempts,omitempty" toml:"attempts"`   // maximum attempts per message; 0: as configured
	AdviceMS int64 `json:"advice_ms,omitempty" toml:"advice_ms"` // minimum retry-after, in ms, sent to a refused client
}

// Customer holds a policy's settings for a customer.
type Customer struct {
	QuotaPerS float64 `json:"quota_per_s" toml:"quota_per_s"` // quota over all relays, in messages per second
}

// Order lists the ids of a destination's routes in the order in which they are tried. Routes that are not listed follow, in the
// order that they have without a policy.
type Order struct {
	Routes []string `json:"routes" toml:"routes"`
}

// Skip sets how long a failing route is skipped: the first time, and at most.
type Skip struct {
	FirstMS int64 `json:"first_ms" toml:"first_ms"`
	MostMS  int64 `json:"most_ms" toml:"most_ms"`
}

// FieldError names a field of a document that is invalid, or that a relay cannot apply.
type FieldError struct {
	Field string
	Why   string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Check validates a document on its own. Whether a relay can apply it also depends on that relay's configuration.
func (d *Document) Check() error {
	if d.Form != documentFormat {
		return fieldErrorf("form", "%d, this build reads %d", d.Form, documentFormat)
	}
	if len(d.Title) > maxNameBytes {
		return fieldErrorf("title", "has %d bytes, at most are %d", len(d.Title), maxNameBytes)
	}
	for name, c := range d.Classes {
		at := "classes." + name
		switch {
		case name == "" || len(name) > maxNameBytes:
			return fieldErrorf("classes", "%.40q is no name of a class", name)
		case c.Attempts < 0 || c.Attempts > maxAttempts:
			return fieldErrorf(at+".attempts", "%d, wanted is 1 to %d, or 0 for as configured", c.Attempts, maxAttempts)
		case c.AdviceMS < 0 || c.AdviceMS > maxAdviceMS:
			return fieldErrorf(at+".advice_ms", "%d, wanted is 0 to %d", c.AdviceMS, maxAdviceMS)
		}
	}
	for name, c := range d.Customers {
		if name == "" || len(name) > maxNameBytes {
			return fieldErrorf("customers", "%.40q is no name of a customer", name)
		}
		if !(c.QuotaPerS > 0) || c.QuotaPerS > maxQuotaPerSecond {
			return fieldErrorf("customers."+name+".quota_per_s", "%v, wanted is a number above 0", c.QuotaPerS)
		}
	}
	for number, o := range d.Destinations {
		at := "destinations." + number
		if n, err := strconv.Atoi(number); err != nil || n < 0 || n > maxDestination || strconv.Itoa(n) != number {
			return fieldErrorf(at, "is no number of a destination")
		}
		if len(o.Routes) == 0 || len(o.Routes) > maxRoutes {
			return fieldErrorf(at+".routes", "has %d ids, wanted are 1 to %d", len(o.Routes), maxRoutes)
		}
		for i, id := range o.Routes {
			if id == "" || len(id) > maxNameBytes {
				return fieldErrorf(fmt.Sprintf("%s.routes[%d]", at, i), "%.40q is no id of a route", id)
			}
			if slices.Contains(o.Routes[:i], id) {
				return fieldErrorf(fmt.Sprintf("%s.routes[%d]", at, i), "%q stands there twice", id)
			}
		}
	}
	if s := d.Skip; s != nil && (s.FirstMS < minSkipMS || s.MostMS < s.FirstMS || s.MostMS > maxSkipMS) {
		return fieldErrorf("skip", "first_ms %d and most_ms %d, wanted is %d to %d, the first no longer than the most",
			s.FirstMS, s.MostMS, minSkipMS, maxSkipMS)
	}
	return nil
}

// Canonical returns the form in which a document is stored and hashed: JSON with sorted keys and without spaces.
func (d *Document) Canonical() (json.RawMessage, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(d)
	if err == nil && len(data) > MaxDocumentBytes {
		err = fmt.Errorf("document: %d bytes, at most are %d", len(data), MaxDocumentBytes)
	}
	return data, err
}

// ParseDocument parses a document. It rejects unknown fields, since this build cannot apply them.
func ParseDocument(data json.RawMessage) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		if _, field, ok := strings.Cut(err.Error(), "unknown field "); ok {
			return nil, fieldErrorf(strings.Trim(field, `"`), "this build does not know it")
		}
		return nil, fmt.Errorf("document: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("document: something follows it")
	}
	return &d, d.Check()
}

// Hash returns the first 16 bytes of the SHA-256 of a canonical document, in hex.
func Hash(data json.RawMessage) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}
