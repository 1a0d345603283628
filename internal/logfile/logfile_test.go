package logfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// testBatches returns batches of records of several types and sizes.
func testBatches() [][]Record {
	return [][]Record{
		{{Type: 1, Payload: []byte("identity")}},
		{{Type: 2, Payload: []byte("promise")}, {Type: 5, Payload: nil}, {Type: 5, Payload: bytes.Repeat([]byte{0}, 40)}},
		{{Type: 5, Payload: bytes.Repeat([]byte("entry "), 20)}},
		{{Type: 3, Payload: []byte("last one")}, {Type: 5, Payload: []byte("and its second record")}},
	}
}

func flatten(all [][]Record) []Record {
	var records []Record
	for _, batch := range all {
		records = append(records, batch...)
	}
	return records
}

func assertSameRecords(t *testing.T, got, want []Record) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range got {
		assert.Equal(t, got[i].Type, want[i].Type)
		assert.Assert(t, bytes.Equal(got[i].Payload, want[i].Payload))
	}
}

// writeTestFile writes the batches to a file and returns its directory, its content and the offset of the end of each batch.
func writeTestFile(t *testing.T, all [][]Record) (directory string, data []byte, ends []int) {
	t.Helper()
	directory = t.TempDir()
	file, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	assert.Assert(t, report.Created)
	for _, batch := range all {
		assert.NilError(t, file.Append(batch))
		ends = append(ends, int(file.Size()))
	}
	assert.NilError(t, file.Close())
	data, err = os.ReadFile(filepath.Join(directory, fileName))
	assert.NilError(t, err)
	assert.Equal(t, len(data), ends[len(ends)-1])
	return directory, data, ends
}

// directoryWith returns a directory in which the file has this content.
func directoryWith(t *testing.T, data []byte) string {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(directory, fileName), data, fileMode))
	return directory
}

func TestRecordsAreReadBack(t *testing.T) {
	directory, _, _ := writeTestFile(t, testBatches())
	file, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err)
	defer file.Close()
	assertSameRecords(t, records, flatten(testBatches()))
	assert.Equal(t, report.TornKind, DamageKind(""))
	assert.Assert(t, !report.Created)
}

// Power is lost while the last batch is written. From every offset on, the rest is missing, zeros or garbage. The synced batches
// are recovered, the torn tail is reported, and the file accepts more records.
func TestPowerLostInLastBatch(t *testing.T) {
	_, data, ends := writeTestFile(t, testBatches())
	lastStart := ends[len(ends)-2]
	synced := flatten(testBatches()[:3])
	fillers := map[string]func(rest []byte) []byte{
		"missing": func([]byte) []byte { return nil },
		"zeros":   func(rest []byte) []byte { return make([]byte, len(rest)) },
		"garbage": func(rest []byte) []byte { return bytes.Repeat([]byte{0xA5}, len(rest)) },
	}
	for name, filler := range fillers {
		for cut := lastStart; cut < len(data); cut++ {
			torn := append(bytes.Clone(data[:cut]), filler(data[cut:])...)
			checkTornFile(t, fmt.Sprintf("%s from %d", name, cut), torn, lastStart, synced)
		}
	}
}

// Power is lost during the last write, and a part in its middle is missing although its end was written.
func TestHoleInLastBatch(t *testing.T) {
	_, data, ends := writeTestFile(t, testBatches())
	lastStart := ends[len(ends)-2]
	synced := flatten(testBatches()[:3])
	for start := lastStart; start < len(data); start++ {
		for end := start + 1; end <= len(data); end++ {
			torn := bytes.Clone(data)
			clear(torn[start:end])
			if bytes.Equal(torn, data) {
				continue
			}
			checkTornFile(t, fmt.Sprintf("zeros from %d to %d", start, end), torn, lastStart, synced)
		}
	}
}

// checkTornFile opens a file with a torn last batch, checks the recovered records and the report, and appends a record.
func checkTornFile(t *testing.T, name string, torn []byte, lastStart int, synced []Record) {
	t.Helper()
	directory := directoryWith(t, torn)
	file, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err, name)
	assert.Assert(t, len(records) >= len(synced), name)
	assertSameRecords(t, records[:len(synced)], synced)
	complete := len(torn) == lastStart || len(records) == len(synced)+len(testBatches()[3])
	if len(torn) > int(report.Bytes) {
		assert.Assert(t, report.TornKind != "", name)
		assert.Assert(t, report.TornAt >= int64(lastStart), name)
	} else {
		assert.Assert(t, complete || len(records) > len(synced), name)
	}
	more := Record{Type: 7, Payload: []byte("more")}
	assert.NilError(t, file.Append([]Record{more}))
	assert.NilError(t, file.Close())
	_, again, report, err := Open(directory, Limits{})
	assert.NilError(t, err, name)
	assert.Equal(t, report.TornKind, DamageKind(""))
	assertSameRecords(t, again, append(records, more))
}

