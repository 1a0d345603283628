// Package tomlfile reads the product's TOML files, strictly: a key that nothing reads, a value of another type and a
// file that is cut off are errors that name file, line and key. A setting with a slip of the pen in it must not be
// taken for one that was left out.
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

// Read reads the file at path into v.
func Read(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err // it names the file
	}
	return Parse(path, data, v)
}

// Parse reads data into v; name stands for the file in errors.
func Parse(name string, data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var all []error
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: no such key", name, row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &wrong):
		row, column := wrong.Position()
		key := strings.Join(wrong.Key(), ".")
		if key != "" {
			return fmt.Errorf("%s:%d: %s: %s", name, row, key, strings.TrimPrefix(wrong.Error(), "toml: "))
		}
		return fmt.Errorf("%s:%d:%d: %s", name, row, column, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	// The library gives no position where a quantity was written as a bare figure.
	var quantity *units.Error
	if errors.As(err, &quantity) {
		if row, key := find(data, quantity.Text); row > 0 {
			return fmt.Errorf("%s:%d: %s: %w", name, row, key, quantity)
		}
	}
	return fmt.Errorf("%s: %w", name, err)
}

// find returns where the first key stands whose value is the bare text, and its name; row 0 if there is none.
func find(data []byte, text string) (row int, key string) {
	var p unstable.Parser
	p.Reset(data)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		name := parts(e)
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

// parts are those of an expression's key.
func parts(e *unstable.Node) (all []string) {
	for k := e.Key(); k.Next(); {
		all = append(all, string(k.Node().Data))
	}
	return all
}
