package config

import "fmt"

// InvalidError says why a document or a patch is invalid.
type InvalidError struct {
	Path   string // location as a JSON pointer; empty for the whole document
	Value  string // value found there, shortened; empty if it is not shown
	Reason string // what is wrong with it
}

// maxShownValue is the maximum length, in bytes, of a value in an error message.
const maxShownValue = 60

// Error returns path, value and reason on one line.
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
