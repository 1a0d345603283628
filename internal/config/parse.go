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
	document, _, err := parseAfter(body, newForms())
	return document, err
}

// parseAfter is Parse where the form of some items is known to be right. It also returns the forms of the document.
func parseAfter(body []byte, known *forms) (*Document, *forms, error) {
	all, unknown, err := splitForms(body, known)
	if err != nil {
		return nil, nil, err
	}
	if err := checkText(unknown); err != nil {
		if known.empty() {
			return nil, nil, err
		}
		return parseAfter(body, newForms()) // for an error that counts all items
	}
	document, err := ParseTrusted(body)
	return document, all, err
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

// ParseTrusted reads a document that a control process has parsed and validated already. It leaves the schema out.
func ParseTrusted(body []byte) (*Document, error) {
	document, err := unmarshalDocument(body)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		document, err = unmarshalWithFractions(body)
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
