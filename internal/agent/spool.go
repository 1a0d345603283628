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
	segmentMost = 256 << 10 // bytes, after which another one is begun
	recordHead  = 4 + 4     // length, checksum
	recordMost  = 1 << 20
)

// errFull tells that the spool holds all that it may: whoever brings more keeps it for now.
var errFull = errors.New("the spool is full")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// spool keeps notices on disk, in their order, until they are handed on. It is a row of segments; one goes once all in it is
// handed on, so that after a restart the first one is handed on again: a notice that comes twice does no harm.
type spool struct {
	dir  string
	most int64
	log  *slog.Logger

	mu     sync.Mutex
	rows   []*segment // the oldest first
	held   int64      // bytes on disk
	file   *os.File   // of the last segment
	signal chan struct{}
	broken error // a write failed: what the last segment holds is not known
}

type segment struct {
	number  uint64
	size    int64
	records [][]byte // not handed on yet
}

func (s *spool) path(n uint64) string { return filepath.Join(s.dir, fmt.Sprintf("finals-%016d", n)) }

// openSpool reads what lies in a folder. What cannot be read of a segment is set aside, and nothing of it is lost from disk.
func openSpool(dir string, most int64, log *slog.Logger) (*spool, error) {
	s := &spool{dir: dir, most: most, log: log, signal: make(chan struct{}, 1)}
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
		data, err := os.ReadFile(s.path(n))
		if err != nil {
			return nil, err
		}
		g := &segment{number: n, size: int64(len(data))}
		var rest []byte
		g.records, rest = records(data)
		if len(rest) > 0 {
			aside := s.path(n) + ".damaged"
			if err := os.WriteFile(aside, rest, 0o600); err != nil {
				return nil, err
			}
			log.Warn("the end of a segment of notices cannot be read and was set aside: a crash cuts the last record, more than that is damage", "file", s.path(n),
				"at", len(data)-len(rest), "bytes", len(rest), "aside", aside)
		}
		s.rows = append(s.rows, g)
		s.held += g.size
	}
	slices.SortFunc(s.rows, func(a, b *segment) int { return int(min(max(int64(a.number)-int64(b.number), -1), 1)) })
	for len(s.rows) > 0 && len(s.rows[0].records) == 0 {
		if err := s.drop(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// records reads a segment up to what cannot be read.
func records(data []byte) (all [][]byte, rest []byte) {
	for len(data) > 0 {
		if len(data) < recordHead {
			return all, data
		}
		n := binary.BigEndian.Uint32(data)
		if n > recordMost || int64(n) > int64(len(data)-recordHead) {
			return all, data
		}
		body := data[recordHead : recordHead+n]
		if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
			return all, data
		}
		all = append(all, body)
		data = data[recordHead+n:]
	}
	return all, nil
}

// add keeps a record. It lasts once add has returned without an error.
func (s *spool) add(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := int64(recordHead + len(body))
	switch {
	case s.broken != nil:
		return s.broken
	case s.held+size > s.most:
		return errFull
	}
	if s.file == nil || s.rows[len(s.rows)-1].size+size > segmentMost {
		if err := s.begin(); err != nil {
			return err
		}
	}
	rec := make([]byte, recordHead, size)
	binary.BigEndian.PutUint32(rec, uint32(len(body)))
	binary.BigEndian.PutUint32(rec[4:], crc32.Checksum(body, castagnoli))
	rec = append(rec, body...)
	_, err := s.file.Write(rec)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil { // what lies there now is not known: another segment, and this one's end is found at the next start
		s.log.Error("a notice could not be kept", "err", err)
		s.rows[len(s.rows)-1].size += size
		s.held += size
		return errors.Join(fmt.Errorf("spool: %w", err), s.end())
	}
	g := s.rows[len(s.rows)-1]
	g.size += size
	g.records = append(g.records, rec[recordHead:])
	s.held += size
	select {
	case s.signal <- struct{}{}:
	default:
	}
	return nil
}

// begin begins a segment.
func (s *spool) begin() error {
	n := uint64(1)
	if len(s.rows) > 0 {
		n = s.rows[len(s.rows)-1].number + 1
	}
	if err := s.end(); err != nil {
		return err
	}
	f, err := os.OpenFile(s.path(n), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	s.file = f
	s.rows = append(s.rows, &segment{number: n})
	d, err := os.Open(s.dir)
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

func (s *spool) end() error {
	if s.file == nil {
		return nil
	}
	f := s.file
	s.file = nil
	return f.Close()
}

// drop removes the oldest segment.
func (s *spool) drop() error {
	g := s.rows[0]
	if len(s.rows) == 1 {
		if err := s.end(); err != nil {
			return err
		}
	}
	if err := os.Remove(s.path(g.number)); err != nil {
		return err
	}
	s.rows, s.held = s.rows[1:], s.held-g.size
	return nil
}

// next returns the oldest records, at least one and up to most bytes; none if there are none.
func (s *spool) next(most int) (all [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A segment whose only write failed has none, and goes with the next one.
	i := slices.IndexFunc(s.rows, func(g *segment) bool { return len(g.records) > 0 })
	if i < 0 {
		return nil
	}
	n := 0
	for _, r := range s.rows[i].records {
		if n += len(r); len(all) > 0 && n > most {
			break
		}
		all = append(all, r)
	}
	return all
}

// done notes that the oldest records were handed on.
func (s *spool) done(n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.rows[0].records) == 0 {
		if err := s.drop(); err != nil {
			return err
		}
	}
	g := s.rows[0]
	g.records = g.records[n:]
	for len(s.rows) > 0 && len(s.rows[0].records) == 0 {
		if err := s.drop(); err != nil {
			return err
		}
	}
	return nil
}

// figures are how many records wait, and their bytes on disk.
func (s *spool) figures() (n int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.rows {
		n += len(g.records)
	}
	return n, s.held
}

func (s *spool) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = errors.New("the spool is closed")
	return s.end()
}
