package logfile

import "encoding/binary"

// maximumBatchStep bounds how far batch numbers behind a damaged place are believed, which keeps chance matches out.
const maximumBatchStep = 1 << 24

// scan is what the bytes of a file hold.
type scan struct {
	records []Record
	end     int64  // behind the last whole record
	batch   uint32 // the batch that is next to be written
	kind    DamageKind
	unfit   bool // a batch that was synced is damaged
}

// scanFile reads the bytes of a whole file.
func scanFile(data []byte) scan {
	if len(data) < headerSize {
		return scan{kind: DamageHeader}
	}
	header := string(data[:headerSize])
	if header != appendedHeader && header != rewrittenHeader {
		return scan{kind: DamageHeader, unfit: holdsRecordFrom(data, 1)}
	}
	result := scan{end: int64(headerSize), batch: 1}
	for rest := data[result.end:]; len(rest) > 0; rest = data[result.end:] {
		found, kind := decodeRecord(rest)
		if kind == "" && found.batch != result.batch {
			kind = DamageOrder
		}
		if kind != "" {
			result.kind = kind
			syncedWhole := header == rewrittenHeader && result.batch == 1
			result.unfit = syncedWhole || holdsRecordFrom(rest, result.batch+1)
			return result
		}
		result.records = append(result.records, found.record)
		result.end += int64(found.size)
		if found.last {
			result.batch++
		}
	}
	if header == rewrittenHeader && result.batch == 1 {
		result.kind, result.unfit = DamageShort, true
	}
	return result
}

// holdsRecordFrom tells whether a whole record of the given batch or a later one is anywhere in data.
func holdsRecordFrom(data []byte, batch uint32) bool {
	for start := 0; start+recordHeaderSize <= len(data); start++ {
		number := binary.LittleEndian.Uint32(data[start+checksumFrom:])
		if number < batch || number-batch > maximumBatchStep {
			continue
		}
		if _, kind := decodeRecord(data[start:]); kind == "" {
			return true
		}
	}
	return false
}
