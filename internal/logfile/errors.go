package logfile

import (
	"errors"
	"fmt"
)

// ErrFailed tells that an earlier write or sync of the file failed. Such an error is final for the file: only a Rewrite, which
// makes a new one, ends it.
var ErrFailed = errors.New("logfile: the file failed earlier")

// ErrFull tells that the records do not fit within the limits. The file is unharmed.
var ErrFull = errors.New("logfile: no room within the limits")

// DamageKind says what is wrong with a place in a file.
type DamageKind string

// The kinds of damage.
const (
	DamageHeader   DamageKind = "file header"
	DamageLength   DamageKind = "record length"
	DamageChecksum DamageKind = "record checksum"
	DamageOrder    DamageKind = "record order"
	DamageShort    DamageKind = "record cut short"
)

// DamageError tells that a store is unfit: something that was synced is no longer readable.
type DamageError struct {
	Path   string
	Offset int64
	Kind   DamageKind
}

// Error names the place and kind of the damage.
func (e *DamageError) Error() string {
	return fmt.Sprintf("logfile: %s is damaged at byte %d: %s", e.Path, e.Offset, e.Kind)
}
