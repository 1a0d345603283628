package control

import (
	"errors"
	"log/slog"

	"github.com/gravitational/trace"

	"wallflow/internal/logfile"
)

// openedStore is the log of the chain as it was found.
type openedStore struct {
	file      *logfile.File
	records   []logfile.Record
	discarded bool // what was there was damaged before its end: the process joins as an empty one
}

// openStore opens the log of the chain in a folder. One in which something synced is damaged is thrown away, since its votes and
// entries can't be trusted any more: the process joins with an empty store and a new identity, and says so.
func openStore(directory string, log *slog.Logger) (openedStore, error) {
	file, records, report, err := logfile.Open(directory, logfile.Limits{})
	var damage *logfile.DamageError
	if errors.As(err, &damage) {
		log.Error("store is damaged and thrown away; joining with an empty one", "error", err)
		return replaceStore(directory)
	}
	if err != nil {
		return openedStore{}, trace.Wrap(err)
	}
	if report.TornKind != "" {
		log.Warn("store had a torn tail, which was cut off", "path", report.Path, "at", report.TornAt, "kind", report.TornKind)
	}
	return openedStore{file: file, records: records}, nil
}

func replaceStore(directory string) (openedStore, error) {
	if err := logfile.Discard(directory); err != nil {
		return openedStore{}, trace.Wrap(err)
	}
	file, records, _, err := logfile.Open(directory, logfile.Limits{})
	if err != nil {
		return openedStore{}, trace.Wrap(err)
	}
	return openedStore{file: file, records: records, discarded: true}, nil
}
