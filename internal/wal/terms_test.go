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

// Terms that an open message has outlast the process and any compaction; those that nobody has any more do not.
func TestTermsOutlastProcessAndCompaction(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	term := func(x string) Terms { return Terms{Name: x, Rules: json.RawMessage(`{"Window":1}`)} }
	first := l.Use([]Terms{term("a"), term("b")})
	if err := l.Accept(&Message{ID: 1, Terms: first[0], Trace: "t", Deadline: time.Now()}); err != nil {
		t.Fatal(err)
	}
	second := l.Use([]Terms{term("c"), term("b")})
	if second[1] != first[1] || second[0] == first[0] {
		t.Errorf("numbers %v after %v", second, first)
	}
	if err := l.compact(); err != nil {
		t.Fatal(err)
	}
	l, found := reopen(t, l, dir)
	if len(found.Messages) != 1 {
		t.Fatalf("found %+v", found)
	}
	if got, ok := l.Terms(found.Messages[0]); !ok || !got.equal(term("a")) {
		t.Errorf("terms %+v, %v", got, ok)
	}
	l.Use([]Terms{term("c")})
	l.End(found.Messages[0])
	if err := l.compact(); err != nil {
		t.Fatal(err)
	}
	l, _ = reopen(t, l, dir)
	if len(l.terms) != 1 || l.Use([]Terms{term("d")})[0] <= second[0] {
		t.Errorf("terms left: %v", l.terms)
	}
}

// However often the settings change, the log stays within its limit.
func TestTermsDoNotFillTheLog(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(dir, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range 5000 {
		n := l.Use([]Terms{{Name: fmt.Sprint(i), Rules: json.RawMessage(`{}`)}})
		m := &Message{ID: uint32(i + 1), Terms: n[0], Deadline: time.Now()}
		if err := l.Accept(m); err != nil {
			t.Fatalf("after %d: %v", i, err)
		}
		l.End(m)
	}
	info, err := os.Stat(filepath.Join(dir, name))
	if err != nil || info.Size() > 64<<10 {
		t.Errorf("%v, %v", info, err)
	}
}

// A log from before it held terms tells the place of a message's class.
func TestALogWithoutTerms(t *testing.T) {
	dir := t.TempDir()
	text := []byte(`{"Kind":1,"ID":9,"Message":{"ID":9,"Trace":"t","Class":1,"Customer":0,"Dest":7}}`)
	var rec record
	if err := json.Unmarshal(text, &rec); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, name), appendRecord(nil, rec, []byte("x")), 0o600); err != nil {
		t.Fatal(err)
	}
	l, found, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if len(found.Messages) != 1 || found.Messages[0].Class != 1 {
		t.Fatalf("found %+v", found.Messages)
	}
	if _, ok := l.Terms(found.Messages[0]); ok {
		t.Error("terms from nowhere")
	}
}
