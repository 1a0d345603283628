package logfile

import (
	"encoding/binary"
	"hash/crc32"
)

// RecordType tells the user of a file what a payload holds. Zero is no type.
type RecordType uint8

// Record is one stored item.
type Record struct {
	Type    RecordType
	Payload []byte
}

const (
	appendedHeader   = "wfstore1" // of a file that began empty
	rewrittenHeader  = "wfstore2" // of a file whose first batch was synced before the file got its name
	headerSize       = len(appendedHeader)
	recordHeaderSize = 4 + 4 + 4 + 1 + 1 // length, checksum, batch, flags, type
	flagLast         = 1                 // the record ends its batch
	checksumFrom     = 8                 // the checksum covers all that follows it
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordSize is the number of bytes that a record takes in a file.
func recordSize(record Record) int64 {
	return recordHeaderSize + int64(len(record.Payload))
}

// batchSize is the number of bytes that records take in a file.
func batchSize(records []Record) int64 {
	size := int64(0)
	for _, record := range records {
		size += recordSize(record)
	}
	return size
}

// appendBatch encodes records as one batch.
func appendBatch(buffer []byte, batch uint32, records []Record) []byte {
	for i, record := range records {
		flags := byte(0)
		if i == len(records)-1 {
			flags = flagLast
		}
		buffer = appendRecord(buffer, batch, flags, record)
	}
	return buffer
}

func appendRecord(buffer []byte, batch uint32, flags byte, record Record) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(record.Payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint32(buffer, batch)
	buffer = append(buffer, flags, byte(record.Type))
	buffer = append(buffer, record.Payload...)
	checksum := recordChecksum(buffer[start:])
	binary.LittleEndian.PutUint32(buffer[start+4:], checksum)
	return buffer
}

// recordChecksum covers the length as well, by starting from it.
func recordChecksum(encoded []byte) uint32 {
	checksum := crc32.Checksum(encoded[:4], castagnoli)
	return crc32.Update(checksum, castagnoli, encoded[checksumFrom:])
}

// decoded is a record with its place in the order of batches.
type decoded struct {
	record Record
	batch  uint32
	last   bool
	size   int
}

// decodeRecord reads the record at the start of data. The kind is empty when it is whole.
func decodeRecord(data []byte) (decoded, DamageKind) {
	if len(data) < recordHeaderSize {
		return decoded{}, DamageShort
	}
	length := int64(binary.LittleEndian.Uint32(data))
	if data[checksumFrom+5] == 0 {
		return decoded{}, DamageLength
	}
	if recordHeaderSize+length > int64(len(data)) {
		return decoded{}, DamageShort
	}
	size := recordHeaderSize + int(length)
	if recordChecksum(data[:size]) != binary.LittleEndian.Uint32(data[4:]) {
		return decoded{}, DamageChecksum
	}
	return decoded{
		record: Record{Type: RecordType(data[checksumFrom+5]), Payload: data[recordHeaderSize:size:size]},
		batch:  binary.LittleEndian.Uint32(data[checksumFrom:]),
		last:   data[checksumFrom+4]&flagLast != 0,
		size:   size,
	}, ""
}
