package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Parse reads a whole document as an operator sent it and checks its form against the schema. Fields that the schema doesn't know
// are allowed. Validate checks what it says.
func Parse(body []byte) (*Document, error) {
	if err := checkSyntax(body); err != nil {
		return nil, err
	}
	document, _, err := readAfter(body, newItemIndex(), checkText)
	return document, err
}

// Reader reads one document after the other, each of which a control process has parsed and validated already: it leaves the schema
// out, and reads only those items that the document before didn't have. The zero Reader is ready for use.
type Reader struct {
	known itemIndex
}

// Read reads a document.
func (r *Reader) Read(body []byte) (*Document, error) {
	document, index, err := parseTrusted(body, &r.known)
	if err != nil {
		return nil, err
	}
	r.known = *index
	return document, nil
}

// ParseTrusted reads a document that a control process has parsed and validated already. It leaves the schema out.
func ParseTrusted(body []byte) (*Document, error) {
	return new(Reader).Read(body)
}

func parseTrusted(body []byte, known *itemIndex) (*Document, *itemIndex, error) {
	if err := checkSyntax(body); err != nil {
		return nil, nil, err
	}
	return readAfter(body, known, func([]byte) error { return nil })
}

// readAfter reads a document whose syntax was checked, where some items are known. Check judges the text of what isn't known. The
// index of all items comes back with the document.
func readAfter(body []byte, known *itemIndex, check func(text []byte) error) (*Document, *itemIndex, error) {
	document, index, err := readUnknown(body, known, check)
	if err != nil && !known.empty() {
		return readUnknown(body, newItemIndex(), check) // for an error that counts all items
	}
	return document, index, err
}

func readUnknown(body []byte, known *itemIndex, check func(text []byte) error) (*Document, *itemIndex, error) {
	split, err := splitByIndex(body, known)
	if err != nil {
		return nil, nil, err
	}
	if err := check(split.rest); err != nil {
		return nil, nil, err
	}
	document, err := unmarshal(split.rest)
	if err != nil {
		return nil, nil, err
	}
	index, whole := split.join(document, known)
	if !whole {
		return nil, nil, invalid("", "", "the items can't be told apart")
	}
	return document, index, nil
}

// checkText checks the text of a document against the schema.
func checkText(text []byte) error {
	if err := checkNumbers(text); err != nil {
		return err
	}
	value, err := decode(text)
	if err != nil {
		return err
	}
	return checkForm(value)
}

// unmarshal reads the text of a document.
func unmarshal(text []byte) (*Document, error) {
	document, err := unmarshalDocument(text)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		document, err = unmarshalWithFractions(text)
	}
	if err != nil {
		return nil, unreadable(err)
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

// unmarshalWithFractions takes whole numbers also where they are written with a fraction or an exponent, such as 8000.0.
func unmarshalWithFractions(body []byte) (*Document, error) {
	return unmarshalDocument(writeNumbersPlainly(body))
}

// decode reads JSON text for the schema.
func decode(text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, unreadable(err)
	}
	return value, nil
}

// unreadable turns an error of the JSON library into one of this package.
func unreadable(err error) error {
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
