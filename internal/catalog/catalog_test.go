package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func entry(id string, cell int) Entry {
	return Entry{ID: id, Addr: "10.1.0.18:3000", Zone: "a", Kind: "m2", Cell: cell, State: Ready, Weight: 1}
}

func put(e Entry) Change      { return Change{Entry: e} }
func remove(id string) Change { return Change{Entry: Entry{ID: id}, Remove: true} }

func apply(t *testing.T, c *Catalog, changes ...Change) Result {
	t.Helper()
	r, err := c.Apply(Write{Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// jsonText returns a list as it is encoded for readers.
func jsonText(t interface{ Fatal(...any) }, l List) string {
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestListFormat(t *testing.T) {
	c := New("x", 0)
	apply(t, c, put(Entry{ID: "s-5be2a07c", Addr: "10.1.0.18:3000", Zone: "a", Kind: "m2", Cell: 3, State: Ready, Weight: 1, StartedMS: 0}))
	want := `{"version":1,"full":true,"servers":[{"id":"s-5be2a07c","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0}]}`
	if got := jsonText(t, c.FullList()); got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
	apply(t, c, remove("s-5be2a07c"))
	if l, _ := c.Since(1); l.Full || len(l.Servers) != 1 || l.Servers[0].State != Gone || l.Version != 2 {
		t.Errorf("after the removal: %+v", l)
	}
	if l := c.FullList(); len(l.Servers) != 0 {
		t.Errorf("removed entry in a full list: %+v", l)
	}
}

// Unknown fields of an entry are passed on unchanged.
func TestUnknownFieldsSurvive(t *testing.T) {
	in := `{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0,"rack":{"row":7},"zeal":[1,2]}`
	var e Entry
	if err := json.Unmarshal([]byte(in), &e); err != nil {
		t.Fatal(err)
	}
	c := New("x", 0)
	apply(t, c, put(e))
	if got := jsonText(t, c.FullList()); !strings.Contains(got, in) {
		t.Errorf("%s has no %s", got, in)
	}
	e.Extra = nil
	if r := apply(t, c, put(e)); r.Changed != 1 {
		t.Error("removing an unknown field is not a change")
	}
}

func TestInvalidWriteIsRejectedWhole(t *testing.T) {
	for field, invalidate := range map[string]func(*Entry){
		"id": func(e *Entry) { e.ID = "" }, "zone": func(e *Entry) { e.Zone = "a b" }, "kind": func(e *Entry) { e.Kind = strings.Repeat("x", 65) },
		"cell": func(e *Entry) { e.Cell = -1 }, "state": func(e *Entry) { e.State = Gone }, "started_ms": func(e *Entry) { e.StartedMS = -1 },
		"weight": func(e *Entry) { e.Weight = math.NaN() }, "addr": func(e *Entry) { e.Addr = "10.1.0.18" },
		"other fields": func(e *Entry) {
			e.Extra = map[string]json.RawMessage{"x": json.RawMessage(`"` + strings.Repeat("x", 5000) + `"`)}
		},
	} {
		c := New("x", 0)
		apply(t, c, put(entry("s-0", 3)))
		before := jsonText(t, c.FullList())
		bad := entry("s-2", 3)
		invalidate(&bad)
		_, err := c.Apply(Write{Changes: []Change{put(entry("s-1", 3)), put(bad), remove("s-0")}})
		var f *FieldError
		if !errors.As(err, &f) || f.Field != field {
			t.Errorf("%s: error %v", field, err)
		}
		if after := jsonText(t, c.FullList()); after != before {
			t.Errorf("%s: partially applied: %s", field, after)
		}
	}
	for _, addr := range []string{"", ":3000", "h:", "h:0", "h:65536", "h:x", "h:3000:1", "a b:1", strings.Repeat("h", 300) + ":1"} {
		e := entry("s-1", 3)
		e.Addr = addr
		if e.Check() == nil {
			t.Errorf("address %q was accepted", addr)
		}
	}
	c := New("x", 0)
	apply(t, c, put(entry("s-1", 3)))
	for name, w := range map[string]Write{
		"cell": {Changes: []Change{put(entry("s-1", 4))}}, "twice": {Changes: []Change{put(entry("s-9", 4)), remove("s-9")}},
		"other version": {IfMatch: new(int64), Changes: []Change{remove("s-1")}}, "too many": {Changes: make([]Change, MaxChangesPerWrite+1)},
		"key": {Key: strings.Repeat("k", maxKeyBytes+1)},
	} {
		if _, err := c.Apply(w); err == nil || c.Version() != 1 {
			t.Errorf("%s: error %v, version %d", name, err, c.Version())
		}
	}
}

func TestRepeatedWriteIsAppliedOnce(t *testing.T) {
	c := New("x", 0)
	w := Write{Key: "k1", Changes: []Change{put(entry("s-1", 3))}}
	first, err := c.Apply(w)
	if err != nil {
		t.Fatal(err)
	}
	apply(t, c, remove("s-1"))
	again, err := c.Apply(w)
	if err != nil || !again.Repeated || again.Version != first.Version || c.Len() != 0 {
		t.Errorf("%+v, %v, %d entries", again, err, c.Len())
	}
	w.Changes = []Change{put(entry("s-2", 3))}
	if _, err := c.Apply(w); !errors.Is(err, ErrKeyReused) {
		t.Errorf("another write under the same key: %v", err)
	}
	for i := range maxIdempotencyKeys { // the key is forgotten eventually, which bounds memory
		if _, err := c.Apply(Write{Key: fmt.Sprint("n", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.results) != maxIdempotencyKeys || len(c.keyOrder) != maxIdempotencyKeys || c.results["k1"].Digest != "" {
		t.Errorf("%d keys, %d in order", len(c.results), len(c.keyOrder))
	}
}

func TestVersionsExhausted(t *testing.T) {
	c := New("x", 0)
	c.version = MaxVersion - 1
	apply(t, c, put(entry("s-1", 3)))
	if _, err := c.Apply(Write{Changes: []Change{put(entry("s-2", 3))}}); !errors.Is(err, ErrExhausted) || c.Len() != 1 {
		t.Errorf("%v, %d entries", err, c.Len())
	}
	if _, err := NewFromBackup(Snapshot{Format: SnapshotFormat, Cluster: "x", Version: MaxVersion, Floor: MaxVersion}, "y", 0); !errors.Is(err, ErrExhausted) {
		t.Errorf("restore: %v", err)
	}
}

// drawWrite draws a random write, which may have no effect.
func drawWrite(t *rapid.T) Write {
	n := rapid.IntRange(1, 4).Draw(t, "changes")
	var w Write
	seen := map[string]bool{}
	for range n {
		id := rapid.SampledFrom([]string{"s-0", "s-1", "s-2", "s-3", "s-4", "s-5"}).Draw(t, "id")
		if seen[id] {
			continue
		}
		seen[id] = true
		if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
			w.Changes = append(w.Changes, remove(id))
			continue
		}
		e := entry(id, int(id[2]-'0')%3)
		e.State = rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state")
		e.Weight = float64(rapid.IntRange(0, 2).Draw(t, "weight"))
		w.Changes = append(w.Changes, put(e))
	}
	return w
}

// Readers that follow the list at any intervals, across snapshots and restored backups, end with the same entries as the full
// list. Versions never decrease, and a version always has the same content.
func TestIncrementalReadsMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		historyLength := rapid.IntRange(1, 12).Draw(t, "keep")
		c := New("c0", historyLength)
		clusters := 0
		type follower struct {
			held    map[string]Entry
			version int64
		}
		followers := make([]follower, 3)
		contents := map[int64]string{}
		checkVersion := func(when string) {
			got := jsonText(t, c.FullList())
			if was, ok := contents[c.Version()]; ok && was != got {
				t.Fatalf("%s: version %d has the content\n%s\nand\n%s", when, c.Version(), was, got)
			}
			contents[c.Version()] = got
		}
		checkVersion("empty")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := c.Version()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				w := drawWrite(t)
				r, err := c.Apply(w)
				if err != nil || r.Version != c.Version() || r.Version-before != int64(r.Changed) {
					t.Fatalf("%+v, %v, version %d after %d", r, err, c.Version(), before)
				}
				checkVersion("written")
			case 5, 6, 7:
				f := &followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				l, changed := c.Since(f.version)
				if l.Version < f.version {
					t.Fatalf("received version %d after %d", l.Version, f.version)
				}
				if !changed && f.version != c.Version() {
					t.Fatalf("no change reported at version %d to a follower at %d", c.Version(), f.version)
				}
				if changed {
					f.held, f.version = Merge(f.held, l), l.Version
				}
			case 8: // a replica starts from a snapshot
				var b bytes.Buffer
				if _, err := c.Snapshot().WriteTo(&b); err != nil {
					t.Fatal(err)
				}
				s, err := ReadSnapshot(&b)
				if err != nil {
					t.Fatal(err)
				}
				if c, err = Load(s, historyLength); err != nil {
					t.Fatal(err)
				}
				checkVersion("loaded")
			case 9: // a backup is restored into a new cluster
				clusters++
				var err error
				if c, err = NewFromBackup(c.Snapshot(), fmt.Sprint("c", clusters), historyLength); err != nil {
					t.Fatal(err)
				}
				checkVersion("restored")
			}
			if c.Version() < before {
				t.Fatalf("version %d after %d", c.Version(), before)
			}
			if len(c.history) > historyLength+historyLength/4+4 {
				t.Fatalf("%d changes in the history, want about %d", len(c.history), historyLength)
			}
		}
		for i := range followers {
			f := &followers[i]
			if l, changed := c.Since(f.version); changed {
				f.held = Merge(f.held, l)
			}
			got := List{Version: c.Version(), Full: true, Servers: []Entry{}}
			for _, e := range f.held {
				got.Servers = append(got.Servers, e)
			}
			sortByID(got.Servers)
			if jsonText(t, got) != jsonText(t, c.FullList()) {
				t.Fatalf("follower %d, from version %d, has\n%s\nand the list is\n%s", i, f.version, jsonText(t, got), jsonText(t, c.FullList()))
			}
		}
	})
}

// Two replicas that apply the same writes have byte-identical snapshots.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New("x", 7), New("x", 7)
		for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
			w := drawWrite(t)
			if rapid.Bool().Draw(t, "keyed") {
				w.Key = fmt.Sprint("k", rapid.IntRange(0, i).Draw(t, "key"))
			}
			ra, ea := a.Apply(w)
			rb, eb := b.Apply(w)
			if ra != rb || fmt.Sprint(ea) != fmt.Sprint(eb) {
				t.Fatalf("results differ: %+v %v, and %+v %v", ra, ea, rb, eb)
			}
		}
		var x, y bytes.Buffer
		if _, err := a.Snapshot().WriteTo(&x); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Snapshot().WriteTo(&y); err != nil {
			t.Fatal(err)
		}
		if x.String() != y.String() {
			t.Fatalf("%s\n%s", x.String(), y.String())
		}
	})
}

