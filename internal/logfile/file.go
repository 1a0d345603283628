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
	fileName    = "control.log"
	rewriteName = "control.log.new"
	fileMode    = 0o600
	folderMode  = 0o700
)

// Limits bound a file.
type Limits struct {
	MaximumBytes int64 // 0: no bound
}

// Report tells what was found when a file was opened or verified.
type Report struct {
	Path     string
	Records  int
	Bytes    int64      // that hold whole records, file header included
	TornAt   int64      // where a torn tail begins, if TornKind is set
	TornKind DamageKind // empty: no torn tail
	Created  bool       // there was no file before
}

// File is an open file of records. It is for one goroutine at a time.
type File struct {
	system    FileSystem
	directory string
	limits    Limits
	file      Handle
	size      int64
	batch     uint32
	failed    error
	buffer    []byte
}

// Open reads the records of the file in a folder and makes it ready for more. A folder without a file gets an empty one; a torn
// tail is cut off. It returns a *DamageError when something that had been synced is damaged.
func Open(directory string, limits Limits) (*File, []Record, Report, error) {
	return OpenOn(systemFiles{}, directory, limits)
}

// OpenOn is Open on another file system than the machine's.
func OpenOn(system FileSystem, directory string, limits Limits) (*File, []Record, Report, error) {
	if err := system.MakeFolder(directory); err != nil {
		return nil, nil, Report{}, trace.ConvertSystemError(err)
	}
	found, report, err := read(system, directory)
	if err != nil {
		return nil, nil, report, err
	}
	f := &File{system: system, directory: directory, limits: limits, size: found.end, batch: found.batch}
	if report.Created {
		err = f.create()
	} else {
		err = f.reopen(report)
	}
	if err != nil {
		f.Close()
		return nil, nil, report, trace.Wrap(err)
	}
	return f, found.records, report, nil
}

// Verify reads the file in a folder and changes nothing. Its error is a *DamageError when the store is unfit.
func Verify(directory string) (Report, error) {
	_, report, err := read(systemFiles{}, directory)
	return report, err
}

// Discard removes the file of a folder, so that the next Open begins an empty one. It is for a store that is unfit.
func Discard(directory string) error { return DiscardOn(systemFiles{}, directory) }

// DiscardOn is Discard on another file system than the machine's.
func DiscardOn(system FileSystem, directory string) error {
	err := system.Remove(filepath.Join(directory, fileName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(system.SyncFolder(directory))
}

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
	found := scanFile(data)
	report.Records = len(found.records)
	report.Bytes = found.end
	if found.unfit {
		return found, report, &DamageError{Path: path, Offset: found.end, Kind: found.kind}
	}
	if found.kind != "" {
		report.TornAt, report.TornKind = found.end, found.kind
	}
	report.Created = found.end == 0 // the loss came before the file header was synced
	return found, report, nil
}

// create makes a new file that lasts.
func (f *File) create() error {
	file, err := f.system.Open(filepath.Join(f.directory, fileName), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f.file, f.batch, f.size = file, 1, int64(headerSize)
	if _, err := file.Write([]byte(appendedHeader)); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(f.system.SyncFolder(f.directory))
}

// reopen goes on with a file, behind its last whole record.
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
	// What was read, and the name under which it was, may not have been synced by the process before.
	if err := file.Sync(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := f.system.SyncFolder(f.directory); err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Seek(f.size, io.SeekStart)
	return trace.ConvertSystemError(err)
}

// Append writes records as one batch and syncs once. After an error other than ErrFull the file takes no more.
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
	f.buffer = appendBatch(f.buffer[:0], f.batch, records)
	if err := f.writeSynced(f.buffer); err != nil {
		f.failed = err
		return trace.ConvertSystemError(err)
	}
	f.size += int64(len(f.buffer))
	f.batch++
	f.releaseBuffer()
	return nil
}

// releaseBuffer gives a large buffer back, so that one large batch is not held for ever.
func (f *File) releaseBuffer() {
	const kept = 64 << 10
	if cap(f.buffer) > kept {
		f.buffer = nil
	}
}

func (f *File) exceeds(size int64) bool {
	return f.limits.MaximumBytes > 0 && size > f.limits.MaximumBytes
}

func (f *File) writeSynced(data []byte) error {
	if _, err := f.file.Write(data); err != nil {
		return err
	}
	return f.file.Sync()
}

// Size is the length of the file in bytes.
func (f *File) Size() int64 { return f.size }

// Close closes the file. Whatever Append or Rewrite returned without an error is on disk already.
func (f *File) Close() error {
	if f.file == nil {
		return nil
	}
	return trace.ConvertSystemError(f.file.Close())
}
