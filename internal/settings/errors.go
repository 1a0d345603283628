package settings

import "fmt"

// KeyError says which key of a settings file can't be used.
type KeyError struct {
	File  string
	Key   string // such as bounds.contactMs
	Found string // what stands there; "nothing" where the key is missing
	Want  string
}

// Error puts all of it on one line.
func (e *KeyError) Error() string {
	return fmt.Sprintf("%s: %s: found %s, want %s", e.File, e.Key, e.Found, e.Want)
}

// FileError says that a settings file can't be read at all.
type FileError struct {
	File   string
	Reason string
}

// Error puts it on one line.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s: %s", e.File, e.Reason)
}
