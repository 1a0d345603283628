package chain

import (
	"fmt"

	"wallflow/internal/logfile"
)

// RecoverError tells that stored records cannot be a node's own. The store is unfit; the process has to rejoin empty.
type RecoverError struct {
	Index  int // of the record
	Reason string
	Cause  error
}

// Error describes the record.
func (e *RecoverError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("chain: stored record %d: %s: %v", e.Index, e.Reason, e.Cause)
	}
	return fmt.Sprintf("chain: stored record %d: %s", e.Index, e.Reason)
}

// Unwrap returns the cause, if there is one.
func (e *RecoverError) Unwrap() error { return e.Cause }

// OptionsError tells that a node cannot be made with the options given.
type OptionsError struct{ Field string }

// Error names the field.
func (e *OptionsError) Error() string { return "chain: options: missing or invalid " + e.Field }

// unknownRecordError tells of a record type that this version does not know.
type unknownRecordError struct{ kind logfile.RecordType }

func (e *unknownRecordError) Error() string {
	return fmt.Sprintf("record type %d is not known", e.kind)
}

// entryOrderError tells of an entry that does not follow the log, or would replace a committed one.
type entryOrderError struct{ position, last, committed uint64 }

func (e *entryOrderError) Error() string {
	return fmt.Sprintf("entry %d does not follow a log of %d entries, %d of them committed", e.position, e.last, e.committed)
}
