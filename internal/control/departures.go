package control

import (
	"time"

	"wallflow/internal/chain"
	"wallflow/internal/logfile"
	"wallflow/internal/registry"
)

const (
	// departuresFolder is the folder of the departures file within the data folder of the process.
	departuresFolder = "departures"
	// recordDeparture is the type of the records in the departures file.
	recordDeparture logfile.RecordType = 1
	// minRecordsToCompact is the number of records from which the file is rewritten without those that are no longer needed.
	minRecordsToCompact = 256
	// departureRetryInterval is the time between two tries to write after a failure.
	departureRetryInterval = time.Second
)

// departureLog writes the departures of endpoints to disk: they are acknowledged, and would be forgotten if all control processes were killed
// at once. One write is under way at a time; what is reported meanwhile goes into the next one. It is guarded by the lock of the process.
type departureLog struct {
	disk    disk // executes the writes in order, and reports each to departuresWritten
	waiting []registry.Departure
	writing []registry.Departure // of the write under way
	busy    bool                 // a write is under way
	token   uint64               // of the last write
	records int                  // in the file
	failed  bool                 // the last write failed, so that the file has to be rewritten
	retryAt time.Time            // no write before that
}

// restoreDepartures passes the departures that were found on disk to the instance table, and to the feed, which has no subscribers yet.
func (p *Process) restoreDepartures(now time.Time, records []logfile.Record) {
	for _, record := range records {
		if err := p.instances.Restore(now, record.Payload); err != nil {
			p.log.Warn("departure on disk was not read", "error", err)
		}
	}
	p.departures.records = len(records)
	p.feed.SetInstances(now, p.instances.Instances())
}

// saveDepartures has the departures written that are not on disk, unless a write is under way.
func (p *Process) saveDepartures(now time.Time) {
	log := &p.departures
	log.waiting = append(log.waiting, p.instances.TakeUnsaved(now)...)
	if log.busy || now.Before(log.retryAt) {
		return
	}
	if !log.failed && len(log.waiting) == 0 {
		return
	}
	if !log.failed && log.records < minRecordsToCompact {
		log.write(log.waiting, false)
		return
	}
	all := p.instances.Departures(now)
	switch {
	case len(all) == 0: // they have been forgotten meanwhile
		log.waiting = nil
	case log.failed || 2*len(all) <= log.records:
		log.write(all, true)
	default:
		log.write(log.waiting, false)
	}
}

// write starts a write. A rewrite replaces the file, and has to contain all departures.
func (l *departureLog) write(departures []registry.Departure, rewrite bool) {
	l.busy, l.writing, l.waiting = true, departures, nil
	l.token++
	write := chain.Write{Token: l.token, Rewrite: rewrite}
	for _, departure := range departures {
		write.Records = append(write.Records, logfile.Record{Type: recordDeparture, Payload: departure.Encoded})
	}
	if rewrite {
		l.records = 0
	}
	l.records += len(departures)
	l.disk.add(write)
}

// departuresWritten handles the completion of a write of departures. After a failure all of them are written anew.
func (p *Process) departuresWritten(_ uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	log := &p.departures
	written := log.writing
	log.busy, log.writing = false, nil
	if err != nil {
		if !log.failed {
			p.log.Error("write of departures failed", "error", err)
		}
		log.failed, log.retryAt = true, now.Add(departureRetryInterval)
		return
	}
	if log.failed {
		p.log.Info("departures are written again")
	}
	log.failed = false
	p.sendRegistry(p.instances.Saved(written))
	p.replicationWaits.complete(p.instances.TakeCommitted())
	p.saveDepartures(now)
}
