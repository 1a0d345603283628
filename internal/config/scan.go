package config

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// The functions of this file split JSON text without decoding its values. The text has to be valid, which checkSyntax checks once for
// the whole text.

// checkSyntax checks that text is exactly one JSON value in UTF-8.
func checkSyntax(text []byte) error {
	if !utf8.Valid(text) {
		return invalid("", "", "not UTF-8")
	}
	if json.Valid(text) {
		return nil
	}
	var value json.RawMessage
	return toInvalidError(json.Unmarshal(text, &value))
}

// skipSpace returns the position of the first character at or after start that is not white space.
func skipSpace(text []byte, start int) int {
	for position := start; position < len(text); position++ {
		switch text[position] {
		case ' ', '\t', '\r', '\n':
		default:
			return position
		}
	}
	return len(text)
}

// endOfString returns the position after the string that starts at start.
func endOfString(text []byte, start int) int {
	position := start + 1
	for position < len(text) {
		quote := bytes.IndexByte(text[position:], '"')
		if quote < 0 {
			return len(text)
		}
		escape := bytes.IndexByte(text[position:position+quote], '\\')
		if escape < 0 {
			return position + quote + 1
		}
		position += escape + 2
	}
	return len(text)
}

// endOfValue returns the position after the value that starts at start.
func endOfValue(text []byte, start int) int {
	switch text[start] {
	case '"':
		return endOfString(text, start)
	case '{', '[':
		return endOfBrackets(text, start)
	}
	for position := start; position < len(text); position++ {
		switch text[position] {
		case ',', '}', ']', ' ', '\t', '\r', '\n':
			return position
		}
	}
	return len(text)
}

// endOfBrackets returns the position after the object or array that starts at start.
func endOfBrackets(text []byte, start int) int {
	depth := 0
	for position := start; position < len(text); position++ {
		switch text[position] {
		case '"':
			position = endOfString(text, position) - 1
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth == 0 {
				return position + 1
			}
		}
	}
	return len(text)
}

// isArray reports whether a value is an array.
func isArray(text json.RawMessage) bool {
	return len(text) > 0 && text[0] == '['
}

// isObject reports whether a value is an object.
func isObject(text json.RawMessage) bool {
	return len(text) > 0 && text[0] == '{'
}

// elements returns the elements of an array without the white space around them.
func elements(array json.RawMessage) []json.RawMessage {
	var result []json.RawMessage
	position := skipSpace(array, 1)
	for position < len(array) && array[position] != ']' {
		end := endOfValue(array, position)
		result = append(result, array[position:end:end])
		position = nextElement(array, end)
	}
	return result
}

// nextElement returns the position of the element or member after the one that ends at end, or of the closing bracket.
func nextElement(text []byte, end int) int {
	position := skipSpace(text, end)
	if position < len(text) && text[position] == ',' {
		return skipSpace(text, position+1)
	}
	return position
}
