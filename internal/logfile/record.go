package logfile

import (
	"encoding/binary"
	"hash/crc32"
)

// RecordType identifies the content of a payload. The values are up to the user of the file; zero is invalid.
type RecordType uint8

// Record is a stored record.
type Record struct {
	Type    RecordType
	Payload []byte
}

const (
	appendedHeader   = "wfstore1" // of a file that was created empty
	rewrittenHeader  = "wfstore2" // of a file made by Rewrite: its first batch was synced before the file got its name
	headerSize       = len(appendedHeader)
	recordHeaderSize = 4 + 4 + 4 + 1 + 1 // bytes: length, checksum, batch, flags, type
	flagLastInBatch  = 1                 // flag of the last record of a batch
	checksumStart    = 8                 // offset in a record from which the checksum covers all bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordSize returns the size of a record in a file, in bytes.
func recordSize(record Record) int64 {
	return recordHeaderSize + int64(len(record.Payload))
}

// batchSize returns the size of records in a file, in bytes.
func batchSize(records []Record) int64 {
	size := int64(0)
	for _, record := range records {
		size += recordSize(record)
	}
	return size
}

// appendBatch appends the records to buffer, encoded as one batch.
func appendBatch(buffer []byte, batch uint32, records []Record) []byte {
	for i, record := range records {
		flags := byte(0)
		if i == len(records)-1 {
			flags = flagLastInBatch
		}
		buffer = appendRecord(buffer, batch, flags, record)
	}
	return buffer
}

// appendRecord appends one encoded record to buffer.
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

// recordChecksum computes the checksum of an encoded record over its length field and all that follows the checksum field.
func recordChecksum(encoded []byte) uint32 {
	checksum := crc32.Checksum(encoded[:4], castagnoli)
	return crc32.Update(checksum, castagnoli, encoded[checksumStart:])
}

// decodedRecord is a record with its batch number, batch end flag and size.
type decodedRecord struct {
	record      Record
	batch       uint32
	lastInBatch bool
	size        int // bytes in the file
}

// decodeRecord decodes the record at the start of data. The DamageKind is empty if the record is valid.
func decodeRecord(data []byte) (decodedRecord, DamageKind) {
	if len(data) < recordHeaderSize {
		return decodedRecord{}, DamageShort
	}
	length := int64(binary.LittleEndian.Uint32(data))
	if data[checksumStart+5] == 0 {
		return decodedRecord{}, DamageLength
	}
	if recordHeaderSize+length > int64(len(data)) {
		return decodedRecord{}, DamageShort
	}
	size := recordHeaderSize + int(length)
	if recordChecksum(data[:size]) != binary.LittleEndian.Uint32(data[4:]) {
		return decodedRecord{}, DamageChecksum
	}
	return decodedRecord{
		record:      Record{Type: RecordType(data[checksumStart+5]), Payload: data[recordHeaderSize:size:size]},
		batch:       binary.LittleEndian.Uint32(data[checksumStart:]),
		lastInBatch: data[checksumStart+4]&flagLastInBatch != 0,
		size:        size,
	}, ""
}