// A changed byte in a synced batch that is followed by another one is returned as a DamageError with its offset, and the file is
// left unchanged.
func TestDamageIsReported(t *testing.T) {
	_, data, ends := writeTestFile(t, testBatches())
	for offset := 0; offset < ends[len(ends)-2]; offset++ {
		for _, mask := range []byte{0x01, 0x80, 0xFF} {
			damaged := bytes.Clone(data)
			damaged[offset] ^= mask
			directory := directoryWith(t, damaged)
			_, err := Verify(directory)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "byte %d: %v", offset, err)
			assert.Assert(t, damage.Offset <= int64(offset), "damage at byte %d reported at %d", offset, damage.Offset)
			assert.Assert(t, damage.Kind != "")
			_, _, _, err = Open(directory, Limits{})
			assert.Assert(t, errors.As(err, &damage))
			kept, err := os.ReadFile(filepath.Join(directory, fileName))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(kept, damaged), "a damaged file must not be changed")
		}
	}
}

// A rewritten file was synced before it got its name, so a missing or changed byte in its first batch is damage and not a torn
// tail.
func TestRewrittenFileMustBeComplete(t *testing.T) {
	directory, _, _ := writeTestFile(t, testBatches())
	file, _, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	rewritten := []Record{{Type: 6, Payload: []byte("snapshot")}, {Type: 5, Payload: []byte("entry")}}
	assert.NilError(t, file.Rewrite(rewritten))
	assert.NilError(t, file.Close())
	data, err := os.ReadFile(filepath.Join(directory, fileName))
	assert.NilError(t, err)
	var damage *DamageError
	for cut := headerSize; cut < len(data); cut++ {
		_, err := Verify(directoryWith(t, data[:cut]))
		assert.Assert(t, errors.As(err, &damage), "cut at %d", cut)
		damaged := bytes.Clone(data)
		damaged[cut] ^= 0x10
		_, err = Verify(directoryWith(t, damaged))
		assert.Assert(t, errors.As(err, &damage), "changed at %d", cut)
	}
}

// Power is lost during a rewrite. Before the rename the old file is used, whatever part of the new one exists; afterwards the new
// one is used.
func TestPowerLostInRewrite(t *testing.T) {
	directory, before, _ := writeTestFile(t, testBatches())
	file, _, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	rewritten := []Record{{Type: 6, Payload: []byte("snapshot of all that")}}
	assert.NilError(t, file.Rewrite(rewritten))
	assert.NilError(t, file.Append([]Record{{Type: 5, Payload: []byte("later")}}))
	assert.NilError(t, file.Close())
	after, err := os.ReadFile(filepath.Join(directory, fileName))
	assert.NilError(t, err)
	for cut := range len(after) + 1 {
		leftover := directoryWith(t, before)
		assert.NilError(t, os.WriteFile(filepath.Join(leftover, rewriteFileName), after[:cut], fileMode))
		_, records, _, err := Open(leftover, Limits{})
		assert.NilError(t, err)
		assertSameRecords(t, records, flatten(testBatches()))
	}
	_, records, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assertSameRecords(t, records, []Record{rewritten[0], {Type: 5, Payload: []byte("later")}})
}

// Power is lost while a file is created, after any number of header bytes. The file is created again.
func TestPowerLostInCreation(t *testing.T) {
	for cut := range headerSize {
		file, records, report, err := Open(directoryWith(t, []byte(appendedHeader[:cut])), Limits{})
		assert.NilError(t, err)
		assert.Equal(t, len(records), 0)
		assert.Assert(t, report.Created)
		assert.NilError(t, file.Append([]Record{{Type: 1}}))
		assert.NilError(t, file.Close())
	}
}

// After a disk error the file accepts no records until it is rewritten.
func TestFileRefusesAppendsAfterError(t *testing.T) {
	directory := t.TempDir()
	file, _, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assert.NilError(t, file.file.Close())
	record := []Record{{Type: 1, Payload: []byte("x")}}
	assert.Assert(t, file.Append(record) != nil)
	assert.ErrorIs(t, file.Append(record), ErrFailed)
	assert.NilError(t, file.Rewrite(record))
	assert.NilError(t, file.Append(record))
	assert.NilError(t, file.Close())
	_, records, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assert.Equal(t, len(records), 2)
}

func TestLimits(t *testing.T) {
	file, _, _, err := Open(t.TempDir(), Limits{MaximumBytes: 100})
	assert.NilError(t, err)
	defer file.Close()
	large := []Record{{Type: 1, Payload: make([]byte, 90)}}
	assert.ErrorIs(t, file.Append(large), ErrFull)
	assert.ErrorIs(t, file.Rewrite(large), ErrFull)
	assert.NilError(t, file.Append([]Record{{Type: 1, Payload: make([]byte, 10)}}))
}

func TestDiscard(t *testing.T) {
	directory, _, _ := writeTestFile(t, testBatches())
	assert.NilError(t, Discard(directory))
	assert.NilError(t, Discard(directory))
	_, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assert.Assert(t, report.Created)
	assert.Equal(t, len(records), 0)
}
