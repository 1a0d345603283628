package config

import "fmt"

// InvalidError says why a document, a change or an order can't be taken.
type InvalidError struct {
	Path   string // where, as a JSON pointer; empty: the whole
	Value  string // what was found there, shortened; empty: nothing worth showing
	Reason string // what is wrong
}

// maxShownValue bounds the part of a value that an error shows.
const maxShownValue = 60

// Error puts place, value and reason on one line.
func (e *InvalidError) Error() string {
	place := e.Path
	if place == "" {
		place = "configuration"
	}
	if e.Value == "" {
		return fmt.Sprintf("%s: %s", place, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", place, e.Value, e.Reason)
}

func invalid(path, value, reason string) *InvalidError {
	return &InvalidError{Path: path, Value: shorten(value), Reason: reason}
}

func shorten(value string) string {
	if len(value) <= maxShownValue {
		return value
	}
	return value[:maxShownValue] + "..."
}
