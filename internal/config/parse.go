package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Parse parses a document as sent by an operator and checks it against the JSON schema. Fields unknown to the schema are allowed.
// Document.Validate checks the rules that the schema can't express.
func Parse(body []byte) (*Document, error) {
	if err := checkSyntax(body); err != nil {
		return nil, err
	}
	document, _, err := parseReusingItems(body, newItemIndex(), checkNumbersAndSchema)
	return document, err
}

// Reader parses successive documents that a control process has parsed and validated already. It skips the schema and parses only
// the items that are not in the previous document. The zero value is ready for use.
type Reader struct {
	knownItems itemIndex
}

// Read parses the next document.
func (r *Reader) Read(body []byte) (*Document, error) {
	document, index, err := parseTrusted(body, &r.knownItems)
	if err != nil {
		return nil, err
	}
	r.knownItems = *index
	return document, nil
}

// ParseTrusted parses a document that a control process has parsed and validated already. It skips the schema.
func ParseTrusted(body []byte) (*Document, error) {
	return new(Reader).Read(body)
}

// parseTrusted checks the syntax of a document and parses it without the schema.
func parseTrusted(body []byte, known *itemIndex) (*Document, *itemIndex, error) {
	if err := checkSyntax(body); err != nil {
		return nil, nil, err
	}
	return parseReusingItems(body, known, func([]byte) error { return nil })
}

// parseReusingItems parses a document whose syntax has been checked, and takes the items that are in the index from there. The check
// function checks the remaining text. The result includes an index of all items.
func parseReusingItems(body []byte, known *itemIndex, check func(text []byte) error) (*Document, *itemIndex, error) {
	document, index, err := parseUnknownItems(body, known, check)
	if err != nil && !known.isEmpty() {
		return parseUnknownItems(body, newItemIndex(), check) // so that positions in the error's path refer to the whole document
	}
	return document, index, err
}

// parseUnknownItems parses the text that remains without the indexed items, and joins both.
func parseUnknownItems(body []byte, known *itemIndex, check func(text []byte) error) (*Document, *itemIndex, error) {
	split, err := splitKnownItems(body, known)
	if err != nil {
		return nil, nil, err
	}
	if err := check(split.remainder); err != nil {
		return nil, nil, err
	}
	document, err := unmarshal(split.remainder)
	if err != nil {
		return nil, nil, err
	}
	index, complete := split.join(document, known)
	if !complete {
		return nil, nil, invalid("", "", "the items can't be told apart")
	}
	return document, index, nil
}

// checkNumbersAndSchema checks the numbers of a document and validates it against the schema.
func checkNumbersAndSchema(text []byte) error {
	if err := checkNumbers(text); err != nil {
		return err
	}
	value, err := decode(text)
	if err != nil {
		return err
	}
	return checkSchema(value)
}

// unmarshal decodes the text of a document. If a number has the wrong form, it tries again with normalized numbers.
func unmarshal(text []byte) (*Document, error) {
	document, err := unmarshalDocument(text)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		document, err = unmarshalWithFractions(text)
	}
	if err != nil {
		return nil, toInvalidError(err)
	}
	return document, nil
}

func unmarshalDocument(body []byte) (*Document, error) {
	document := &Document{}
	if err := json.Unmarshal(body, document); err != nil {
		return nil, err
	}
	return document, nil
}

// unmarshalWithFractions also accepts integers that are written with a fraction or an exponent, such as 8000.0.
func unmarshalWithFractions(body []byte) (*Document, error) {
	return unmarshalDocument(normalizeNumbers(body))
}

// decode decodes JSON text into the generic values that the schema library validates.
func decode(text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, toInvalidError(err)
	}
	return value, nil
}

// toInvalidError converts an error of encoding/json to an InvalidError.
func toInvalidError(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return invalid("", fmt.Sprintf("byte %d", syntax.Offset), "not JSON: "+syntax.Error())
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return invalid(wrongType.Field, wrongType.Value, "want "+wrongType.Type.String())
	}
	return invalid("", "", err.Error())
}
