package wal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const largeLimit = 3_000_000

var testTime = time.Date(2026, 11, 29, 12, 0, 0, 0, time.UTC)

func open(t *testing.T, dir string, limit int64) (*Log, Recovery) {
	t.Helper()
	l, found, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.file.Close() })
	return l, found
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newMessage(id uint32) *Message {
	return &Message{
		ID: id, Trace: fmt.Sprintf("trace-%d", id), Key: fmt.Sprintf("key-%d", id), Dest: 7, Customer: 1,
		Deadline: testTime.Add(time.Duration(id) * time.Second), Body: []byte{0, 'b', '\n', byte(id)},
	}
}

// recoveredIDs lists the IDs of the recovered messages, each followed by a space.
func recoveredIDs(found Recovery) string {
	text := ""
	for _, m := range found.Messages {
		text += fmt.Sprint(m.ID, " ")
	}
	return text
}

// diskUsage returns the disk space of the folder in bytes, with each file rounded up to whole blocks.
func diskUsage(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	must(t, err)
	sum := int64(0)
	for _, e := range entries {
		info, err := e.Info()
		must(t, err)
		sum += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return sum
}

func TestUnfinishedMessagesAreRecovered(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, largeLimit)
	delivered, refused, pending, accepted := newMessage(1), newMessage(2), newMessage(3), newMessage(4)
	must(t, l.Accept(delivered, refused, pending, accepted))
	first := Attempt{N: 0, Host: "s-1", Zone: 1, At: testTime}
	must(t, l.RecordSends(Send{delivered, first}, Send{pending, first}))
	l.RecordNeverRan(pending, 0)
	second := Attempt{N: 1, Host: "s-2", Zone: 1, At: testTime.Add(time.Second)}
	must(t, l.RecordSends(Send{pending, second}))
	l.RecordEnd(delivered)
	l.RecordFinal(refused, Final{Deferred: true, Again: 700 * time.Millisecond})
	must(t, l.Flush())

	// No Close: the process was killed.
	_, found := open(t, dir, largeLimit)
	if got := recoveredIDs(found); got != "2 3 4 " || found.Damaged {
		t.Fatalf("found %q, damaged %v", got, found.Damaged)
	}
	refusedFound, pendingFound, acceptedFound := found.Messages[0], found.Messages[1], found.Messages[2]
	if refusedFound.Final == nil || !refusedFound.Final.Deferred || refusedFound.Final.Again != 700*time.Millisecond {
		t.Errorf("recovered notice: %+v", refusedFound.Final)
	}
	// Both attempts count, but only the second may have taken effect.
	if pendingFound.Attempts != 2 || len(pendingFound.MayRun) != 1 || pendingFound.MayRun[0].N != 1 || pendingFound.MayRun[0].Zone != 1 ||
		!pendingFound.MayRun[0].At.Equal(second.At) {
		t.Errorf("attempts of the message in flight: %d, %+v", pendingFound.Attempts, pendingFound.MayRun)
	}
	if acceptedFound.Trace != accepted.Trace || acceptedFound.Key != accepted.Key || acceptedFound.Dest != 7 || acceptedFound.Customer != 1 ||
		!acceptedFound.Deadline.Equal(accepted.Deadline) || !bytes.Equal(acceptedFound.Body, accepted.Body) {
		t.Errorf("accepted %+v, recovered %+v", accepted, acceptedFound)
	}
}

func TestTornTailIsDropped(t *testing.T) {
	source := t.TempDir()
	l, _ := open(t, source, largeLimit)
	must(t, l.Accept(newMessage(1)))
	firstEnd := l.size
	must(t, l.Accept(newMessage(2)))
	data, err := os.ReadFile(filepath.Join(source, logFileName))
	must(t, err)
	for cut := firstEnd; cut < int64(len(data)); cut++ {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, logFileName), data[:cut], 0o600))
		l, found := open(t, dir, largeLimit)
		if got := recoveredIDs(found); got != "1 " || found.Damaged || found.Unreadable != cut-firstEnd {
			t.Fatalf("cut at %d: found %q, damaged %v, %d bytes unreadable", cut, got, found.Damaged, found.Unreadable)
		}
		must(t, l.Accept(newMessage(3)))
		if _, found := open(t, dir, largeLimit); recoveredIDs(found) != "1 3 " {
			t.Fatalf("cut at %d: found %q after another message was appended", cut, recoveredIDs(found))
		}
	}
}

