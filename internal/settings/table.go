package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxDescribedValue bounds how much of a value an error shows, in bytes.
const maxDescribedValue = 60

// maxNumber bounds all numbers, so that none overflows when it is converted to a duration.
const maxNumber = 1e9

// table is a table of a settings file. Its methods read values and record the first error. Values that are read after an error
// are not used.
type table struct {
	file     string
	prefix   string // prefix of keys in errors: "" or, for example, "bounds."
	values   map[string]any
	firstErr *error // the first error, shared by all tables of a file
}

// fail records an error about a key if it is the first error.
func (t table) fail(key, found, want string) {
	if *t.firstErr == nil {
		*t.firstErr = &KeyError{File: t.file, Key: t.prefix + key, Found: found, Want: want}
	}
}

// failValue records an error about an invalid value.
func (t table) failValue(key string, value any, want string) {
	t.fail(key, describe(value), want)
}

// subtable returns the table under a key. A missing table is empty.
func (t table) subtable(key string) table {
	child := table{file: t.file, prefix: t.prefix + key + ".", firstErr: t.firstErr}
	value, present := t.values[key]
	if !present {
		return child
	}
	values, isTable := value.(map[string]any)
	if !isTable {
		t.failValue(key, value, "a table")
	}
	child.values = values
	return child
}

const wantNonEmptyString = "a non-empty string"

// requiredString reads a string that must be present and not empty.
func (t table) requiredString(key string) string {
	value, present := t.values[key]
	if !present {
		t.fail(key, "nothing", wantNonEmptyString)
		return ""
	}
	text, isText := value.(string)
	if !isText || text == "" {
		t.failValue(key, value, wantNonEmptyString)
	}
	return text
}

// optionalString reads a string. A missing one is empty.
func (t table) optionalString(key string) string {
	value, present := t.values[key]
	if !present {
		return ""
	}
	text, isText := value.(string)
	if !isText {
		t.failValue(key, value, "a string")
	}
	return text
}

// boolean reads true or false. A missing value is false.
func (t table) boolean(key string) bool {
	value, present := t.values[key]
	if !present {
		return false
	}
	flag, isFlag := value.(bool)
	if !isFlag {
		t.failValue(key, value, "true or false")
	}
	return flag
}

// stringList reads a list of non-empty strings. A missing list is empty.
func (t table) stringList(key string) []string {
	value, present := t.values[key]
	if !present {
		return nil
	}
	list, isList := value.([]any)
	if !isList {
		t.failValue(key, value, "a list of non-empty strings")
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, value := range list {
		text, isText := value.(string)
		if !isText || text == "" {
			t.failValue(key, value, "a list of non-empty strings")
		}
		texts = append(texts, text)
	}
	return texts
}

// nonNegative reads a number from 0 to maxNumber, or returns the default if it is missing.
func (t table) nonNegative(key string, defaultValue float64) float64 {
	value, present := t.values[key]
	if !present {
		return defaultValue
	}
	number, isNumber := toNumber(value)
	if !isNumber || !(number >= 0 && number <= maxNumber) {
		t.failValue(key, value, "a number from 0 to 1e9")
	}
	return number
}

// positive is like nonNegative but does not accept 0.
func (t table) positive(key string, defaultValue float64) float64 {
	value, present := t.values[key]
	if !present {
		return defaultValue
	}
	number, isNumber := toNumber(value)
	if !isNumber || !(number > 0 && number <= maxNumber) {
		t.failValue(key, value, "a number above 0, up to 1e9")
	}
	return number
}

// count reads a whole number from 0 to maxNumber, which may be written as 3.0, or returns the default if it is missing.
func (t table) count(key string, defaultValue int) int {
	value, present := t.values[key]
	if !present {
		return defaultValue
	}
	number, isNumber := toNumber(value)
	if !isNumber || !isWhole(number) || number < 0 || number > maxNumber {
		t.failValue(key, value, "a whole number from 0 to 1e9")
		return 0
	}
	return int(number)
}

// toNumber converts a TOML integer or float. It returns false for values of other types.
func toNumber(value any) (float64, bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	}
	return 0, false
}

func isWhole(number float64) bool {
	return number == math.Trunc(number)
}

// describe returns a short text for a value, on one line, for use in errors.
func describe(value any) string {
	var description string
	switch value := value.(type) {
	case string:
		description = strconv.Quote(value)
	case map[string]any:
		return "a table"
	case []any:
		description = describeList(value)
	default:
		description = fmt.Sprint(value)
	}
	if len(description) > maxDescribedValue {
		return description[:maxDescribedValue] + "..."
	}
	return description
}

func describeList(list []any) string {
	descriptions := make([]string, 0, len(list))
	for _, value := range list {
		descriptions = append(descriptions, describe(value))
	}
	return "[" + strings.Join(descriptions, ", ") + "]"
}
