package durable

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// failStopFS is a file system that stops permanently at the first failed operation that opens or changes a file. Pebble
// panics on such a failure while it holds locks, and the process cannot recover from that. So pebble never sees the
// failure: the operation that failed blocks forever, as does every later write, and callers that wait for the database
// learn of it through the failed channel. The content of the disk stays as it was at the failure.
type failStopFS struct {
	vfs.FS
	armed  atomic.Bool // false while the database is opened or closed: errors are then returned as usual
	once   sync.Once
	failed chan struct{} // closed at the first failure
	err    error         // the first failure; set before failed is closed
}

func newFailStopFS(fs vfs.FS) *failStopFS { return &failStopFS{FS: fs, failed: make(chan struct{})} }

// blockOnError returns nil on success. On failure it records the error and blocks forever.
func (s *failStopFS) blockOnError(op, name string, err error) error {
	if err == nil || !s.armed.Load() {
		return err
	}
	s.once.Do(func() {
		s.err = fmt.Errorf("%s %s: %w", op, name, err)
		close(s.failed)
	})
	select {}
}

// blockIfFailed blocks forever once the disk has failed, so that no write is retried after a failure.
func (s *failStopFS) blockIfFailed() {
	select {
	case <-s.failed:
		select {}
	default:
	}
}

// wrapFile wraps an opened file, or blocks if opening it failed.
func (s *failStopFS) wrapFile(f vfs.File, name string, err error) (vfs.File, error) {
	if err := s.blockOnError("open", name, err); err != nil {
		return nil, err
	}
	return &failStopFile{File: f, fs: s, name: name}, nil
}

func (s *failStopFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	s.blockIfFailed()
	f, err := s.FS.Create(name, c)
	return s.wrapFile(f, name, err)
}

func (s *failStopFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	s.blockIfFailed()
	f, err := s.FS.OpenReadWrite(name, c, opts...)
	return s.wrapFile(f, name, err)
}

func (s *failStopFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	s.blockIfFailed()
	f, err := s.FS.ReuseForWrite(oldname, newname, c)
	return s.wrapFile(f, newname, err)
}

func (s *failStopFS) OpenDir(name string) (vfs.File, error) {
	f, err := s.FS.OpenDir(name)
	return s.wrapFile(f, name, err)
}

func (s *failStopFS) Link(oldname, newname string) error {
	s.blockIfFailed()
	return s.blockOnError("link", newname, s.FS.Link(oldname, newname))
}

func (s *failStopFS) Rename(oldname, newname string) error {
	s.blockIfFailed()
	return s.blockOnError("rename", newname, s.FS.Rename(oldname, newname))
}

func (s *failStopFS) MkdirAll(dir string, perm os.FileMode) error {
	s.blockIfFailed()
	return s.blockOnError("make", dir, s.FS.MkdirAll(dir, perm))
}

func (s *failStopFS) Unwrap() vfs.FS { return s.FS }

// failStopFile is an open file of a failStopFS.
type failStopFile struct {
	vfs.File
	fs   *failStopFS
	name string
}

func (f *failStopFile) Write(p []byte) (int, error) {
	f.fs.blockIfFailed()
	n, err := f.File.Write(p)
	return n, f.fs.blockOnError("write", f.name, err)
}

func (f *failStopFile) WriteAt(p []byte, at int64) (int, error) {
	f.fs.blockIfFailed()
	n, err := f.File.WriteAt(p, at)
	return n, f.fs.blockOnError("write", f.name, err)
}

func (f *failStopFile) Preallocate(offset, length int64) error {
	f.fs.blockIfFailed()
	return f.fs.blockOnError("allocate", f.name, f.File.Preallocate(offset, length))
}

func (f *failStopFile) Sync() error {
	f.fs.blockIfFailed()
	return f.fs.blockOnError("sync", f.name, f.File.Sync())
}

func (f *failStopFile) SyncData() error {
	f.fs.blockIfFailed()
	return f.fs.blockOnError("sync", f.name, f.File.SyncData())
}

func (f *failStopFile) SyncTo(length int64) (bool, error) {
	f.fs.blockIfFailed()
	full, err := f.File.SyncTo(length)
	return full, f.fs.blockOnError("sync", f.name, err)
}

func (f *failStopFile) Close() error { return f.fs.blockOnError("close", f.name, f.File.Close()) }
