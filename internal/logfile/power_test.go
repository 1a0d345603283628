package logfile_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/logfile"
	"wallflow/internal/testkit/simdisk"
)

const powerDirectory = "/data"

// operation is one call on a file: an Append or a Rewrite of records.
type operation struct {
	rewrite bool
	records []logfile.Record
}

func record(text string) logfile.Record { return logfile.Record{Type: 5, Payload: []byte(text)} }

// powerOperations returns appends of several sizes before, between and after rewrites.
func powerOperations() []operation {
	return []operation{
		{records: []logfile.Record{record("identity")}},
		{records: []logfile.Record{record("a"), record("b"), record("")}},
		{records: []logfile.Record{record("a longer entry, of several words")}},
		{rewrite: true, records: []logfile.Record{record("snapshot of identity, a, b"), record("kept")}},
		{records: []logfile.Record{record("c")}},
		{records: []logfile.Record{record("d"), record("e")}},
		{rewrite: true, records: []logfile.Record{record("snapshot of all")}},
		{rewrite: true, records: []logfile.Record{record("snapshot of all, again")}},
		{records: []logfile.Record{record("f")}},
	}
}

// apply returns the content of the file after the operation, given the content before it.
func (o operation) apply(records []logfile.Record) []logfile.Record {
	if o.rewrite {
		return o.records
	}
	return append(slices.Clone(records), o.records...)
}

// texts returns the payloads of records as strings.
func texts(records []logfile.Record) []string {
	var all []string
	for _, each := range records {
		all = append(all, string(each.Payload))
	}
	return all
}

// run opens the file and carries out operations until one fails. It returns the acknowledged records, the records that the file
// holds if the failed operation took effect, and the number of acknowledged operations.
func run(disk *simdisk.Disk, stored []logfile.Record, operations []operation) (acknowledged, attempted []logfile.Record, doneCount int) {
	file, _, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
	if err != nil {
		return stored, stored, 0
	}
	for _, step := range operations {
		next := step.apply(stored)
		call := file.Append
		if step.rewrite {
			call = file.Rewrite
		}
		if err := call(step.records); err != nil {
			return stored, next, doneCount
		}
		stored = next
		doneCount++
	}
	return stored, stored, doneCount
}

// checkRecovered returns an error unless the recovered records are the acknowledged ones, possibly followed by the first records of
// the attempted operation, or are the result of an attempted rewrite.
func checkRecovered(found, acknowledged, attempted []logfile.Record) error {
	foundTexts := texts(found)
	if slices.Equal(foundTexts, texts(acknowledged)) || slices.Equal(foundTexts, texts(attempted)) {
		return nil
	}
	attemptedTexts := texts(attempted)
	extends := len(attemptedTexts) >= len(acknowledged) && slices.Equal(attemptedTexts[:len(acknowledged)], texts(acknowledged))
	if extends && len(foundTexts) >= len(acknowledged) && len(foundTexts) <= len(attemptedTexts) && slices.Equal(foundTexts, attemptedTexts[:len(foundTexts)]) {
		return nil
	}
	return fmt.Errorf("found %q, acknowledged %q, attempted %q", foundTexts, texts(acknowledged), attemptedTexts)
}

// countDiskOperations returns the number of disk operations of a run without failures.
func countDiskOperations(t *testing.T) int {
	disk := simdisk.New()
	_, _, done := run(disk, nil, powerOperations())
	assert.Equal(t, done, len(powerOperations()))
	return disk.Operations()
}

// Power is lost after each disk operation, and a second time after each of the first operations that follow. Acknowledged records
// are never lost, and the file is never reported as damaged.
func TestPowerLostAtEachOperation(t *testing.T) {
	const seedCount, secondLossSeedCount = 24, 2
	operations := countDiskOperations(t)
	for first := range operations + 1 {
		for seed := range int64(seedCount) {
			random := rand.New(rand.NewSource(seed))
			disk := simdisk.New()
			disk.StopAfter(first)
			acknowledged, attempted, done := run(disk, nil, powerOperations())
			disk.LosePower(random)
			name := fmt.Sprintf("after %d operations, seed %d", first, seed)
			file, found, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
			assert.NilError(t, err, name)
			assert.NilError(t, checkRecovered(found, acknowledged, attempted), name)
			assert.NilError(t, file.Close())
			if seed >= secondLossSeedCount {
				continue
			}
			remaining := powerOperations()[done:]
			for second := range 12 {
				checkSecondLoss(t, fmt.Sprintf("%s, then after %d", name, second), first, seed, second, remaining)
			}
		}
	}
}

// checkSecondLoss repeats the first power loss, continues with the remaining operations and loses power again.
func checkSecondLoss(t *testing.T, name string, first int, seed int64, second int, remaining []operation) {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	disk := simdisk.New()
	disk.StopAfter(first)
	run(disk, nil, powerOperations())
	disk.LosePower(random)
	_, recovered, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
	assert.NilError(t, err, name)
	disk.Kill()
	disk.StopAfter(second)
	acknowledged, attempted, _ := run(disk, recovered, remaining)
	disk.LosePower(random)
	_, found, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
	assert.NilError(t, err, name)
	assert.NilError(t, checkRecovered(found, acknowledged, attempted), name)
}

// A process is killed between a write and its sync, and the next one reads the written records. It may act on them, for example
// report them in a vote, so from then on they must survive a power loss.
func TestRecordsReadSurvivePowerLoss(t *testing.T) {
	for killed := range countDiskOperations(t) + 1 {
		for seed := range int64(16) {
			disk := simdisk.New()
			disk.StopAfter(killed)
			run(disk, nil, powerOperations())
			disk.Kill()
			_, read, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
			assert.NilError(t, err)
			disk.LosePower(rand.New(rand.NewSource(seed)))
			_, found, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
			name := fmt.Sprintf("killed after %d operations, seed %d", killed, seed)
			assert.NilError(t, err, name)
			assert.DeepEqual(t, texts(found), texts(read))
		}
	}
}

// After a failed sync nothing is acknowledged, and what was acknowledged before survives a power loss.
func TestFailedSyncAcknowledgesNothing(t *testing.T) {
	for seed := range int64(40) {
		disk := simdisk.New()
		file, _, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
		assert.NilError(t, err)
		assert.NilError(t, file.Append([]logfile.Record{record("synced")}))
		disk.SyncError = simdisk.ErrStopped
		assert.Assert(t, file.Append([]logfile.Record{record("not synced")}) != nil)
		assert.Assert(t, file.Rewrite([]logfile.Record{record("not synced either")}) != nil)
		disk.SyncError = nil
		assert.Assert(t, file.Append([]logfile.Record{record("after a failure")}) != nil)
		disk.LosePower(rand.New(rand.NewSource(seed)))
		_, found, _, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
		assert.NilError(t, err)
		assert.Assert(t, len(found) >= 1 && string(found[0].Payload) == "synced", "%q", texts(found))
	}
}

// A discarded file does not reappear after a power loss.
func TestDiscardedFileStaysDiscarded(t *testing.T) {
	for seed := range int64(20) {
		disk := simdisk.New()
		run(disk, nil, powerOperations())
		assert.NilError(t, logfile.DiscardOn(disk, powerDirectory))
		disk.LosePower(rand.New(rand.NewSource(seed)))
		_, found, report, err := logfile.OpenOn(disk, powerDirectory, logfile.Limits{})
		assert.NilError(t, err)
		assert.Assert(t, report.Created && len(found) == 0)
	}
}
