package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxShownValue bounds the part of a value that an error shows.
const maxShownValue = 60

// maxFigure bounds all numbers, so that none overflows when it is turned into a duration.
const maxFigure = 1e9

// table is one table of a settings file while it is read. The first fault is kept; what is read after it is of no use.
type table struct {
	file   string
	prefix string // of its keys in errors: "" or "bounds."
	values map[string]any
	fault  *error // shared by all tables of a file
}

// fail keeps a fault if it is the first.
func (t table) fail(key, found, want string) {
	if *t.fault == nil {
		*t.fault = &KeyError{File: t.file, Key: t.prefix + key, Found: found, Want: want}
	}
}

// failValue keeps a fault about a value that is there.
func (t table) failValue(key string, value any, want string) {
	t.fail(key, describe(value), want)
}

// sub returns the table under a key; a missing one is empty.
func (t table) sub(key string) table {
	under := table{file: t.file, prefix: t.prefix + key + ".", fault: t.fault}
	value, given := t.values[key]
	if !given {
		return under
	}
	values, isTable := value.(map[string]any)
	if !isTable {
		t.failValue(key, value, "a table")
	}
	under.values = values
	return under
}

const wantText = "a text that isn't empty"

// requiredText reads a text that has to be there and must not be empty.
func (t table) requiredText(key string) string {
	value, given := t.values[key]
	if !given {
		t.fail(key, "nothing", wantText)
		return ""
	}
	text, isText := value.(string)
	if !isText || text == "" {
		t.failValue(key, value, wantText)
	}
	return text
}

// text reads a text that may be missing.
func (t table) text(key string) string {
	value, given := t.values[key]
	if !given {
		return ""
	}
	text, isText := value.(string)
	if !isText {
		t.failValue(key, value, "a text")
	}
	return text
}

// flag reads true or false; a missing one is false.
func (t table) flag(key string) bool {
	value, given := t.values[key]
	if !given {
		return false
	}
	flag, isFlag := value.(bool)
	if !isFlag {
		t.failValue(key, value, "true or false")
	}
	return flag
}

// texts reads a list of texts; a missing one is empty.
func (t table) texts(key string) []string {
	value, given := t.values[key]
	if !given {
		return nil
	}
	list, isList := value.([]any)
	if !isList {
		t.failValue(key, value, "a list of texts")
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, value := range list {
		text, isText := value.(string)
		if !isText || text == "" {
			t.failValue(key, value, "a list of texts")
		}
		texts = append(texts, text)
	}
	return texts
}

// amount reads a number, whole or with a fraction, from 0 on; a missing one is the default.
func (t table) amount(key string, byDefault float64) float64 {
	value, given := t.values[key]
	if !given {
		return byDefault
	}
	number, isNumber := toNumber(value)
	if !isNumber || !(number >= 0 && number <= maxFigure) {
		t.failValue(key, value, "a number from 0 to 1e9")
	}
	return number
}

// positive is like amount, but 0 is a fault.
func (t table) positive(key string, byDefault float64) float64 {
	value, given := t.values[key]
	if !given {
		return byDefault
	}
	number, isNumber := toNumber(value)
	if !isNumber || !(number > 0 && number <= maxFigure) {
		t.failValue(key, value, "a number above 0, up to 1e9")
	}
	return number
}

// count reads a whole number from 0 on, which may be written as a fraction such as 3.0; a missing one is the default.
func (t table) count(key string, byDefault int) int {
	value, given := t.values[key]
	if !given {
		return byDefault
	}
	number, isNumber := toNumber(value)
	if !isNumber || !isWhole(number) || number < 0 || number > maxFigure {
		t.failValue(key, value, "a whole number from 0 to 1e9")
		return 0
	}
	return int(number)
}

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

// describe shows a value on one line.
func describe(value any) string {
	var shown string
	switch value := value.(type) {
	case string:
		shown = strconv.Quote(value)
	case map[string]any:
		return "a table"
	case []any:
		shown = describeList(value)
	default:
		shown = fmt.Sprint(value)
	}
	if len(shown) > maxShownValue {
		return shown[:maxShownValue] + "..."
	}
	return shown
}

func describeList(list []any) string {
	shown := make([]string, 0, len(list))
	for _, value := range list {
		shown = append(shown, describe(value))
	}
	return "[" + strings.Join(shown, ", ") + "]"
}
