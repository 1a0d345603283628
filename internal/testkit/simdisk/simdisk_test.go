package simdisk

import (
	"errors"
	"math/rand"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/logfile"
)

func write(t *testing.T, disk *Disk, path, text string, sync bool) logfile.Handle {
	t.Helper()
	file, err := disk.Open(path, os.O_RDWR|os.O_CREATE)
	assert.NilError(t, err)
	_, err = file.Write([]byte(text))
	assert.NilError(t, err)
	if sync {
		assert.NilError(t, file.Sync())
	}
	return file
}

// Over many power losses every permitted state of unsynced data occurs, and no other.
func TestPowerLossKeepsSyncedData(t *testing.T) {
	seen := make(map[string]int)
	for seed := range int64(400) {
		disk := New()
		write(t, disk, "/a", "synced.", true)
		assert.NilError(t, disk.SyncFolder("/"))
		file, err := disk.Open("/a", os.O_RDWR)
		assert.NilError(t, err)
		_, err = file.Seek(7, 0)
		assert.NilError(t, err)
		_, err = file.Write([]byte("later"))
		assert.NilError(t, err)
		write(t, disk, "/b", "b", true) // its name is not synced
		disk.LosePower(rand.New(rand.NewSource(seed)))
		content, err := disk.ReadFile("/a")
		assert.NilError(t, err)
		assert.Equal(t, string(content[:7]), "synced.")
		seen[string(content[7:])]++
		if b, err := disk.ReadFile("/b"); err == nil {
			assert.Equal(t, string(b), "b")
			seen["b"]++
		}
		_, err = file.Write([]byte("x"))
		assert.Assert(t, errors.Is(err, ErrStopped), "a handle is usable after a crash")
	}
	for _, state := range []string{"", "lat", "later", "b"} {
		assert.Assert(t, seen[state] > 0, "%q never occurred", state)
	}
	assert.Assert(t, seen["b"] < 400)
}

// After a kill all writes are kept, and a rename is atomic.
func TestKillKeepsAllWrites(t *testing.T) {
	disk := New()
	write(t, disk, "/new", "new", false)
	write(t, disk, "/old", "old", true)
	assert.NilError(t, disk.Rename("/new", "/old"))
	disk.Kill()
	content, err := disk.ReadFile("/old")
	assert.NilError(t, err)
	assert.Equal(t, string(content), "new")
	_, err = disk.ReadFile("/new")
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

func TestMachineStopsAfterGivenOperations(t *testing.T) {
	disk := New()
	disk.StopAfter(2)
	file := write(t, disk, "/a", "a", false) // two operations: create and write
	assert.Assert(t, errors.Is(file.Sync(), ErrStopped))
	disk.Kill()
	write(t, disk, "/a", "b", true)
}
