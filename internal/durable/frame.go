// Package durable stores raft's log, its stable values and its snapshots in one pebble database, on a file system that tests
// can make fail. Each value carries a checksum over its key and its content, so that reading detects both corruption and
// a value that belongs to another key, and returns an error instead.
package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrDamaged reports that stored data is not what was written.
var ErrDamaged = errors.New("damaged")

// ErrFailed reports that an earlier write to the disk failed. The content of the disk is unknown from then on, so this
// process no longer reads or writes the store.
var ErrFailed = errors.New("the disk failed a write")

const (
	frameVersion    = 1
	frameHeaderSize = 1 + 4 // format version and CRC-32C, in bytes
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// frame encodes a value for storage under key.
func frame(key, value []byte) []byte {
	framed := make([]byte, frameHeaderSize+len(value))
	framed[0] = frameVersion
	copy(framed[frameHeaderSize:], value)
	binary.BigEndian.PutUint32(framed[1:], checksum(key, value))
	return framed
}

// unframe verifies the stored bytes of key and returns the value, which is a subslice of raw.
func unframe(key, raw []byte) ([]byte, error) {
	switch {
	case len(raw) < frameHeaderSize:
		return nil, fmt.Errorf("%w: key %x: %d bytes", ErrDamaged, key, len(raw))
	case raw[0] != frameVersion:
		return nil, fmt.Errorf("key %x: format %d, this build reads %d", key, raw[0], frameVersion)
	case binary.BigEndian.Uint32(raw[1:]) != checksum(key, raw[frameHeaderSize:]):
		return nil, fmt.Errorf("%w: key %x: the checksum is another", ErrDamaged, key)
	}
	return raw[frameHeaderSize:], nil
}

// checksum returns the CRC-32C of a key followed by its value.
func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoliTable), castagnoliTable, value)
}
