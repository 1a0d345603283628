// Package simdisk simulates a disk for tests. After a power loss only synced data is guaranteed. Each unsynced write may be present,
// missing or torn, and each created, renamed or removed name may be in its old or new state, independently of the others.
package simdisk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand"
	"os"
	"slices"

	"wallflow/internal/logfile"
)

// ErrStopped is returned by every operation after the machine stopped, and by handles from before the last crash.
var ErrStopped = errors.New("simdisk: the machine has stopped")

// Disk is a simulated disk. It is not safe for concurrent use.
type Disk struct {
	// SyncError, if set, is returned by each sync of a file or folder, which then makes nothing durable.
	SyncError error

	names        map[string]*file // names as the running machine sees them
	durableNames map[string]*file // names as of the last sync of the folder
	unsynced     []nameChange     // name changes since then, in order
	operations   int              // number of modifying operations executed so far
	stopAt       int              // number of the first operation that fails; 0: none
	generation   int              // incremented by each crash; handles of earlier generations are invalid
}

// file is the content of a file, independent of its name.
type file struct {
	content  []byte
	durable  []byte // content as of the last sync; may share memory with content, which is then copied before a write
	unsynced []fileWrite
}

// fileWrite is a write of data at an offset or, with truncate, a change of the length to at.
type fileWrite struct {
	at       int64
	data     []byte
	truncate bool
}

// nameChange binds a name to a file, or removes it if to is nil.
type nameChange struct {
	name string
	to   *file
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: make(map[string]*file), durableNames: make(map[string]*file)}
}

// Operations returns the number of modifying operations executed so far.
func (d *Disk) Operations() int { return d.operations }

// StopAfter stops the machine after this many more modifying operations. Later ones fail with ErrStopped.
func (d *Disk) StopAfter(operations int) { d.stopAt = d.operations + operations + 1 }

// Kill simulates a kill of the process that uses the disk. All its writes are kept, synced or not.
func (d *Disk) Kill() {
	d.stopAt = 0
	d.generation++
}

// LosePower simulates a power loss: it drops a random part of the unsynced writes and name changes, and ends the process.
func (d *Disk) LosePower(random *rand.Rand) {
	d.Kill()
	files := d.allFiles()
	names := make(map[string]*file)
	for name, to := range d.durableNames {
		names[name] = to
	}
	for _, change := range d.unsynced {
		if random.Intn(2) == 0 {
			continue
		}
		delete(names, change.name)
		if change.to != nil {
			names[change.name] = change.to
		}
	}
	for _, f := range files {
		f.losePower(random)
	}
	d.names, d.unsynced = names, nil
	d.persistNames()
}

// allFiles returns all files that a name may be bound to after a power loss, each once and in a fixed order.
func (d *Disk) allFiles() []*file {
	var files []*file
	add := func(each *file) {
		if each != nil && !slices.Contains(files, each) {
			files = append(files, each)
		}
	}
	for _, names := range []map[string]*file{d.durableNames, d.names} {
		for _, name := range sortedNames(names) {
			add(names[name])
		}
	}
	for _, change := range d.unsynced {
		add(change.to)
	}
	return files
}

