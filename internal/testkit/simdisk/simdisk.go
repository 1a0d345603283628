// Package simdisk is a disk for tests that keeps through a loss of power only what was synced. Of what was not, each write is there,
// missing or torn, and each name that was made, renamed or removed is as before or as after, independently of the others.
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

// ErrStopped is returned by every operation after the one at which the disk was told to stop.
var ErrStopped = errors.New("simdisk: the machine is gone")

// Disk is a simulated disk. It is for one goroutine at a time.
type Disk struct {
	// SyncError, if set, is what each sync and each sync of a folder returns, with nothing made to last.
	SyncError error

	names      map[string]*file // as a running machine sees them
	lasting    map[string]*file // as of the last sync of the folder
	unsynced   []nameChange     // since then, in order
	operations int              // carried out so far
	stopAt     int              // the number of the first operation that is not carried out; 0: none
	generation int              // rises with each crash: handles from before are dead
}

// file is a file's content, independent of its name.
type file struct {
	content  []byte
	lasting  []byte // what the last sync covered; it may share its bytes with content, which are not changed in place then
	unsynced []change
}

// change is a write of data at a place or, with truncate, a new length.
type change struct {
	at       int64
	data     []byte
	truncate bool
}

// nameChange binds a name to a file, or to none.
type nameChange struct {
	name string
	to   *file
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: make(map[string]*file), lasting: make(map[string]*file)}
}

// Operations is the number of operations that change something, carried out so far.
func (d *Disk) Operations() int { return d.operations }

// StopAfter has the machine go after so many more operations: the ones behind them are not carried out and fail.
func (d *Disk) StopAfter(operations int) { d.stopAt = d.operations + operations + 1 }

// Kill ends the process that uses the disk. What it wrote is there, synced or not.
func (d *Disk) Kill() {
	d.stopAt = 0
	d.generation++
}

// LosePower takes away what was not synced, as chance has it, and ends the process.
func (d *Disk) LosePower(random *rand.Rand) {
	d.Kill()
	files := d.everyFile()
	names := make(map[string]*file)
	for name, to := range d.lasting {
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
	for _, each := range files {
		each.losePower(random)
	}
	d.names, d.unsynced = names, nil
	d.rememberNames()
}

// everyFile lists all files that a name may be bound to after a loss of power, each once and in a fixed order.
func (d *Disk) everyFile() []*file {
	var files []*file
	add := func(each *file) {
		if each != nil && !slices.Contains(files, each) {
			files = append(files, each)
		}
	}
	for _, names := range []map[string]*file{d.lasting, d.names} {
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

// losePower leaves what was synced and, of what was not, what chance has it.
func (f *file) losePower(random *rand.Rand) {
	content := slices.Clone(f.lasting)
	const allGone = 4 // one loss of power in so many takes all that was not synced
	if random.Intn(allGone) > 0 {
		for _, change := range f.unsynced {
			content = change.keepSome(content, random)
		}
	}
	f.content, f.lasting, f.unsynced = content, slices.Clone(content), nil
}

// keepSome applies a change whole, in part or not at all.
func (c change) keepSome(content []byte, random *rand.Rand) []byte {
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

func (c change) apply(content []byte) []byte {
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

// operate counts an operation that changes something, and refuses it if the machine is gone.
func (d *Disk) operate() error {
	if d.stopAt > 0 && d.operations+1 >= d.stopAt {
		return ErrStopped
	}
	d.operations++
	return nil
}

func (d *Disk) bind(name string, to *file) {
	d.unsynced = append(d.unsynced, nameChange{name: name, to: to})
	if to == nil {
		delete(d.names, name)
		return
	}
	d.names[name] = to
}

// MakeFolder does nothing: folders are there.
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
		if err := d.operate(); err != nil {
			return nil, err
		}
		found = &file{}
		d.bind(path, found)
	}
	opened := &handle{disk: d, file: found, generation: d.generation}
	if flags&os.O_TRUNC != 0 && len(found.content) > 0 {
		return opened, opened.Truncate(0)
	}
	return opened, nil
}

// Rename puts a file in the place of another. The new name and the end of the old one last independently.
func (d *Disk) Rename(from, to string) error {
	found := d.names[from]
	if found == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	if err := d.operate(); err != nil {
		return err
	}
	d.bind(to, found)
	d.bind(from, nil)
	return nil
}

// Remove takes a name away.
func (d *Disk) Remove(path string) error {
	if d.names[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	if err := d.operate(); err != nil {
		return err
	}
	d.bind(path, nil)
	return nil
}

// SyncFolder makes the names last. There is one folder's names on a disk.
func (d *Disk) SyncFolder(string) error {
	if err := d.operate(); err != nil {
		return err
	}
	if d.SyncError != nil {
		return d.SyncError
	}
	d.unsynced = nil
	d.rememberNames()
	return nil
}

func (d *Disk) rememberNames() {
	d.lasting = make(map[string]*file)
	for name, to := range d.names {
		d.lasting[name] = to
	}
}

// Empty tells whether there is no file at all.
func (d *Disk) Empty() bool { return len(d.names) == 0 }

// handle is an open file.
type handle struct {
	disk       *Disk
	file       *file
	at         int64
	generation int
}

func (h *handle) operate() error {
	if h.generation != h.disk.generation {
		return ErrStopped
	}
	return h.disk.operate()
}

func (h *handle) record(made change) {
	h.file.unsynced = append(h.file.unsynced, made)
	if !made.truncate && made.at < int64(len(h.file.lasting)) {
		h.file.content = slices.Clone(h.file.content)
	}
	h.file.content = made.apply(h.file.content)
}

func (h *handle) Write(data []byte) (int, error) {
	if err := h.operate(); err != nil {
		return 0, err
	}
	h.record(change{at: h.at, data: slices.Clone(data)})
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
	if err := h.operate(); err != nil {
		return err
	}
	h.record(change{at: size, truncate: true})
	return nil
}

func (h *handle) Sync() error {
	if err := h.operate(); err != nil {
		return err
	}
	if h.disk.SyncError != nil {
		return h.disk.SyncError
	}
	h.file.lasting, h.file.unsynced = slices.Clip(h.file.content), nil
	return nil
}

func (h *handle) Close() error { return nil }
