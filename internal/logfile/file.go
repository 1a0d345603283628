package logfile

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	fileName        = "control.log"
	rewriteFileName = "control.log.new"
	fileMode        = 0o600
	directoryMode   = 0o700
)

// Limits bounds a file.
type Limits struct {
	MaximumBytes int64 // largest size of the file; 0: unlimited
}

// Report describes the file that was opened or verified.
type Report struct {
	Path     string
	Records  int
	Bytes    int64      // size of the file header and the complete records
	TornAt   int64      // offset of the torn tail, if TornKind is set
	TornKind DamageKind // what is wrong with the torn tail; empty: there is none
	Created  bool       // there was no file, or not even its header was complete
}

// File is an open file of records. It is not safe for concurrent use.
type File struct {
	system    FileSystem
	directory string
	limits    Limits
	file      Handle
	size      int64  // bytes
	nextBatch uint32 // number of the next batch
	failed    error  // the error after which the file accepts no more records
	buffer    []byte // reused by Append
}

// Open reads the records of the file in a directory and prepares it for appending. It creates the file if there is none, and
// cuts off a torn tail. It returns a *DamageError if data that had been synced is damaged.
func Open(directory string, limits Limits) (*File, []Record, Report, error) {
	return OpenOn(osFileSystem{}, directory, limits)
}

// OpenOn is Open on the given file system.
func OpenOn(system FileSystem, directory string, limits Limits) (*File, []Record, Report, error) {
	if err := system.MakeFolder(directory); err != nil {
		return nil, nil, Report{}, trace.ConvertSystemError(err)
	}
	scanned, report, err := read(system, directory)
	if err != nil {
		return nil, nil, report, err
	}
	f := &File{system: system, directory: directory, limits: limits, size: scanned.end, nextBatch: scanned.nextBatch}
	if report.Created {
		err = f.create()
	} else {
		err = f.reopen(report)
	}
	if err != nil {
		f.Close()
		return nil, nil, report, trace.Wrap(err)
	}
	return f, scanned.records, report, nil
}

// Verify checks the file in a directory without changing it. It returns a *DamageError like Open.
func Verify(directory string) (Report, error) {
	_, report, err := read(osFileSystem{}, directory)
	return report, err
}

// Discard removes the file in a directory, so that the next Open creates an empty one. It is meant for a damaged file.
func Discard(directory string) error { return DiscardOn(osFileSystem{}, directory) }

// DiscardOn is Discard on the given file system.
func DiscardOn(system FileSystem, directory string) error {
	err := system.Remove(filepath.Join(directory, fileName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(system.SyncFolder(directory))
}

// read reads and checks the file in a directory without changing it.
func read(system FileSystem, directory string) (scan, Report, error) {
	path := filepath.Join(directory, fileName)
	report := Report{Path: path}
	data, err := system.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		report.Created = true
		return scan{}, report, nil
	}
	if err != nil {
		return scan{}, report, trace.ConvertSystemError(err)
	}
	scanned := scanFile(data)
	report.Records = len(scanned.records)
	report.Bytes = scanned.end
	if scanned.corrupt {
		return scanned, report, &DamageError{Path: path, Offset: scanned.end, Kind: scanned.damage}
	}
	if scanned.damage != "" {
		report.TornAt, report.TornKind = scanned.end, scanned.damage
	}
	report.Created = scanned.end == 0 // not even the file header was complete: power was lost during creation
	return scanned, report, nil
}

// create creates an empty file and syncs it and its directory entry.
func (f *File) create() error {
	file, err := f.system.Open(filepath.Join(f.directory, fileName), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f.file, f.nextBatch, f.size = file, 1, int64(headerSize)
	if _, err := file.Write([]byte(appendedHeader)); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(f.system.SyncFolder(f.directory))
}

// reopen opens an existing file for appending behind its last complete record.
func (f *File) reopen(report Report) error {
	file, err := f.system.Open(report.Path, os.O_RDWR)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f.file = file
	if report.TornKind != "" {
		if err := file.Truncate(f.size); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	// The previous process may not have synced the data just read, or the name of the file.
	if err := file.Sync(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := f.system.SyncFolder(f.directory); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Seek(f.size, io.SeekStart)
	return trace.ConvertSystemError(err)
}

// Append writes the records as one batch and syncs the file once. After an error other than ErrFull, further calls return
// ErrFailed.
func (f *File) Append(records []Record) error {
	if f.failed != nil {
		return trace.Wrap(ErrFailed, "%v", f.failed)
	}
	if len(records) == 0 {
		return nil
	}
	if f.exceeds(f.size + batchSize(records)) {
		return ErrFull
	}
	f.buffer = appendBatch(f.buffer[:0], f.nextBatch, records)
	if err := f.writeSynced(f.buffer); err != nil {
		f.failed = err
		return trace.ConvertSystemError(err)
	}
	f.size += int64(len(f.buffer))
	f.nextBatch++
	f.releaseBuffer()
	return nil
}

// releaseBuffer drops a large buffer, so that the memory of one large batch is not kept forever.
func (f *File) releaseBuffer() {
	const maxKeptBuffer = 64 << 10 // bytes
	if cap(f.buffer) > maxKeptBuffer {
		f.buffer = nil
	}
}

// exceeds reports whether a file of this size, in bytes, is above the limit.
func (f *File) exceeds(size int64) bool {
	return f.limits.MaximumBytes > 0 && size > f.limits.MaximumBytes
}

// writeSynced writes data and syncs the file.
func (f *File) writeSynced(data []byte) error {
	if _, err := f.file.Write(data); err != nil {
		return err
	}
	return f.file.Sync()
}

// Size returns the size of the file in bytes.
func (f *File) Size() int64 { return f.size }

// Close closes the file. It need not sync, because Append and Rewrite have done so.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return trace.ConvertSystemError(f.file.Close())
}
