// Package wal is the relay's write-ahead log. It records which messages were accepted, which attempts were sent and which
// messages have ended, in one file of the state folder, for the next process. The file is not synced: what was written
// survives SIGKILL, and is lost only with the machine, in which case other relays take the work over. Times are wall-clock
// times, because a monotonic clock means nothing to another process.
package wal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// ErrFull is returned when the log has no room for new messages. Outcomes and ends of accepted messages still fit.
var ErrFull = errors.New("wal: no room for new messages")

// Message is an accepted message and the progress of its delivery as recorded in the log.
type Message struct {
	ID       uint32 // the number of the message in the log
	Trace    string // the trace ID that the client gave
	Key      string // idempotency key; "" if none
	Order    string // ordering key: messages with the same key are delivered in order; "" if none
	Terms    uint32 // number of the terms that apply to the message; 0 in logs of versions without terms
	Class    int    `json:",omitempty"` // in logs without terms: index of the class in the configuration
	Policy   int64  `json:",omitempty"` // number of the fleet policy under which the message was accepted; 0: none
	Customer int
	Dest     int
	Deadline time.Time
	Body     []byte `json:"-"`

	Attempts int       // number of attempts so far
	MayRun   []Attempt // attempts that may have taken effect: no outcome yet, or one that does not rule it out
	Final    *Final    // the notice that ends the message, once decided
}

// Terms are the delivery rules of a message class. The log stores Rules without interpreting them.
type Terms struct {
	Name  string // name of the class
	Rules json.RawMessage
}

func (t Terms) equal(o Terms) bool { return t.Name == o.Name && string(t.Rules) == string(o.Rules) }

// Attempt is one attempt to deliver a message to a host.
type Attempt struct {
	N    int // number of the attempt among those of its message, from 0
	Host string
	Zone int
	At   time.Time // when it was sent
}

// Final is the notice to the client that ends an undelivered message.
type Final struct {
	Deferred bool          // the client can safely submit the message again
	Again    time.Duration // advised delay before that
}

// Send is an attempt that is about to be made for a message.
type Send struct {
	Message *Message
	Attempt Attempt
}

// Suspicion records that a host is suspected of an outage, or is recovering from one. Traffic to such a host is limited, also
// after a restart of the relay.
type Suspicion struct {
	Host   string
	Slight bool      `json:",omitempty"` // the suspicion rests on a single failure
	Back   time.Time // first delivery after the outage; zero: none yet
	Over   bool      `json:",omitempty"` // the suspicion has ended
}

// recoveryTimeTolerance is the largest difference at which two values of Back count as equal. They differ slightly because
// each is computed from the time elapsed since.
const recoveryTimeTolerance = time.Second / 2

// equal reports whether both describe the same state of a host.
func (d Suspicion) equal(o Suspicion) bool {
	sameRecovery := d.Back.IsZero() == o.Back.IsZero() && d.Back.Sub(o.Back).Abs() < recoveryTimeTolerance
	return d.Host == o.Host && d.Slight == o.Slight && sameRecovery
}

// Recovery is the state that Open read from the log.
type Recovery struct {
	Messages   []*Message  // unfinished messages in the order in which they were accepted
	Suspicions []Suspicion // sorted by host
	// Damaged reports that records before the last one were unreadable: attempts may be missing from the messages.
	Damaged bool
	// Unreadable is the number of bytes skipped: damaged records, a torn tail, or the content of a foreign file.
	Unreadable int64
}

// The values of record.Kind.
const (
	recAccept byte = iota + 1
	recSend
	recOutcome
	recFinal
	recEnd
	recTerms
	recSuspicion
)

const (
	logFileName  = "wal.log"
	tempFileName = "wal.tmp"

	magic         = 0xC7A1
	headerSize    = 10      // bytes: magic, length, checksum
	blockSize     = 512     // bytes: allocation unit of the disk
	maxRecordSize = 1 << 20 // bytes; the record of a message is far smaller

	// Fractions of the disk limit: how much the unfinished messages may take, and the file size above which the log is
	// compacted. During compaction the old and the new file exist side by side and both must fit, so the sum stays below 1
	// by more than the size of a batch.
	maxLiveFraction    = 0.36
	compactionFraction = 0.5
)

