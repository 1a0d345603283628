package logfile

import (
	"io"
	"io/fs"
	"os"
)

// FileSystem is what a file needs of the operating system, so that tests can put a simulated disk in its place. Names are whole paths;
// errors are those of package os.
type FileSystem interface {
	// MakeFolder makes a folder and those above it, where they are missing.
	MakeFolder(path string) error
	// ReadFile returns the whole content; its error is fs.ErrNotExist where there is no such file.
	ReadFile(path string) ([]byte, error)
	// Open opens a file with the flags of os.OpenFile.
	Open(path string, flags int) (Handle, error)
	// Rename puts a file in the place of another one in the same folder.
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder last: files that were made, renamed and removed.
	SyncFolder(path string) error
}

// Handle is an open file. Only what Sync has covered outlasts a loss of power for sure.
type Handle interface {
	io.WriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// systemFiles is the file system of the machine.
type systemFiles struct{}

func (systemFiles) MakeFolder(path string) error         { return os.MkdirAll(path, folderMode) }
func (systemFiles) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }
func (systemFiles) Rename(from, to string) error         { return os.Rename(from, to) }
func (systemFiles) Remove(path string) error             { return os.Remove(path) }

func (systemFiles) Open(path string, flags int) (Handle, error) {
	file, err := os.OpenFile(path, flags, fs.FileMode(fileMode))
	if err != nil {
		return nil, err // not a Handle that holds a nil file
	}
	return file, nil
}

func (systemFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
