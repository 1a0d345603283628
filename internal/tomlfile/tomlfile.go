// Package tomlfile reads TOML configuration files strictly: an unknown key, a value of the wrong type and a truncated file are errors
// that name the file, line and key. A misspelled setting must not pass for one that was left out.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"wallflow/internal/units"
)

// Read decodes the file at path into v.
func Read(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err // the error already contains the path
	}
	return Parse(path, data, v)
}

// Parse decodes data into v. Errors refer to the file as name.
func Parse(name string, data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownKeys):
		var all []error
		for i := range unknownKeys.Errors {
			e := &unknownKeys.Errors[i]
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such key", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &decodeErr):
		line, column := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key != "" {
			return fmt.Errorf("%s:%d: %s: %s", name, line, key, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		}
		return fmt.Errorf("%s:%d:%d: %s", name, line, column, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	// The library reports no position for a quantity that was written as a bare number.
	var quantity *units.Error
	if errors.As(err, &quantity) {
		if line, key := findKey(data, quantity.Text); line > 0 {
			return fmt.Errorf("%s:%d: %s: %w", name, line, key, quantity)
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// findKey returns the line and name of the first key whose value is the unquoted text; line 0 if there is none.
func findKey(data []byte, text string) (line int, key string) {
	var p unstable.Parser
	p.Reset(data)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		name := keyParts(e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = name
		case unstable.KeyValue:
			if v := e.Value(); v.Kind != unstable.String && string(v.Data) == text {
				at := p.Shape(p.Range(v.Data))
				return at.Start.Line, strings.Join(append(table, name...), ".")
			}
		}
	}
	return 0, ""
}

// keyParts returns the parts of an expression's dotted key.
func keyParts(e *unstable.Node) (all []string) {
	for k := e.Key(); k.Next(); {
		all = append(all, string(k.Node().Data))
	}
	return all
}
