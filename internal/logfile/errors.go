package logfile

import (
	"errors"
	"fmt"
)

// ErrFailed is returned after an earlier write or sync of the file failed. The file accepts no more records until a Rewrite
// replaces it.
var ErrFailed = errors.New("logfile: an earlier write or sync of the file failed")

// ErrFull is returned when records do not fit within the limits. The file is unchanged.
var ErrFull = errors.New("logfile: the records exceed the size limit")

// DamageKind describes what is wrong at an offset of a file.
type DamageKind string

// The kinds of damage.
const (
	DamageHeader   DamageKind = "file header"
	DamageLength   DamageKind = "record length"
	DamageChecksum DamageKind = "record checksum"
	DamageOrder    DamageKind = "record order"
	DamageShort    DamageKind = "record cut short"
)

// DamageError is returned when data that had been synced is no longer readable. The file must not be used then.
type DamageError struct {
	Path   string
	Offset int64
	Kind   DamageKind
}

// Error returns the file, offset and kind of the damage.
func (e *DamageError) Error() string {
	return fmt.Sprintf("logfile: %s is damaged at byte %d: %s", e.Path, e.Offset, e.Kind)
}
