package logfile

import "encoding/binary"

// maxBatchGap bounds how far the number of a batch behind damaged data may be ahead. It rules out records that match by chance.
const maxBatchGap = 1 << 24

// scan is the result of scanFile.
type scan struct {
	records   []Record
	end       int64      // offset behind the last valid record
	nextBatch uint32     // number of the batch to write next
	damage    DamageKind // what is wrong behind end; empty: nothing
	corrupt   bool       // a batch that had been synced is damaged, so it is not a torn tail
}

// scanFile decodes the content of a file up to the first damaged record.
func scanFile(data []byte) scan {
	if len(data) < headerSize {
		return scan{damage: DamageHeader}
	}
	header := string(data[:headerSize])
	if header != appendedHeader && header != rewrittenHeader {
		return scan{damage: DamageHeader, corrupt: containsRecordSince(data, 1)}
	}
	result := scan{end: int64(headerSize), nextBatch: 1}
	for rest := data[result.end:]; len(rest) > 0; rest = data[result.end:] {
		found, damage := decodeRecord(rest)
		if damage == "" && found.batch != result.nextBatch {
			damage = DamageOrder
		}
		if damage != "" {
			result.damage = damage
			mustBeComplete := header == rewrittenHeader && result.nextBatch == 1
			result.corrupt = mustBeComplete || containsRecordSince(rest, result.nextBatch+1)
			return result
		}
		result.records = append(result.records, found.record)
		result.end += int64(found.size)
		if found.lastInBatch {
			result.nextBatch++
		}
	}
	if header == rewrittenHeader && result.nextBatch == 1 {
		result.damage, result.corrupt = DamageShort, true
	}
	return result
}

// containsRecordSince reports whether a valid record of the given batch or a later one starts anywhere in data.
func containsRecordSince(data []byte, batch uint32) bool {
	for start := 0; start+recordHeaderSize <= len(data); start++ {
		number := binary.LittleEndian.Uint32(data[start+checksumStart:])
		if number < batch || number-batch > maxBatchGap {
			continue
		}
		if _, damage := decodeRecord(data[start:]); damage == "" {
			return true
		}
	}
	return false
}
