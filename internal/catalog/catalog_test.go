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

// text is a list as a reader sees it.
func text(t interface{ Fatal(...any) }, l List) string {
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestTheFormIsThePlatforms(t *testing.T) {
	c := New("x", 0)
	apply(t, c, put(Entry{ID: "s-5be2a07c", Addr: "10.1.0.18:3000", Zone: "a", Kind: "m2", Cell: 3, State: Ready, Weight: 1, StartedMS: 0}))
	want := `{"version":1,"full":true,"servers":[{"id":"s-5be2a07c","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0}]}`
	if got := text(t, c.Whole()); got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
	apply(t, c, remove("s-5be2a07c"))
	if l, _ := c.Since(1); l.Full || len(l.Servers) != 1 || l.Servers[0].State != Gone || l.Version != 2 {
		t.Errorf("after its end: %+v", l)
	}
	if l := c.Whole(); len(l.Servers) != 0 {
		t.Errorf("gone in a whole list: %+v", l)
	}
}

// What this build does not know of an entry is passed on as it came.
func TestUnknownFieldsSurvive(t *testing.T) {
	in := `{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"ready","weight":1,"started_ms":0,"rack":{"row":7},"zeal":[1,2]}`
	var e Entry
	if err := json.Unmarshal([]byte(in), &e); err != nil {
		t.Fatal(err)
	}
	c := New("x", 0)
	apply(t, c, put(e))
	if got := text(t, c.Whole()); !strings.Contains(got, in) {
		t.Errorf("%s has no %s", got, in)
	}
	e.Extra = nil
	if r := apply(t, c, put(e)); r.Changed != 1 {
		t.Error("a field less is no change")
	}
}

func TestNonsenseIsNamedAndLeavesNothing(t *testing.T) {
	for field, spoil := range map[string]func(*Entry){
		"id": func(e *Entry) { e.ID = "" }, "zone": func(e *Entry) { e.Zone = "a b" }, "kind": func(e *Entry) { e.Kind = strings.Repeat("x", 65) },
		"cell": func(e *Entry) { e.Cell = -1 }, "state": func(e *Entry) { e.State = Gone }, "started_ms": func(e *Entry) { e.StartedMS = -1 },
		"weight": func(e *Entry) { e.Weight = math.NaN() }, "addr": func(e *Entry) { e.Addr = "10.1.0.18" },
		"other fields": func(e *Entry) {
			e.Extra = map[string]json.RawMessage{"x": json.RawMessage(`"` + strings.Repeat("x", 5000) + `"`)}
		},
	} {
		c := New("x", 0)
		apply(t, c, put(entry("s-0", 3)))
		before := text(t, c.Whole())
		bad := entry("s-2", 3)
		spoil(&bad)
		_, err := c.Apply(Write{Changes: []Change{put(entry("s-1", 3)), put(bad), remove("s-0")}})
		var f *FieldError
		if !errors.As(err, &f) || f.Field != field {
			t.Errorf("%s: error %v", field, err)
		}
		if after := text(t, c.Whole()); after != before {
			t.Errorf("%s: half taken on: %s", field, after)
		}
	}
	for _, addr := range []string{"", ":3000", "h:", "h:0", "h:65536", "h:x", "h:3000:1", "a b:1", strings.Repeat("h", 300) + ":1"} {
		e := entry("s-1", 3)
		e.Addr = addr
		if e.Check() == nil {
			t.Errorf("address %q was taken", addr)
		}
	}
	c := New("x", 0)
	apply(t, c, put(entry("s-1", 3)))
	for name, w := range map[string]Write{
		"cell": {Changes: []Change{put(entry("s-1", 4))}}, "twice": {Changes: []Change{put(entry("s-9", 4)), remove("s-9")}},
		"other version": {IfMatch: new(int64), Changes: []Change{remove("s-1")}}, "too many": {Changes: make([]Change, ChangesMost+1)},
		"key": {Key: strings.Repeat("k", keyMost+1)},
	} {
		if _, err := c.Apply(w); err == nil || c.Version() != 1 {
			t.Errorf("%s: error %v, version %d", name, err, c.Version())
		}
	}
}

func TestARepeatedWriteIsTakenOnce(t *testing.T) {
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
		t.Errorf("another write under the key: %v", err)
	}
	for i := range keysKept { // the key is forgotten in the end, and memory is bounded
		if _, err := c.Apply(Write{Key: fmt.Sprint("n", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.keys) != keysKept || len(c.order) != keysKept || c.keys["k1"].Digest != "" {
		t.Errorf("%d keys, %d in order", len(c.keys), len(c.order))
	}
}

func TestVersionsEndInOrder(t *testing.T) {
	c := New("x", 0)
	c.version = VersionMost - 1
	apply(t, c, put(entry("s-1", 3)))
	if _, err := c.Apply(Write{Changes: []Change{put(entry("s-2", 3))}}); !errors.Is(err, ErrExhausted) || c.Len() != 1 {
		t.Errorf("%v, %d entries", err, c.Len())
	}
	if _, err := Rebuild(Snapshot{Format: SnapshotFormat, Cluster: "x", Version: VersionMost, Floor: VersionMost}, "y", 0); !errors.Is(err, ErrExhausted) {
		t.Errorf("restored: %v", err)
	}
}

// drawWrite draws a write that may or may not change something.
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

// Whichever way one follows, however seldom, over snapshots and restores from backups: one ends with the same list as
// one who asked for all of it. Versions rise, and a version names one content.
func TestAnyWayOfFollowingEqualsTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keep := rapid.IntRange(1, 12).Draw(t, "keep")
		c := New("c0", keep)
		clusters := 0
		type follower struct {
			held    map[string]Entry
			version int64
		}
		followers := make([]follower, 3)
		contents := map[int64]string{}
		look := func(when string) {
			got := text(t, c.Whole())
			if was, ok := contents[c.Version()]; ok && was != got {
				t.Fatalf("%s: version %d names\n%s\nand\n%s", when, c.Version(), was, got)
			}
			contents[c.Version()] = got
		}
		look("empty")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := c.Version()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			default:
				w := drawWrite(t)
				r, err := c.Apply(w)
				if err != nil || r.Version != c.Version() || r.Version-before != int64(r.Changed) {
					t.Fatalf("%+v, %v, version %d after %d", r, err, c.Version(), before)
				}
				look("written")
			case 5, 6, 7:
				f := &followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
				l, changed := c.Since(f.version)
				if l.Version < f.version {
					t.Fatalf("told version %d after %d", l.Version, f.version)
				}
				if !changed && f.version != c.Version() {
					t.Fatalf("nothing told at %d to one who is at %d", c.Version(), f.version)
				}
				if changed {
					f.held, f.version = Follow(f.held, l), l.Version
				}
			case 8: // a replica that starts from a snapshot goes on as the others do
				var b bytes.Buffer
				if _, err := c.Snapshot().WriteTo(&b); err != nil {
					t.Fatal(err)
				}
				s, err := ReadSnapshot(&b)
				if err != nil {
					t.Fatal(err)
				}
				if c, err = Load(s, keep); err != nil {
					t.Fatal(err)
				}
				look("loaded")
			case 9: // all servers are lost, and a backup is restored into a new cluster
				clusters++
				var err error
				if c, err = Rebuild(c.Snapshot(), fmt.Sprint("c", clusters), keep); err != nil {
					t.Fatal(err)
				}
				look("restored")
			}
			if c.Version() < before {
				t.Fatalf("version %d after %d", c.Version(), before)
			}
			if len(c.history) > keep+keep/4+4 {
				t.Fatalf("%d changes are kept, %d are wanted", len(c.history), keep)
			}
		}
		for i := range followers {
			f := &followers[i]
			if l, changed := c.Since(f.version); changed {
				f.held = Follow(f.held, l)
			}
			got := List{Version: c.Version(), Full: true, Servers: []Entry{}}
			for _, e := range f.held {
				got.Servers = append(got.Servers, e)
			}
			byID(got.Servers)
			if text(t, got) != text(t, c.Whole()) {
				t.Fatalf("follower %d, from version %d, has\n%s\nand the list is\n%s", i, f.version, text(t, got), text(t, c.Whole()))
			}
		}
	})
}

// Two replicas that are given the same writes hold the same, to the byte of their snapshots.
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
				t.Fatalf("%+v %v, and %+v %v", ra, ea, rb, eb)
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

// A snapshot that does not fit together is named and not taken on.
func TestASpoiltSnapshotIsTurnedDown(t *testing.T) {
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
	sound := b.String()
	if _, err := ReadSnapshot(strings.NewReader(sound)); err != nil {
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
		spoilt := strings.Replace(sound, s.old, s.new, 1)
		if spoilt == sound {
			t.Fatalf("%q is not in the snapshot", s.old)
		}
		if _, err := ReadSnapshot(strings.NewReader(spoilt)); err == nil || !strings.Contains(err.Error(), s.want) {
			t.Errorf("%q: %v, want %q", s.new, err, s.want)
		}
	}
}

// Whatever bytes come, reading does not panic, and what is taken on is sound.
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
			t.Fatalf("read, and not loaded: %v", err)
		}
		if _, err := c.Apply(Write{Changes: []Change{put(entry("s-3", 3))}}); err != nil && !errors.Is(err, ErrExhausted) {
			var f *FieldError
			if !errors.As(err, &f) {
				t.Fatal(err)
			}
		}
	})
}
