package config

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaText []byte

const schemaName = "schema.json"

// compiledSchema compiles the schema on first use, since relays never need it.
var compiledSchema = sync.OnceValue(compileSchema)

// compileSchema panics if the embedded schema is invalid, since no input can cause that.
func compileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	schema, err := compiler.Compile(schemaName)
	if err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	return schema
}

// checkSchema validates a decoded document against the schema and returns its first violation.
func checkSchema(document any) error {
	err := compiledSchema().Validate(document)
	if err == nil {
		return nil
	}
	var failure *jsonschema.ValidationError
	if !errors.As(err, &failure) {
		return invalid("", "", err.Error())
	}
	return describeFailure(document, failure)
}

// describeFailure returns an error with the location, the value and the reason of a leaf failure. Of several it takes the first by
// location and reason: the library reports them in random order, and the same document has to be refused with the same message.
func describeFailure(document any, failure *jsonschema.ValidationError) error {
	printer := message.NewPrinter(language.English)
	first := slices.MinFunc(leafFailures(failure), func(a, b *jsonschema.ValidationError) int {
		return cmp.Or(
			slices.Compare(a.InstanceLocation, b.InstanceLocation),
			strings.Compare(a.ErrorKind.LocalizedString(printer), b.ErrorKind.LocalizedString(printer)),
		)
	})
	reason := first.ErrorKind.LocalizedString(printer)
	return invalid(jsonPointer(first.InstanceLocation), valueAt(document, first.InstanceLocation), reason)
}

// leafFailures returns the failures that have no further causes.
func leafFailures(failure *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(failure.Causes) == 0 {
		return []*jsonschema.ValidationError{failure}
	}
	var leaves []*jsonschema.ValidationError
	for _, cause := range failure.Causes {
		leaves = append(leaves, leafFailures(cause)...)
	}
	return leaves
}

// jsonPointer formats a location as a JSON pointer.
func jsonPointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var out strings.Builder
	for _, step := range location {
		out.WriteByte('/')
		out.WriteString(escape.Replace(step))
	}
	return out.String()
}

// valueAt returns the JSON text of the value at a location, or the empty string for objects and arrays.
func valueAt(document any, location []string) string {
	for _, step := range location {
		document = childValue(document, step)
	}
	switch document.(type) {
	case map[string]any, []any:
		return ""
	}
	text, err := json.Marshal(document)
	if err != nil {
		return ""
	}
	return string(text)
}

// childValue returns the member or element of a value, or nil if there is none.
func childValue(value any, step string) any {
	switch value := value.(type) {
	case map[string]any:
		return value[step]
	case []any:
		var index int
		if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index < 0 || index >= len(value) {
			return nil
		}
		return value[index]
	}
	return nil
}
