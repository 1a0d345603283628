package chain

import (
	"fmt"

	"wallflow/internal/logfile"
)

// RecoveryError reports stored records that cannot be the valid history of a node. The store is unusable, and the
// process has to rejoin with an empty one.
type RecoveryError struct {
	Index  int // of the record
	Reason string
	Cause  error
}

// Error returns the index of the record and the reason.
func (e *RecoveryError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("chain: stored record %d: %s: %v", e.Index, e.Reason, e.Cause)
	}
	return fmt.Sprintf("chain: stored record %d: %s", e.Index, e.Reason)
}

// Unwrap returns the cause, if there is one.
func (e *RecoveryError) Unwrap() error { return e.Cause }

// OptionsError reports a missing or invalid option.
type OptionsError struct{ Field string }

// Error returns the message with the name of the field.
func (e *OptionsError) Error() string { return "chain: options: missing or invalid " + e.Field }

// unknownRecordError reports a record type that this version does not know.
type unknownRecordError struct{ kind logfile.RecordType }

func (e *unknownRecordError) Error() string {
	return fmt.Sprintf("unknown record type %d", e.kind)
}

// entryOrderError reports an entry that does not follow the log or would replace a committed entry.
type entryOrderError struct{ position, last, committed uint64 }

func (e *entryOrderError) Error() string {
	return fmt.Sprintf("entry %d does not follow the log, which ends at %d and is committed up to %d", e.position, e.last, e.committed)
}
