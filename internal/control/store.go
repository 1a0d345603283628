package control

import (
	"errors"
	"log/slog"
	"path/filepath"

	"github.com/gravitational/trace"

	"wallflow/internal/logfile"
)

// openedStore is what a process has found on its disk.
type openedStore struct {
	file           *logfile.File    // the chain's log
	records        []logfile.Record // of the chain's log
	discarded      bool             // the log was damaged before its end and was deleted; the process joins with an empty one
	departuresFile *logfile.File
	departures     []logfile.Record // of the departures file
}

// openStore opens the chain's log and the departures file in the data folder of a process. A log in which synced data is damaged is discarded,
// since its votes and entries can no longer be trusted: the process joins with an empty store and a new identity. A damaged departures file
// is discarded too, since what it said after the damage is not known; other processes tell of those departures.
func openStore(dataFolder string, log *slog.Logger) (openedStore, error) {
	store, err := openLogFile(dataFolder, log)
	if err != nil {
		return openedStore{}, trace.Wrap(err)
	}
	departures, err := openLogFile(filepath.Join(dataFolder, departuresFolder), log)
	if err != nil {
		return openedStore{}, trace.NewAggregate(err, store.file.Close())
	}
	return openedStore{
		file: store.file, records: store.records, discarded: store.discarded,
		departuresFile: departures.file, departures: departures.records,
	}, nil
}

// openedFile is a log file as found on disk.
type openedFile struct {
	file      *logfile.File
	records   []logfile.Record
	discarded bool // it was damaged before its end and was deleted
}

// openLogFile opens the log file in a folder. A file in which synced data is damaged is discarded. An incomplete record at the end, left by a
// crash during a write, is truncated. Both are logged.
func openLogFile(folder string, log *slog.Logger) (openedFile, error) {
	file, records, report, err := logfile.Open(folder, logfile.Limits{})
	var damage *logfile.DamageError
	if errors.As(err, &damage) {
		log.Error("store is damaged and was discarded; starting with an empty one", "folder", folder, "error", err)
		return replaceLogFile(folder)
	}
	if err != nil {
		return openedFile{}, trace.Wrap(err)
	}
	if report.TornKind != "" {
		log.Warn("store ended with an incomplete record, which was truncated", "path", report.Path, "at", report.TornAt, "kind", report.TornKind)
	}
	return openedFile{file: file, records: records}, nil
}

func replaceLogFile(folder string) (openedFile, error) {
	if err := logfile.Discard(folder); err != nil {
		return openedFile{}, trace.Wrap(err)
	}
	file, records, _, err := logfile.Open(folder, logfile.Limits{})
	if err != nil {
		return openedFile{}, trace.Wrap(err)
	}
	return openedFile{file: file, records: records, discarded: true}, nil
}