func sortedNames(names map[string]*file) []string {
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

// losePower keeps the synced content and a random part of the unsynced writes.
func (f *file) losePower(random *rand.Rand) {
	content := slices.Clone(f.durable)
	const dropAllOneIn = 4 // one power loss in this many drops all unsynced writes
	if random.Intn(dropAllOneIn) > 0 {
		for _, change := range f.unsynced {
			content = change.applyPartially(content, random)
		}
	}
	f.content, f.durable, f.unsynced = content, slices.Clone(content), nil
}

// applyPartially applies a write completely, partly or not at all, at random.
func (c fileWrite) applyPartially(content []byte, random *rand.Rand) []byte {
	kept := c
	switch random.Intn(3) {
	case 0:
		return content
	case 1:
		if !c.truncate {
			kept.data = c.data[:random.Intn(len(c.data)+1)]
		}
	}
	return kept.apply(content)
}

func (c fileWrite) apply(content []byte) []byte {
	if c.truncate {
		return resized(content, c.at)
	}
	if end := c.at + int64(len(c.data)); end > int64(len(content)) {
		content = resized(content, end)
	}
	copy(content[c.at:], c.data)
	return content
}

func resized(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}

// countOperation counts a modifying operation, and fails if the machine has stopped.
func (d *Disk) countOperation() error {
	if d.stopAt > 0 && d.operations+1 >= d.stopAt {
		return ErrStopped
	}
	d.operations++
	return nil
}

func (d *Disk) bindName(name string, to *file) {
	d.unsynced = append(d.unsynced, nameChange{name: name, to: to})
	if to == nil {
		delete(d.names, name)
		return
	}
	d.names[name] = to
}

// MakeFolder does nothing: every folder exists.
func (d *Disk) MakeFolder(string) error { return nil }

// ReadFile returns the content of a file.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	found := d.names[path]
	if found == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(found.content), nil
}

// Open opens a file.
func (d *Disk) Open(path string, flags int) (logfile.Handle, error) {
	found := d.names[path]
	if found == nil {
		if flags&os.O_CREATE == 0 {
			return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
		}
		if err := d.countOperation(); err != nil {
			return nil, err
		}
		found = &file{}
		d.bindName(path, found)
	}
	opened := &handle{disk: d, file: found, generation: d.generation}
	if flags&os.O_TRUNC != 0 && len(found.content) > 0 {
		return opened, opened.Truncate(0)
	}
	return opened, nil
}

// Rename renames a file. The new name and the removal of the old one become durable independently.
func (d *Disk) Rename(from, to string) error {
	found := d.names[from]
	if found == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	if err := d.countOperation(); err != nil {
		return err
	}
	d.bindName(to, found)
	d.bindName(from, nil)
	return nil
}

// Remove removes a name.
func (d *Disk) Remove(path string) error {
	if d.names[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	if err := d.countOperation(); err != nil {
		return err
	}
	d.bindName(path, nil)
	return nil
}

// SyncFolder makes all names durable. A disk has a single folder.
func (d *Disk) SyncFolder(string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.SyncError != nil {
		return d.SyncError
	}
	d.unsynced = nil
	d.persistNames()
	return nil
}

func (d *Disk) persistNames() {
	d.durableNames = make(map[string]*file)
	for name, to := range d.names {
		d.durableNames[name] = to
	}
}

// Empty reports whether the disk has no files.
func (d *Disk) Empty() bool { return len(d.names) == 0 }

// handle is an open file.
type handle struct {
	disk       *Disk
	file       *file
	at         int64
	generation int
}

func (h *handle) countOperation() error {
	if h.generation != h.disk.generation {
		return ErrStopped
	}
	return h.disk.countOperation()
}

func (h *handle) applyWrite(write fileWrite) {
	h.file.unsynced = append(h.file.unsynced, write)
	if !write.truncate && write.at < int64(len(h.file.durable)) {
		h.file.content = slices.Clone(h.file.content)
	}
	h.file.content = write.apply(h.file.content)
}

func (h *handle) Write(data []byte) (int, error) {
	if err := h.countOperation(); err != nil {
		return 0, err
	}
	h.applyWrite(fileWrite{at: h.at, data: slices.Clone(data)})
	h.at += int64(len(data))
	return len(data), nil
}

func (h *handle) Seek(offset int64, whence int) (int64, error) {
	if whence != io.SeekStart {
		return 0, errors.ErrUnsupported
	}
	h.at = offset
	return offset, nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.countOperation(); err != nil {
		return err
	}
	h.applyWrite(fileWrite{at: size, truncate: true})
	return nil
}

func (h *handle) Sync() error {
	if err := h.countOperation(); err != nil {
		return err
	}
	if h.disk.SyncError != nil {
		return h.disk.SyncError
	}
	h.file.durable, h.file.unsynced = slices.Clip(h.file.content), nil
	return nil
}

func (h *handle) Close() error { return nil }
