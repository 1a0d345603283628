package logfile

import (
	"io"
	"io/fs"
	"os"
)

// FileSystem holds the operations that a File needs from the operating system. Tests replace it by a simulated disk. Arguments
// are full paths, errors are those of package os.
type FileSystem interface {
	// MakeFolder creates a directory and its missing parents.
	MakeFolder(path string) error
	// ReadFile returns the content of a file. The error is fs.ErrNotExist if the file does not exist.
	ReadFile(path string) ([]byte, error)
	// Open opens a file with the flags of os.OpenFile.
	Open(path string, flags int) (Handle, error)
	// Rename atomically replaces a file by another one in the same directory.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncFolder syncs the entries of a directory: files that were created, renamed or removed.
	SyncFolder(path string) error
}

// Handle is an open file. Only data written before a Sync is certain to survive a power loss.
type Handle interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// osFileSystem is the FileSystem of the operating system.
type osFileSystem struct{}

func (osFileSystem) MakeFolder(path string) error         { return os.MkdirAll(path, directoryMode) }
func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }
func (osFileSystem) Rename(from, to string) error         { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error             { return os.Remove(path) }

func (osFileSystem) Open(path string, flags int) (Handle, error) {
	file, err := os.OpenFile(path, flags, fs.FileMode(fileMode))
	if err != nil {
		return nil, err // not file: a nil *os.File in a Handle would not be nil
	}
	return file, nil
}

func (osFileSystem) SyncFolder(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
