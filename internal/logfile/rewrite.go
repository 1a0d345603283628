package logfile

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// Rewrite puts a new file with just these records in the place of the old one. It also ends the failure of an old file. After
// an error before the rename the old file is as it was. There must be a record at least.
func (f *File) Rewrite(records []Record) error {
	if len(records) == 0 {
		return trace.BadParameter("logfile: a rewrite needs a record")
	}
	size := int64(headerSize) + batchSize(records)
	if f.exceeds(size) {
		return ErrFull
	}
	path := filepath.Join(f.directory, rewriteName)
	file, err := f.writeWhole(path, records)
	if err != nil {
		f.system.Remove(path) // frees the room; a leftover does no harm
		return trace.ConvertSystemError(err)
	}
	if err := f.system.Rename(path, filepath.Join(f.directory, fileName)); err != nil {
		file.Close()
		f.system.Remove(path)
		return trace.ConvertSystemError(err)
	}
	f.file.Close()
	f.file, f.size, f.batch = file, size, 2
	f.failed = f.system.SyncFolder(f.directory)
	return trace.ConvertSystemError(f.failed)
}

// writeWhole makes a synced file with one batch of records, and leaves it open behind them.
func (f *File) writeWhole(path string, records []Record) (Handle, error) {
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