func TestDamagedRecordDoesNotHideLaterRecords(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, largeLimit)
	must(t, l.Accept(newMessage(1)))
	firstEnd := l.size
	must(t, l.Accept(newMessage(2)))
	secondEnd := l.size
	must(t, l.Accept(newMessage(3)))
	data, err := os.ReadFile(filepath.Join(dir, logFileName))
	must(t, err)
	for offset := firstEnd; offset < secondEnd; offset++ {
		damaged := bytes.Clone(data)
		damaged[offset] ^= 0x55
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, logFileName), damaged, 0o600))
		if _, found := open(t, dir, largeLimit); recoveredIDs(found) != "1 3 " || !found.Damaged {
			t.Fatalf("byte %d damaged: found %q, damaged %v", offset, recoveredIDs(found), found.Damaged)
		}
	}
}

func TestOpenAcceptsCorruptedFiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	source := t.TempDir()
	l, _ := open(t, source, largeLimit)
	for i := range uint32(20) {
		must(t, l.Accept(newMessage(i)))
		must(t, l.RecordSends(Send{l.live[i], Attempt{Host: "s-1", At: testTime}}))
	}
	data, err := os.ReadFile(filepath.Join(source, logFileName))
	must(t, err)
	for range 300 {
		damaged := bytes.Clone(data)
		for range 1 + rng.IntN(8) {
			damaged[rng.IntN(len(damaged))] = byte(rng.Uint32())
		}
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, logFileName), damaged[:rng.IntN(len(damaged))], 0o600))
		l, found := open(t, dir, largeLimit)
		before := len(found.Messages)
		must(t, l.Accept(newMessage(1000)))
		if _, found := open(t, dir, largeLimit); len(found.Messages) != before+1 {
			t.Fatalf("recovered %d messages, then %d after one more was accepted", before, len(found.Messages))
		}
		l.file.Close()
	}
}

// During a compaction the old and the new file exist side by side. Together they stay within the disk limit.
func TestDiskLimitIsKept(t *testing.T) {
	const limit = 100_000
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	compactions := 0
	var unfinished []*Message
	for i := range uint32(4000) {
		m := newMessage(i)
		sizeBefore := l.size
		must(t, l.Accept(m))
		must(t, l.RecordSends(Send{m, Attempt{Host: "s-5be2a07c", At: testTime}}))
		if unfinished = append(unfinished, m); len(unfinished) > 20 {
			l.RecordEnd(unfinished[0])
			unfinished = unfinished[1:]
			must(t, l.Flush())
		}
		if l.size < sizeBefore {
			compactions++
			// sizeBefore is the size of the old file while the new one was written.
			if sum := sizeBefore + l.size + 4*blockSize; sum > limit {
				t.Fatalf("%d bytes on disk during a compaction", sum)
			}
		}
		if got := diskUsage(t, dir); got > limit*6/10 {
			t.Fatalf("%d bytes on disk", got)
		}
	}
	if compactions < 10 {
		t.Errorf("%d compactions", compactions)
	}
	if _, found := open(t, dir, limit); len(found.Messages) != len(unfinished) || len(found.Messages[0].MayRun) != 1 {
		t.Errorf("%d unfinished messages, %d recovered", len(unfinished), len(found.Messages))
	}
}

func TestCrashDuringCompactionLosesNothing(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, largeLimit)
	must(t, l.Accept(newMessage(1), newMessage(2)))
	data, err := os.ReadFile(filepath.Join(dir, logFileName))
	must(t, err)
	must(t, os.WriteFile(filepath.Join(dir, tempFileName), data[:len(data)/2], 0o600))
	if _, found := open(t, dir, largeLimit); recoveredIDs(found) != "1 2 " {
		t.Errorf("found %q", recoveredIDs(found))
	}
	if _, err := os.Stat(filepath.Join(dir, tempFileName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the partly written file was not removed: %v", err)
	}
}

