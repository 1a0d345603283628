// Package logfile keeps checksummed records in one append-only file of a folder.
//
// Every record is length, CRC32C, batch number, flags, type and payload. The records of one Append form a batch, which is
// written and synced once; the next batch is not written before. A loss of power can therefore harm the last batch alone:
// such a torn tail is cut and reported. Damage with a later batch behind it is told as a DamageError, never skipped over.
package logfile
