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

// compiledSchema compiles the schema at its first use: relays never need it.
var compiledSchema = sync.OnceValue(compileSchema)

// compileSchema panics where the embedded schema is wrong, since no input can cause that.
func compileSchema() *jsonschema.Schema {
	text, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, text); err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	schema, err := compiler.Compile(schemaName)
	if err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	return schema
}

// checkForm checks a decoded document against the schema and names the first place that doesn't fit.
func checkForm(document any) error {
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

// describeFailure names an innermost place of a failure, what stands there and what the schema wants. Where there are several, it is
// the first by place and reason: the library finds them in no fixed order, and the same document has to be refused with the same words.
func describeFailure(document any, failure *jsonschema.ValidationError) error {
	printer := message.NewPrinter(language.English)
	first := slices.MinFunc(innermost(failure), func(a, b *jsonschema.ValidationError) int {
		return cmp.Or(
			slices.Compare(a.InstanceLocation, b.InstanceLocation),
			strings.Compare(a.ErrorKind.LocalizedString(printer), b.ErrorKind.LocalizedString(printer)),
		)
	})
	reason := first.ErrorKind.LocalizedString(printer)
	return invalid(pointer(first.InstanceLocation), valueAt(document, first.InstanceLocation), reason)
}

// innermost lists the failures that no other failure caused.
func innermost(failure *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(failure.Causes) == 0 {
		return []*jsonschema.ValidationError{failure}
	}
	var leaves []*jsonschema.ValidationError
	for _, cause := range failure.Causes {
		leaves = append(leaves, innermost(cause)...)
	}
	return leaves
}

// pointer writes a place as a JSON pointer.
func pointer(location []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	var out strings.Builder
	for _, step := range location {
		out.WriteByte('/')
		out.WriteString(escape.Replace(step))
	}
	return out.String()
}

// valueAt returns the JSON text of a value inside a document; the text of objects and arrays is left out.
func valueAt(document any, location []string) string {
	for _, step := range location {
		document = stepInto(document, step)
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

func stepInto(value any, step string) any {
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
