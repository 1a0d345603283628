package agent

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	maxSegmentBytes   = 256 << 10 // bytes; a record that would exceed it starts a new segment
	recordHeaderBytes = 4 + 4     // length, checksum
	maxRecordBytes    = 1 << 20
)

// errFull is returned when the spool has reached its size limit: the sender must keep its notices and retry.
var errFull = errors.New("the spool is full")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// spool stores notices on disk, in order, until they are forwarded. It consists of segment files. A segment is removed once all its
// records are forwarded, so records of the oldest segment may be forwarded again after a restart: receivers tolerate duplicates.
type spool struct {
	dir      string
	maxBytes int64
	log      *slog.Logger

	mu        sync.Mutex
	segments  []*segment    // the oldest first
	diskBytes int64         // total size of the segments
	file      *os.File      // last segment, if open for writing
	added     chan struct{} // receives a value after records were added
	closedErr error         // set once the spool is closed
}

// segment is one file of the spool.
type segment struct {
	number  uint64
	size    int64
	pending [][]byte // records not forwarded yet
}

func (s *spool) segmentPath(n uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("finals-%016d", n))
}

// openSpool reads the segments in a folder. Unreadable bytes at the end of a segment are copied to a file with the suffix .damaged.
func openSpool(dir string, maxBytes int64, log *slog.Logger) (*spool, error) {
	s := &spool{dir: dir, maxBytes: maxBytes, log: log, added: make(chan struct{}, 1)}
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, d := range names {
		text, ok := strings.CutPrefix(d.Name(), "finals-")
		n, err := strconv.ParseUint(text, 10, 64)
		if !ok || err != nil || len(text) != 16 {
			continue
		}
		data, err := os.ReadFile(s.segmentPath(n))
		if err != nil {
			return nil, err
		}
		g := &segment{number: n, size: int64(len(data))}
		var rest []byte
		g.pending, rest = parseRecords(data)
		if len(rest) > 0 {
			damagedPath := s.segmentPath(n) + ".damaged"
			if err := os.WriteFile(damagedPath, rest, 0o600); err != nil {
				return nil, err
			}
			log.Warn("the end of a notice segment is unreadable and was copied; a crash can cut off the last record, anything more is damage",
				"file", s.segmentPath(n),
				"at", len(data)-len(rest), "bytes", len(rest), "aside", damagedPath)
		}
		s.segments = append(s.segments, g)
		s.diskBytes += g.size
	}
	slices.SortFunc(s.segments, func(a, b *segment) int { return int(min(max(int64(a.number)-int64(b.number), -1), 1)) })
	for len(s.segments) > 0 && len(s.segments[0].pending) == 0 {
		if err := s.removeOldestSegment(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// parseRecords returns the records of a segment, and the rest from the first unreadable record on.
func parseRecords(data []byte) (all [][]byte, rest []byte) {
	for len(data) > 0 {
		if len(data) < recordHeaderBytes {
			return all, data
		}
		n := binary.BigEndian.Uint32(data)
		if n > maxRecordBytes || int64(n) > int64(len(data)-recordHeaderBytes) {
			return all, data
		}
		body := data[recordHeaderBytes : recordHeaderBytes+n]
		if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
			return all, data
		}
		all = append(all, body)
		data = data[recordHeaderBytes+n:]
	}
	return all, nil
}

// add appends a record. It is durable once add returns without an error.
func (s *spool) add(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(recordHeaderBytes + len(body))
	switch {
	case s.closedErr != nil:
		return s.closedErr
	case s.diskBytes+size > s.maxBytes:
		return errFull
	}
	if s.file == nil || s.segments[len(s.segments)-1].size+size > maxSegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	rec := make([]byte, recordHeaderBytes, size)
	binary.BigEndian.PutUint32(rec, uint32(len(body)))
	binary.BigEndian.PutUint32(rec[4:], crc32.Checksum(body, castagnoli))
	rec = append(rec, body...)
	_, err := s.file.Write(rec)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil { // the file's end is now unknown: continue in a new segment; the next start finds where this one ends
		s.log.Error("writing a notice failed", "err", err)
		s.segments[len(s.segments)-1].size += size
		s.diskBytes += size
		return errors.Join(fmt.Errorf("spool: %w", err), s.closeSegment())
	}
	g := s.segments[len(s.segments)-1]
	g.size += size
	g.pending = append(g.pending, rec[recordHeaderBytes:])
	s.diskBytes += size
	select {
	case s.added <- struct{}{}:
	default:
	}
	return nil
}

// startSegment closes the current segment and creates the next one.
func (s *spool) startSegment() error {
	n := uint64(1)
	if len(s.segments) > 0 {
		n = s.segments[len(s.segments)-1].number + 1
	}
	if err := s.closeSegment(); err != nil {
		return err
	}
	f, err := os.OpenFile(s.segmentPath(n), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	s.file = f
	s.segments = append(s.segments, &segment{number: n})
	d, err := os.Open(s.dir)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// closeSegment closes the file of the last segment.
func (s *spool) closeSegment() error {
	if s.file == nil {
		return nil
	}
	f := s.file
	s.file = nil
	return f.Close()
}

// removeOldestSegment deletes the oldest segment and its file.
func (s *spool) removeOldestSegment() error {
	g := s.segments[0]
	if len(s.segments) == 1 {
		if err := s.closeSegment(); err != nil {
			return err
		}
	}
	if err := os.Remove(s.segmentPath(g.number)); err != nil {
		return err
	}
	s.segments, s.diskBytes = s.segments[1:], s.diskBytes-g.size
	return nil
}

// next returns the oldest records of one segment: up to maxBytes, but at least one if there are any.
func (s *spool) next(maxBytes int) (all [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A segment whose only write failed has no records; it is removed together with the next one.
	i := slices.IndexFunc(s.segments, func(g *segment) bool { return len(g.pending) > 0 })
	if i < 0 {
		return nil
	}
	n := 0
	for _, r := range s.segments[i].pending {
		if n += len(r); len(all) > 0 && n > maxBytes {
			break
		}
		all = append(all, r)
	}
	return all
}

// acknowledge removes the n oldest records after they were forwarded.
func (s *spool) acknowledge(n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.segments[0].pending) == 0 {
		if err := s.removeOldestSegment(); err != nil {
			return err
		}
	}
	g := s.segments[0]
	g.pending = g.pending[n:]
	for len(s.segments) > 0 && len(s.segments[0].pending) == 0 {
		if err := s.removeOldestSegment(); err != nil {
			return err
		}
	}
	return nil
}

// stats returns the number of waiting records and the size of the spool on disk.
func (s *spool) stats() (n int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.segments {
		n += len(g.pending)
	}
	return n, s.diskBytes
}

func (s *spool) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedErr = errors.New("the spool is closed")
	return s.closeSegment()
}
