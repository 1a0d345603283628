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

// batches of records as a user would append them.
func batches() [][]Record {
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

func sameRecords(t *testing.T, got, want []Record) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range got {
		assert.Equal(t, got[i].Type, want[i].Type)
		assert.Assert(t, bytes.Equal(got[i].Payload, want[i].Payload))
	}
}

// written makes a folder with a file of the batches, and returns its bytes and where each batch ends.
func written(t *testing.T, all [][]Record) (directory string, data []byte, ends []int) {
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

// folderWith makes a folder with the bytes given as its file.
func folderWith(t *testing.T, data []byte) string {
	t.Helper()
	directory := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(directory, fileName), data, fileMode))
	return directory
}

func TestRecordsComeBack(t *testing.T) {
	directory, _, _ := written(t, batches())
	file, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err)
	defer file.Close()
	sameRecords(t, records, flatten(batches()))
	assert.Equal(t, report.TornKind, DamageKind(""))
	assert.Assert(t, !report.Created)
}

// Power is lost while the last batch is written: at every byte the rest of it is missing, zero, or something else. What was synced
// comes back, the tail is told, and the file takes more.
func TestPowerLostInLastBatch(t *testing.T) {
	_, data, ends := written(t, batches())
	lastStart := ends[len(ends)-2]
	synced := flatten(batches()[:3])
	fillings := map[string]func(rest []byte) []byte{
		"missing": func([]byte) []byte { return nil },
		"zeros":   func(rest []byte) []byte { return make([]byte, len(rest)) },
		"garbage": func(rest []byte) []byte { return bytes.Repeat([]byte{0xA5}, len(rest)) },
	}
	for name, filling := range fillings {
		for cut := lastStart; cut < len(data); cut++ {
			torn := append(bytes.Clone(data[:cut]), filling(data[cut:])...)
			checkTorn(t, fmt.Sprintf("%s from %d", name, cut), torn, lastStart, synced)
		}
	}
}

// Of the last write the middle is missing though its end is there.
func TestHoleInLastBatch(t *testing.T) {
	_, data, ends := written(t, batches())
	lastStart := ends[len(ends)-2]
	synced := flatten(batches()[:3])
	for start := lastStart; start < len(data); start++ {
		for end := start + 1; end <= len(data); end++ {
			torn := bytes.Clone(data)
			clear(torn[start:end])
			if bytes.Equal(torn, data) {
				continue
			}
			checkTorn(t, fmt.Sprintf("zeros from %d to %d", start, end), torn, lastStart, synced)
		}
	}
}

func checkTorn(t *testing.T, name string, torn []byte, lastStart int, synced []Record) {
	t.Helper()
	directory := folderWith(t, torn)
	file, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err, name)
	assert.Assert(t, len(records) >= len(synced), name)
	sameRecords(t, records[:len(synced)], synced)
	whole := len(torn) == lastStart || len(records) == len(synced)+len(batches()[3])
	if len(torn) > int(report.Bytes) {
		assert.Assert(t, report.TornKind != "", name)
		assert.Assert(t, report.TornAt >= int64(lastStart), name)
	} else {
		assert.Assert(t, whole || len(records) > len(synced), name)
	}
	more := Record{Type: 7, Payload: []byte("more")}
	assert.NilError(t, file.Append([]Record{more}))
	assert.NilError(t, file.Close())
	_, again, report, err := Open(directory, Limits{})
	assert.NilError(t, err, name)
	assert.Equal(t, report.TornKind, DamageKind(""))
	sameRecords(t, again, append(records, more))
}

// A changed byte in whatever was synced, with a later batch behind it, makes the store unfit, and the place is told.
func TestDamageIsToldNeverSkipped(t *testing.T) {
	_, data, ends := written(t, batches())
	for place := 0; place < ends[len(ends)-2]; place++ {
		for _, change := range []byte{0x01, 0x80, 0xFF} {
			damaged := bytes.Clone(data)
			damaged[place] ^= change
			directory := folderWith(t, damaged)
			_, err := Verify(directory)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "byte %d: %v", place, err)
			assert.Assert(t, damage.Offset <= int64(place), "byte %d told at %d", place, damage.Offset)
			assert.Assert(t, damage.Kind != "")
			_, _, _, err = Open(directory, Limits{})
			assert.Assert(t, errors.As(err, &damage))
			kept, err := os.ReadFile(filepath.Join(directory, fileName))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(kept, damaged), "an unfit file stays as it is")
		}
	}
}

// A rewritten file was synced whole before it got its name, so no byte of its first batch may be missing or changed.
func TestRewrittenFileIsWhole(t *testing.T) {
	directory, _, _ := written(t, batches())
	file, _, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	whole := []Record{{Type: 6, Payload: []byte("snapshot")}, {Type: 5, Payload: []byte("entry")}}
	assert.NilError(t, file.Rewrite(whole))
	assert.NilError(t, file.Close())
	data, err := os.ReadFile(filepath.Join(directory, fileName))
	assert.NilError(t, err)
	var damage *DamageError
	for cut := headerSize; cut < len(data); cut++ {
		_, err := Verify(folderWith(t, data[:cut]))
		assert.Assert(t, errors.As(err, &damage), "cut at %d", cut)
		damaged := bytes.Clone(data)
		damaged[cut] ^= 0x10
		_, err = Verify(folderWith(t, damaged))
		assert.Assert(t, errors.As(err, &damage), "changed at %d", cut)
	}
}

// Power is lost in a rewrite: before the rename the old file counts, whatever is left of the new one; afterwards the new one does.
func TestPowerLostInRewrite(t *testing.T) {
	directory, before, _ := written(t, batches())
	file, _, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	whole := []Record{{Type: 6, Payload: []byte("snapshot of all that")}}
	assert.NilError(t, file.Rewrite(whole))
	assert.NilError(t, file.Append([]Record{{Type: 5, Payload: []byte("later")}}))
	assert.NilError(t, file.Close())
	after, err := os.ReadFile(filepath.Join(directory, fileName))
	assert.NilError(t, err)
	for cut := range len(after) + 1 {
		leftover := folderWith(t, before)
		assert.NilError(t, os.WriteFile(filepath.Join(leftover, rewriteName), after[:cut], fileMode))
		_, records, _, err := Open(leftover, Limits{})
		assert.NilError(t, err)
		sameRecords(t, records, flatten(batches()))
	}
	_, records, _, err := Open(directory, Limits{})
	assert.NilError(t, err)
	sameRecords(t, records, []Record{whole[0], {Type: 5, Payload: []byte("later")}})
}

// Power is lost while a file is made: at every byte of its header the store begins empty.
func TestPowerLostInCreation(t *testing.T) {
	for cut := range headerSize {
		file, records, report, err := Open(folderWith(t, []byte(appendedHeader[:cut])), Limits{})
		assert.NilError(t, err)
		assert.Equal(t, len(records), 0)
		assert.Assert(t, report.Created)
		assert.NilError(t, file.Append([]Record{{Type: 1}}))
		assert.NilError(t, file.Close())
	}
}

// An error of the disk is final for the file: only a rewrite ends it.
func TestErrorsAreFinal(t *testing.T) {
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
	directory, _, _ := written(t, batches())
	assert.NilError(t, Discard(directory))
	assert.NilError(t, Discard(directory))
	_, records, report, err := Open(directory, Limits{})
	assert.NilError(t, err)
	assert.Assert(t, report.Created)
	assert.Equal(t, len(records), 0)
}
