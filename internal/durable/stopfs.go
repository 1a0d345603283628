package durable

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// stopFS is a file layer that fails once and for all. The database takes a failed write for the end of its process, by
// panics that cannot be recovered from while its locks are held. So no failure reaches it: the operation that failed never
// returns, and who waits for the database is told by the channel. What lies on the disk stays as it was at that moment.
type stopFS struct {
	vfs.FS
	armed  atomic.Bool // while the database is opened, errors go to it as they are
	once   sync.Once
	failed chan struct{} // closed with the first failure
	err    error         // set before that
}

func newStopFS(fs vfs.FS) *stopFS { return &stopFS{FS: fs, failed: make(chan struct{})} }

// check passes success on; a failure is noted, and the caller is held for good.
func (s *stopFS) check(what, name string, err error) error {
	if err == nil || !s.armed.Load() {
		return err
	}
	s.once.Do(func() {
		s.err = fmt.Errorf("%s %s: %w", what, name, err)
		close(s.failed)
	})
	select {}
}

// hold keeps writes from the disk once it has failed: nothing is tried again as if nothing had been.
func (s *stopFS) hold() {
	select {
	case <-s.failed:
		select {}
	default:
	}
}

func (s *stopFS) file(f vfs.File, name string, err error) (vfs.File, error) {
	if err := s.check("open", name, err); err != nil {
		return nil, err
	}
	return &stopFile{File: f, fs: s, name: name}, nil
}

func (s *stopFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	s.hold()
	f, err := s.FS.Create(name, c)
	return s.file(f, name, err)
}

func (s *stopFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	s.hold()
	f, err := s.FS.OpenReadWrite(name, c, opts...)
	return s.file(f, name, err)
}

func (s *stopFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	s.hold()
	f, err := s.FS.ReuseForWrite(oldname, newname, c)
	return s.file(f, newname, err)
}

func (s *stopFS) OpenDir(name string) (vfs.File, error) {
	f, err := s.FS.OpenDir(name)
	return s.file(f, name, err)
}

func (s *stopFS) Link(oldname, newname string) error {
	s.hold()
	return s.check("link", newname, s.FS.Link(oldname, newname))
}

func (s *stopFS) Rename(oldname, newname string) error {
	s.hold()
	return s.check("rename", newname, s.FS.Rename(oldname, newname))
}

func (s *stopFS) MkdirAll(dir string, perm os.FileMode) error {
	s.hold()
	return s.check("make", dir, s.FS.MkdirAll(dir, perm))
}

func (s *stopFS) Unwrap() vfs.FS { return s.FS }

// stopFile is a file of a stopFS.
type stopFile struct {
	vfs.File
	fs   *stopFS
	name string
}

func (f *stopFile) Write(p []byte) (int, error) {
	f.fs.hold()
	n, err := f.File.Write(p)
	return n, f.fs.check("write", f.name, err)
}

func (f *stopFile) WriteAt(p []byte, at int64) (int, error) {
	f.fs.hold()
	n, err := f.File.WriteAt(p, at)
	return n, f.fs.check("write", f.name, err)
}

func (f *stopFile) Preallocate(offset, length int64) error {
	f.fs.hold()
	return f.fs.check("allocate", f.name, f.File.Preallocate(offset, length))
}

func (f *stopFile) Sync() error {
	f.fs.hold()
	return f.fs.check("sync", f.name, f.File.Sync())
}

func (f *stopFile) SyncData() error {
	f.fs.hold()
	return f.fs.check("sync", f.name, f.File.SyncData())
}

func (f *stopFile) SyncTo(length int64) (bool, error) {
	f.fs.hold()
	full, err := f.File.SyncTo(length)
	return full, f.fs.check("sync", f.name, err)
}

func (f *stopFile) Close() error { return f.fs.check("close", f.name, f.File.Close()) }
