// Package durable is what list servers keep on disk: raft's log, its stable values and its snapshots, in one pebble
// database over a file layer that tests can break. A value is read back as it was written, in its own place, or it is an
// error: each carries a checksum over its key and itself, so that an old block and a block of another value are found too.
package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// ErrDamaged tells that what was read is not what was written there.
var ErrDamaged = errors.New("damaged")

// ErrFailed tells that the disk failed a write before: what it holds since then is not known, and nothing more is
// written or read by this process.
var ErrFailed = errors.New("the disk failed a write")

const (
	frameVersion = 1
	frameHead    = 1 + 4 // version, checksum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame puts a value into the form in which it lies under key.
func frame(key, value []byte) []byte {
	out := make([]byte, frameHead+len(value))
	out[0] = frameVersion
	copy(out[frameHead:], value)
	binary.BigEndian.PutUint32(out[1:], sum(key, value))
	return out
}

// unframe checks what lies under key, and returns the value: a part of raw.
func unframe(key, raw []byte) ([]byte, error) {
	switch {
	case len(raw) < frameHead:
		return nil, fmt.Errorf("%w: key %x: %d bytes", ErrDamaged, key, len(raw))
	case raw[0] != frameVersion:
		return nil, fmt.Errorf("key %x: format %d, this build reads %d", key, raw[0], frameVersion)
	case binary.BigEndian.Uint32(raw[1:]) != sum(key, raw[frameHead:]):
		return nil, fmt.Errorf("%w: key %x: the checksum is another", ErrDamaged, key)
	}
	return raw[frameHead:], nil
}

func sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}
