// Package logfile stores checksummed records in an append-only file.
//
// A record consists of length, CRC32C, batch number, flags, type and payload. The records of one Append form a batch, which is
// written and synced before the next batch is written. A power loss can therefore damage only the last batch: such a torn tail
// is cut off and reported. Damage that is followed by a later batch is returned as a DamageError and never skipped.
package logfile
