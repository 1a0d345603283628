package settings

import "fmt"

// KeyError is returned for a key of a settings file that is missing or has an invalid value.
type KeyError struct {
	File  string
	Key   string // path of the key, such as bounds.contactMs
	Found string // description of the value, or "nothing" if the key is missing
	Want  string // description of a valid value
}

// Error returns all fields on one line.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %s: found %s, want %s", e.File, e.Key, e.Found, e.Want)
}

// FileError is returned for a settings file that cannot be read or is not valid TOML.
type FileError struct {
	File   string
	Reason string
}

// Error returns all fields on one line.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %s", e.File, e.Reason)
}