// record is the JSON part of a log record. The message body follows it as raw bytes.
type record struct {
	Kind    byte       // one of the rec constants
	ID      uint32     // of the message; the number of the terms in a recTerms record
	Message *Message   `json:",omitempty"` // of recAccept
	Attempt *Attempt   `json:",omitempty"` // of recSend
	N       int        `json:",omitempty"` // of recOutcome: the attempt that had no effect
	Final   *Final     `json:",omitempty"` // of recFinal
	Terms   *Terms     `json:",omitempty"` // of recTerms
	Doubt   *Suspicion `json:",omitempty"` // of recSuspicion
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir             string
	limit           int64 // disk limit in bytes
	file            *os.File
	size            int64                // size of the file in bytes; all of it is readable records
	live            map[uint32]*Message  // unfinished messages by ID
	terms           map[uint32]Terms     // by number: the current terms and those that a message may refer to
	currentTerms    []uint32             // numbers of the terms for new messages
	lastTermsNumber uint32               // highest number assigned so far
	liveBytes       int64                // estimated size of the live messages in a compacted file
	unwritten       []byte               // encoded records that are not in the file yet
	suspicions      map[string]Suspicion // by host
}

// Open reads the log in dir, or creates one. The log uses at most limit bytes of disk space.
func Open(dir string, limit int64) (*Log, Recovery, error) {
	l := &Log{dir: dir, limit: limit, live: map[uint32]*Message{}, terms: map[uint32]Terms{}, suspicions: map[string]Suspicion{}}
	// A crash during compaction leaves the old file complete and the new one partly written.
	if err := os.Remove(filepath.Join(dir, tempFileName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	path := filepath.Join(dir, logFileName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	end, unreadable, damaged := l.replay(data)
	l.file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("wal: %w", err)
	}
	// Remove a torn tail before appending: records behind it could not be distinguished from it.
	if err := l.file.Truncate(end); err != nil {
		l.file.Close()
		return nil, Recovery{}, fmt.Errorf("wal: truncate the torn tail: %w", err)
	}
	l.size = end
	return l, Recovery{Messages: l.liveMessages(), Suspicions: l.sortedSuspicions(), Damaged: damaged, Unreadable: unreadable}, nil
}

// Close writes the buffered records and closes the file.
func (l *Log) Close() error { return errors.Join(l.Flush(), l.file.Close()) }

// IsUnfinished reports whether m is unfinished.
func (l *Log) IsUnfinished(m *Message) bool { return l.live[m.ID] != nil }

// SetTerms replaces the current terms and returns the numbers of the new ones. Terms that are already known keep their number.
// New terms are written to the file before the first message that refers to them.
func (l *Log) SetTerms(allTerms []Terms) []uint32 {
	numbers := make([]uint32, 0, len(allTerms))
	for _, t := range allTerms {
		n := uint32(0)
		for number, known := range l.terms {
			if known.equal(t) && (n == 0 || number < n) {
				n = number
			}
		}
		if n == 0 {
			l.lastTermsNumber++
			n = l.lastTermsNumber
			l.terms[n] = t
			l.unwritten = appendRecord(l.unwritten, record{Kind: recTerms, ID: n, Terms: &t}, nil)
		}
		numbers = append(numbers, n)
	}
	l.currentTerms = numbers
	return numbers
}

// TermsOf returns the terms that apply to a message, or false if the log does not have them.
func (l *Log) TermsOf(m *Message) (Terms, bool) {
	t, ok := l.terms[m.Terms]
	return t, ok
}

// Accept records that the messages are accepted, all or none of them. After ErrFull none of them is in the log.
func (l *Log) Accept(ms ...*Message) error {
	var buf []byte
	for _, m := range ms {
		buf = appendRecord(buf, record{Kind: recAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.liveBytes+int64(len(buf)) > l.fractionOfLimit(maxLiveFraction) {
		return ErrFull
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, m := range ms {
		l.live[m.ID] = m
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

// RecordSends records attempts, all or none of them. It must be called before the first byte of any of them is sent.
func (l *Log) RecordSends(sends ...Send) error {
	var buf []byte
	for _, s := range sends {
		buf = appendRecord(buf, record{Kind: recSend, ID: s.Message.ID, Attempt: &s.Attempt}, nil)
	}
	if err := l.write(buf); err != nil {
		return err
	}
	for _, s := range sends {
		l.liveBytes -= estimatedSize(s.Message)
		s.Message.addAttempt(s.Attempt)
		l.liveBytes += estimatedSize(s.Message)
	}
	return nil
}

// SetSuspicions replaces the recorded suspicions by the current ones. It buffers a record for each change.
func (l *Log) SetSuspicions(current []Suspicion) {
	suspected := map[string]bool{}
	for _, d := range current {
		suspected[d.Host] = true
		if known, ok := l.suspicions[d.Host]; !ok || !known.equal(d) {
			l.suspicions[d.Host] = d
			l.unwritten = appendRecord(l.unwritten, record{Kind: recSuspicion, Doubt: &d}, nil)
		}
	}
	for _, d := range l.sortedSuspicions() {
		if !suspected[d.Host] {
			delete(l.suspicions, d.Host)
			l.unwritten = appendRecord(l.unwritten, record{Kind: recSuspicion, Doubt: &Suspicion{Host: d.Host, Over: true}}, nil)
		}
	}
}

// sortedSuspicions returns the current suspicions sorted by host.
func (l *Log) sortedSuspicions() []Suspicion {
	sorted := slices.Collect(maps.Values(l.suspicions))
	slices.SortFunc(sorted, func(a, b Suspicion) int { return strings.Compare(a.Host, b.Host) })
	return sorted
}

// RecordNeverRan buffers a record that attempt n is known to have had no effect. Other outcomes need no record: after a restart the
// attempt is treated as one that may have taken effect.
func (l *Log) RecordNeverRan(m *Message, n int) {
	if l.live[m.ID] == nil {
		return
	}
	l.liveBytes -= estimatedSize(m)
	m.removeAttempt(n)
	l.liveBytes += estimatedSize(m)
	l.unwritten = appendRecord(l.unwritten, record{Kind: recOutcome, ID: m.ID, N: n}, nil)
}

// RecordFinal buffers a record of the notice that will end m.
func (l *Log) RecordFinal(m *Message, f Final) {
	if l.live[m.ID] == nil {
		return
	}
	m.Final = &f
	l.unwritten = appendRecord(l.unwritten, record{Kind: recFinal, ID: m.ID, Final: &f}, nil)
}

// RecordEnd buffers a record that m is finished.
func (l *Log) RecordEnd(m *Message) {
	if l.live[m.ID] == nil {
		return
	}
	delete(l.live, m.ID)
	l.liveBytes -= estimatedSize(m)
	l.unwritten = appendRecord(l.unwritten, record{Kind: recEnd, ID: m.ID}, nil)
}

// Flush writes the buffered records. After an error they stay buffered for the next write.
func (l *Log) Flush() error {
	if len(l.unwritten) == 0 {
		return nil
	}
	return l.write(nil)
}

// write appends the buffered records and buf to the file in one write. After an error the buffered records are kept, buf is
// not.
func (l *Log) write(buf []byte) error {
	data := append(l.unwritten, buf...)
	if l.size+int64(len(data)) > l.fractionOfLimit(compactionFraction) {
		// The compacted file includes the effect of the buffered records, so they need not be written. If the
		// compaction fails, the rest of the disk limit is used.
		if err := l.compact(); err == nil {
			data = append(data[:0], buf...)
		}
	}
	if len(data) == 0 {
		return nil
	}
	if l.size+int64(len(data)) > l.limit-2*blockSize {
		return ErrFull
	}
	if _, err := l.file.WriteAt(data, l.size); err != nil {
		// Remove what may have been written, so that later records do not follow a torn one.
		return errors.Join(fmt.Errorf("wal: %w", err), l.file.Truncate(l.size))
	}
	l.size += int64(len(data))
	l.unwritten = l.unwritten[:0]
	return nil
}

// compact replaces the log file by one that holds only the live messages, their terms, the current terms and suspicions.
func (l *Log) compact() error {
	var buf []byte
	terms := map[uint32]Terms{}
	keepTerms := func(n uint32) {
		t, ok := l.terms[n]
		if _, kept := terms[n]; ok && !kept {
			terms[n] = t
			buf = appendRecord(buf, record{Kind: recTerms, ID: n, Terms: &t}, nil)
		}
	}
	for _, n := range l.currentTerms {
		keepTerms(n)
	}
	for _, d := range l.sortedSuspicions() {
		buf = appendRecord(buf, record{Kind: recSuspicion, Doubt: &d}, nil)
	}
	for _, m := range l.liveMessages() {
		keepTerms(m.Terms)
		buf = appendRecord(buf, record{Kind: recAccept, ID: m.ID, Message: m}, m.Body)
	}
	if l.size+int64(len(buf))+4*blockSize > l.limit {
		return ErrFull
	}
	temp := filepath.Join(l.dir, tempFileName)
	f, err := os.OpenFile(temp, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("wal: compact: %w", err)
	}
	if _, err = f.Write(buf); err == nil {
		err = os.Rename(temp, filepath.Join(l.dir, logFileName)) // atomic: a crash leaves either file complete
	}
	if err != nil {
		return errors.Join(fmt.Errorf("wal: compact: %w", err), f.Close(), os.Remove(temp))
	}
	l.file.Close()
	l.terms = terms
	l.file, l.size, l.unwritten, l.liveBytes = f, int64(len(buf)), l.unwritten[:0], 0
	for _, m := range l.live {
		l.liveBytes += estimatedSize(m)
	}
	return nil
}

// fractionOfLimit returns a fraction of the disk limit in bytes.
func (l *Log) fractionOfLimit(fraction float64) int64 { return int64(fraction * float64(l.limit)) }

// liveMessages returns the unfinished messages in the order in which they were accepted.
func (l *Log) liveMessages() []*Message {
	ms := make([]*Message, 0, len(l.live))
	for _, m := range l.live {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Message) int { return int(int64(a.ID) - int64(b.ID)) })
	return ms
}

// estimatedSize returns an upper estimate, in bytes, of the record of m in a compacted file.
func estimatedSize(m *Message) int64 {
	n := 280 + len(m.Body) + len(m.Trace) + len(m.Key) + len(m.Order)
	for _, a := range m.MayRun {
		n += 80 + len(a.Host)
	}
	return int64(n)
}

// addAttempt adds an attempt that may take effect.
func (m *Message) addAttempt(a Attempt) {
	m.Attempts = max(m.Attempts, a.N+1)
	m.MayRun = append(m.MayRun, a)
}

// removeAttempt removes attempt n from those that may have taken effect. It still counts in Attempts.
func (m *Message) removeAttempt(n int) {
	m.MayRun = slices.DeleteFunc(m.MayRun, func(a Attempt) bool { return a.N == n })
}

// replay applies the records in data and skips what it cannot read. It returns the offset behind the last readable record, the
// number of skipped bytes, and whether some of them lie before that offset.
func (l *Log) replay(data []byte) (end, unreadable int64, damaged bool) {
	for offset := 0; offset < len(data); {
		rec, body, n := readRecord(data[offset:])
		if n == 0 {
			offset++ // search for the next record, which a damaged one must not hide
			unreadable++
			continue
		}
		if int64(offset) != end {
			damaged = true
		}
		offset += n
		end = int64(offset)
		l.apply(rec, body)
	}
	return end, unreadable, damaged
}

// apply applies one record to the state.
func (l *Log) apply(rec record, body []byte) {
	m := l.live[rec.ID]
	switch {
	case rec.Kind == recTerms: // its ID is the number of the terms
		if rec.Terms != nil {
			l.terms[rec.ID] = *rec.Terms
			l.lastTermsNumber = max(l.lastTermsNumber, rec.ID)
		}
		return
	case rec.Kind == recSuspicion:
		if d := rec.Doubt; d != nil && d.Over {
			delete(l.suspicions, d.Host)
		} else if d != nil {
			l.suspicions[d.Host] = *d
		}
		return
	case rec.Kind == recAccept && rec.Message != nil:
		m = rec.Message
		m.ID, m.Body = rec.ID, slices.Clone(body)
		l.live[m.ID] = m
		l.liveBytes += estimatedSize(m)
		return
	case m == nil:
		return // the record of its acceptance is unreadable, or it has ended
	}
	l.liveBytes -= estimatedSize(m)
	switch {
	case rec.Kind == recSend && rec.Attempt != nil:
		m.addAttempt(*rec.Attempt)
	case rec.Kind == recOutcome:
		m.removeAttempt(rec.N)
	case rec.Kind == recFinal && rec.Final != nil:
		m.Final = rec.Final
	case rec.Kind == recEnd:
		delete(l.live, m.ID)
		return
	}
	l.liveBytes += estimatedSize(m)
}

// appendRecord appends an encoded record to buf: magic, payload length and checksum, then the payload, which is the length of
// the JSON part, the JSON part and the body.
func appendRecord(buf []byte, rec record, body []byte) []byte {
	encoded, err := json.Marshal(rec)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	start := len(buf)
	buf = append(buf, make([]byte, headerSize)...)
	buf = binary.AppendUvarint(buf, uint64(len(encoded)))
	buf = append(buf, encoded...)
	buf = append(buf, body...)
	payload := buf[start+headerSize:]
	binary.LittleEndian.PutUint16(buf[start:], magic)
	binary.LittleEndian.PutUint32(buf[start+2:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+6:], crc32.ChecksumIEEE(payload))
	return buf
}

// readRecord decodes the record at the start of data and returns its size n, which is 0 if there is no complete, valid record.
func readRecord(data []byte) (rec record, body []byte, n int) {
	if len(data) < headerSize || binary.LittleEndian.Uint16(data) != magic {
		return rec, nil, 0
	}
	size := int64(binary.LittleEndian.Uint32(data[2:]))
	if size > maxRecordSize || size > int64(len(data)-headerSize) {
		return rec, nil, 0
	}
	payload := data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[6:]) {
		return rec, nil, 0
	}
	jsonSize, prefixSize := binary.Uvarint(payload)
	if prefixSize <= 0 || jsonSize > uint64(len(payload)-prefixSize) {
		return rec, nil, 0
	}
	payload = payload[prefixSize:]
	if json.Unmarshal(payload[:jsonSize], &rec) != nil {
		return rec, nil, 0
	}
	return rec, payload[jsonSize:], headerSize + int(size)
}
