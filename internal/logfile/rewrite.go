package logfile

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Rewrite replaces the file by a new one that holds only these records, of which there must be at least one. It also makes a
// failed file usable again. After an error before the rename the old file is unchanged.
func (f *File) Rewrite(records []Record) error {
	if len(records) == 0 {
		return trace.BadParameter("logfile: a rewrite needs at least one record")
	}
	size := int64(headerSize) + batchSize(records)
	if f.exceeds(size) {
		return ErrFull
	}
	path := filepath.Join(f.directory, rewriteFileName)
	file, err := f.writeNewFile(path, records)
	if err != nil {
		f.system.Remove(path) // frees disk space; a remaining file is harmless
		return trace.ConvertSystemError(err)
	}
	if err := f.system.Rename(path, filepath.Join(f.directory, fileName)); err != nil {
		file.Close()
		f.system.Remove(path)
		return trace.ConvertSystemError(err)
	}
	f.file.Close()
	f.file, f.size, f.nextBatch = file, size, 2
	f.failed = f.system.SyncFolder(f.directory)
	return trace.ConvertSystemError(f.failed)
}

// writeNewFile creates and syncs a file that holds the records as one batch. The returned Handle is positioned at its end.
func (f *File) writeNewFile(path string, records []Record) (Handle, error) {
	file, err := f.system.Open(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return nil, err
	}
	data := appendBatch([]byte(rewrittenHeader), 1, records)
	if _, err := file.Write(data); err != nil {
		file.Close()
		return nil, err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}
