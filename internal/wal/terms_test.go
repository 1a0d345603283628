package wal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func reopen(t *testing.T, l *Log, dir string) (*Log, Recovery) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l, found, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.file.Close() })
	return l, found
}

// Terms of unfinished messages survive a restart and a compaction. Terms that nothing refers to any more are dropped.
func TestTermsSurviveRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	term := func(x string) Terms { return Terms{Name: x, Rules: json.RawMessage(`{"Window":1}`)} }
	first := l.SetTerms([]Terms{term("a"), term("b")})
	if err := l.Accept(&Message{ID: 1, Terms: first[0], Trace: "t", Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	second := l.SetTerms([]Terms{term("c"), term("b")})
	if second[1] != first[1] || second[0] == first[0] {
		t.Errorf("numbers %v after %v: known terms must keep theirs, new ones get another", second, first)
	}
	if err := l.compact(); err != nil {
		t.Fatal(err)
	}
	l, found := reopen(t, l, dir)
	if len(found.Messages) != 1 {
		t.Fatalf("recovered %+v, want one message", found)
	}
	if got, ok := l.TermsOf(found.Messages[0]); !ok || !got.equal(term("a")) {
		t.Errorf("terms %+v, %v", got, ok)
	}
	l.SetTerms([]Terms{term("c")})
	l.RecordEnd(found.Messages[0])
	if err := l.compact(); err != nil {
		t.Fatal(err)
	}
	l, _ = reopen(t, l, dir)
	if len(l.terms) != 1 || l.SetTerms([]Terms{term("d")})[0] <= second[0] {
		t.Errorf("terms after compaction and reopening: %v", l.terms)
	}
}

// The log stays within its disk limit however often the terms change.
func TestTermsDoNotFillTheLog(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(dir, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range 5000 {
		n := l.SetTerms([]Terms{{Name: fmt.Sprint(i), Rules: json.RawMessage(`{}`)}})
		m := &Message{ID: uint32(i + 1), Terms: n[0], Deadline: time.Now()}
		if err := l.Accept(m); err != nil {
			t.Fatalf("Accept after %d changes: %v", i, err)
		}
		l.RecordEnd(m)
	}
	info, err := os.Stat(filepath.Join(dir, logFileName))
	if err != nil || info.Size() > 64<<10 {
		t.Errorf("size of the log file: %v, %v", info, err)
	}
}

// A log written before terms existed holds the index of a message's class instead.
func TestLogWithoutTerms(t *testing.T) {
	dir := t.TempDir()
	text := []byte(`{"Kind":1,"ID":9,"Message":{"ID":9,"Trace":"t","Class":1,"Customer":0,"Dest":7}}`)
	var rec record
	if err := json.Unmarshal(text, &rec); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, logFileName), appendRecord(nil, rec, []byte("x")), 0o600); err != nil {
		t.Fatal(err)
	}
	l, found, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if len(found.Messages) != 1 || found.Messages[0].Class != 1 {
		t.Fatalf("recovered %+v, want one message of class 1", found.Messages)
	}
	if _, ok := l.TermsOf(found.Messages[0]); ok {
		t.Error("Terms returned terms that the log does not hold")
	}
}