// An inconsistent snapshot is rejected with an error that names the fault.
func TestCorruptSnapshotIsRejected(t *testing.T) {
	c := New("x", 4)
	for i := range 9 {
		apply(t, c, put(entry(fmt.Sprint("s-", i), i)))
	}
	if _, err := c.Apply(Write{Key: "k", Changes: []Change{remove("s-0")}}); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if _, err := c.Snapshot().WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	valid := b.String()
	if _, err := ReadSnapshot(strings.NewReader(valid)); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct{ old, new, want string }{
		{`"format":1`, `"format":2`, "format 2, this build reads 1"},
		{`"cluster":"x"`, `"cluster":""`, "cluster: "},
		{`"version":10,"floor"`, `"version":-1,"floor"`, "version: -1"},
		{`"version":10,"floor"`, `"version":11,"floor"`, "history: "},
		{`"floor":`, `"floor":9`, "floor: "},
		{`"cell":3`, `"cell":-3`, `"s-3": cell`},
		{`"id":"s-4"`, `"id":"s-2"`, "entries: "},
		{`"keys":["k"]`, `"keys":["q"]`, "results: none of key"},
		{`"keys":["k"]`, `"keys":[]`, "keys: 0"},
		{`"format":1`, `"format":1,"what":2`, "what"},
		{`}}}`, ``, "unexpected EOF"},
	} {
		corrupt := strings.Replace(valid, s.old, s.new, 1)
		if corrupt == valid {
			t.Fatalf("%q is not in the snapshot", s.old)
		}
		if _, err := ReadSnapshot(strings.NewReader(corrupt)); err == nil || !strings.Contains(err.Error(), s.want) {
			t.Errorf("%q: %v, want %q", s.new, err, s.want)
		}
	}
}

// Reading arbitrary bytes does not panic, and every snapshot that is accepted can be loaded and written to.
func FuzzReadSnapshot(f *testing.F) {
	c := New("x", 4)
	if _, err := c.Apply(Write{Key: "k", Changes: []Change{put(entry("s-1", 1)), put(entry("s-2", 2))}}); err != nil {
		f.Fatal(err)
	}
	var b bytes.Buffer
	if _, err := c.Snapshot().WriteTo(&b); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte(`{"format":1,"cluster":"x"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ReadSnapshot(bytes.NewReader(data))
		if err != nil {
			return
		}
		c, err := Load(s, 4)
		if err != nil {
			t.Fatalf("snapshot was read but cannot be loaded: %v", err)
		}
		if _, err := c.Apply(Write{Changes: []Change{put(entry("s-3", 3))}}); err != nil && !errors.Is(err, ErrExhausted) {
			var f *FieldError
			if !errors.As(err, &f) {
				t.Fatal(err)
			}
		}
	})
}