func TestFullLogRefusesOnlyNewMessages(t *testing.T) {
	const limit = 50_000
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	var unfinished []*Message
	var err error
	for i := uint32(0); err == nil; i++ {
		m := newMessage(i)
		m.Body = make([]byte, 1000)
		if err = l.Accept(m); err == nil {
			unfinished = append(unfinished, m)
		}
	}
	if !errors.Is(err, ErrFull) || len(unfinished) < 5 {
		t.Fatalf("%d accepted, then %v", len(unfinished), err)
	}
	for round := range 4 { // accepted messages can still be sent several times and ended
		for _, m := range unfinished {
			must(t, l.RecordSends(Send{m, Attempt{N: round, Host: "s-5be2a07c", At: testTime}}))
			l.RecordNeverRan(m, round)
		}
	}
	for _, m := range unfinished {
		l.RecordEnd(m)
		must(t, l.Flush())
	}
	must(t, l.Accept(newMessage(9999)))
	if _, found := open(t, dir, limit); recoveredIDs(found) != "9999 " {
		t.Errorf("found %q", recoveredIDs(found))
	}
	if got := diskUsage(t, dir); got > limit {
		t.Errorf("%d bytes on disk", got)
	}
}

func TestFailedWriteIsRolledBack(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, largeLimit)
	one, two := newMessage(1), newMessage(2)
	must(t, l.Accept(one, two))
	writable := l.file
	readOnly, err := os.Open(filepath.Join(dir, logFileName)) // opened read-only: every write fails, as on a full disk
	must(t, err)
	defer readOnly.Close()
	l.file = readOnly
	if err := l.Accept(newMessage(3)); err == nil {
		t.Error("Accept returned no error although the write failed")
	}
	if err := l.RecordSends(Send{one, Attempt{Host: "s-1", At: testTime}}); err == nil || one.Attempts != 0 {
		t.Errorf("Sent returned no error after a failed write, or counted the attempt: %v", err)
	}
	l.RecordEnd(two)
	if err := l.Flush(); err == nil {
		t.Error("Flush returned no error although the write failed")
	}
	l.file = writable
	must(t, l.Flush()) // the record of the end was kept and is written now
	must(t, l.Accept(newMessage(4)))
	if _, found := open(t, dir, largeLimit); recoveredIDs(found) != "1 4 " {
		t.Errorf("found %q", recoveredIDs(found))
	}
}

func TestEstimatedSizeCoversTheRecord(t *testing.T) {
	m := newMessage(1)
	m.Body = make([]byte, 500)
	m.Attempts = 8
	m.Final = &Final{Deferred: true, Again: time.Second}
	for n := range 4 {
		m.MayRun = append(m.MayRun, Attempt{N: n, Host: "s-5be2a07c", Zone: 1, At: testTime.Add(time.Nanosecond)})
	}
	if got := len(appendRecord(nil, record{Kind: recAccept, ID: 1, Message: m}, m.Body)); int64(got) > estimatedSize(m) {
		t.Errorf("a record of %d bytes is estimated at %d bytes", got, estimatedSize(m))
	}
}

// Suspicions survive a restart and a compaction, and each change is written once.
func TestSuspicionsSurviveRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	l, found := open(t, dir, largeLimit)
	if len(found.Suspicions) > 0 {
		t.Fatalf("found %+v", found.Suspicions)
	}
	suspicions := []Suspicion{{Host: "s-1"}, {Host: "s-2", Back: testTime}, {Host: "s-3", Slight: true}}
	l.SetSuspicions(suspicions)
	must(t, l.Flush())
	size := l.size
	l.SetSuspicions([]Suspicion{suspicions[0], {Host: "s-2", Back: testTime.Add(3 * time.Millisecond)}, suspicions[2]})
	must(t, l.Flush())
	if l.size != size {
		t.Errorf("%d bytes written although nothing changed", l.size-size)
	}
	check := func(when string, want ...string) {
		t.Helper()
		_, found := open(t, dir, largeLimit)
		var got []string
		for _, d := range found.Suspicions {
			got = append(got, fmt.Sprint(d.Host, " ", d.Slight, " ", d.Back.Equal(testTime)))
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: found %v, want %v", when, got, want)
		}
	}
	check("after the first write", "s-1 false false", "s-2 false true", "s-3 true false")
	must(t, l.compact())
	check("after a compaction", "s-1 false false", "s-2 false true", "s-3 true false")
	l.SetSuspicions([]Suspicion{{Host: "s-1", Back: testTime}})
	must(t, l.Flush())
	check("after a change", "s-1 false true")
	l.SetSuspicions(nil)
	must(t, l.Flush())
	check("after all suspicions ended")
}
