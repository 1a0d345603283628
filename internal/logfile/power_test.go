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

const powerFolder = "/data"

// step is one call of a user of the file: a batch, or a rewrite to the records given.
type step struct {
	rewrite bool
	records []logfile.Record
}

func record(text string) logfile.Record { return logfile.Record{Type: 5, Payload: []byte(text)} }

// powerSteps hold batches of several sizes before, between and after rewrites.
func powerSteps() []step {
	return []step{
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

func (s step) after(records []logfile.Record) []logfile.Record {
	if s.rewrite {
		return s.records
	}
	return append(slices.Clone(records), s.records...)
}

func texts(records []logfile.Record) []string {
	var all []string
	for _, each := range records {
		all = append(all, string(each.Payload))
	}
	return all
}

// play opens the file and carries out steps until one fails. It returns what was acknowledged, what may be there beside that, and how
// many steps were acknowledged.
func play(disk *simdisk.Disk, held []logfile.Record, steps []step) (acknowledged, attempted []logfile.Record, done int) {
	file, _, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
	if err != nil {
		return held, held, 0
	}
	for _, each := range steps {
		next := each.after(held)
		call := file.Append
		if each.rewrite {
			call = file.Rewrite
		}
		if err := call(each.records); err != nil {
			return held, next, done
		}
		held = next
		done++
	}
	return held, held, done
}

// checkHeld tells what is wrong with the records that a file came back with: what was acknowledged has to be there, and beside it
// nothing but the begin of what was attempted.
func checkHeld(found, acknowledged, attempted []logfile.Record) error {
	got := texts(found)
	if slices.Equal(got, texts(acknowledged)) || slices.Equal(got, texts(attempted)) {
		return nil
	}
	whole := texts(attempted)
	extends := len(whole) >= len(acknowledged) && slices.Equal(whole[:len(acknowledged)], texts(acknowledged))
	if extends && len(got) >= len(acknowledged) && len(got) <= len(whole) && slices.Equal(got, whole[:len(got)]) {
		return nil
	}
	return fmt.Errorf("found %q, acknowledged %q, attempted %q", got, texts(acknowledged), whole)
}

func operationsOfAll(t *testing.T) int {
	disk := simdisk.New()
	_, _, done := play(disk, nil, powerSteps())
	assert.Equal(t, done, len(powerSteps()))
	return disk.Operations()
}

// Power is lost after each operation, and again after each operation of what follows it: what was acknowledged is there each time, and
// the file is never taken for damaged.
func TestPowerLostAtEachOperation(t *testing.T) {
	const chances, chancesOfSecond = 24, 2
	operations := operationsOfAll(t)
	for first := range operations + 1 {
		for chance := range int64(chances) {
			random := rand.New(rand.NewSource(chance))
			disk := simdisk.New()
			disk.StopAfter(first)
			acknowledged, attempted, done := play(disk, nil, powerSteps())
			disk.LosePower(random)
			name := fmt.Sprintf("after %d operations, chance %d", first, chance)
			file, found, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
			assert.NilError(t, err, name)
			assert.NilError(t, checkHeld(found, acknowledged, attempted), name)
			assert.NilError(t, file.Close())
			if chance >= chancesOfSecond {
				continue
			}
			rest := powerSteps()[done:]
			for second := range 12 {
				checkSecondLoss(t, fmt.Sprintf("%s, then after %d", name, second), first, chance, second, rest)
			}
		}
	}
}

// checkSecondLoss plays the first loss of power again, and one more in what follows it.
func checkSecondLoss(t *testing.T, name string, first int, chance int64, second int, rest []step) {
	t.Helper()
	random := rand.New(rand.NewSource(chance))
	disk := simdisk.New()
	disk.StopAfter(first)
	play(disk, nil, powerSteps())
	disk.LosePower(random)
	_, held, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
	assert.NilError(t, err, name)
	disk.Kill()
	disk.StopAfter(second)
	acknowledged, attempted, _ := play(disk, held, rest)
	disk.LosePower(random)
	_, found, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
	assert.NilError(t, err, name)
	assert.NilError(t, checkHeld(found, acknowledged, attempted), name)
}

// A process is killed between a write and its sync, and the next one reads what was written: a vote may be told of it, so that it has
// to outlast a loss of power from then on.
func TestWhatWasReadOutlastsALossOfPower(t *testing.T) {
	for killed := range operationsOfAll(t) + 1 {
		for chance := range int64(16) {
			disk := simdisk.New()
			disk.StopAfter(killed)
			play(disk, nil, powerSteps())
			disk.Kill()
			_, read, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
			assert.NilError(t, err)
			disk.LosePower(rand.New(rand.NewSource(chance)))
			_, found, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
			name := fmt.Sprintf("killed after %d operations, chance %d", killed, chance)
			assert.NilError(t, err, name)
			assert.DeepEqual(t, texts(found), texts(read))
		}
	}
}

// After a sync that failed nothing is acknowledged, and what had been stays, whatever is lost then.
func TestFailedSyncAcknowledgesNothing(t *testing.T) {
	for chance := range int64(40) {
		disk := simdisk.New()
		file, _, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
		assert.NilError(t, err)
		assert.NilError(t, file.Append([]logfile.Record{record("held")}))
		disk.SyncError = simdisk.ErrStopped
		assert.Assert(t, file.Append([]logfile.Record{record("not held")}) != nil)
		assert.Assert(t, file.Rewrite([]logfile.Record{record("not held either")}) != nil)
		disk.SyncError = nil
		assert.Assert(t, file.Append([]logfile.Record{record("behind a failure")}) != nil)
		disk.LosePower(rand.New(rand.NewSource(chance)))
		_, found, _, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
		assert.NilError(t, err)
		assert.Assert(t, len(found) >= 1 && string(found[0].Payload) == "held", "%q", texts(found))
	}
}

// A store that was thrown away does not come back.
func TestDiscardedFileDoesNotComeBack(t *testing.T) {
	for chance := range int64(20) {
		disk := simdisk.New()
		play(disk, nil, powerSteps())
		assert.NilError(t, logfile.DiscardOn(disk, powerFolder))
		disk.LosePower(rand.New(rand.NewSource(chance)))
		_, found, report, err := logfile.OpenOn(disk, powerFolder, logfile.Limits{})
		assert.NilError(t, err)
		assert.Assert(t, report.Created && len(found) == 0)
	}
}
