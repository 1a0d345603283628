package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wallflow/internal/catalog"
	"wallflow/internal/listsvc"
)

// startListServer starts a single list server and returns its address.
func startListServer(t *testing.T) string {
	t.Helper()
	s, err := listsvc.Open(listsvc.Options{Name: "l0", Dir: t.TempDir(), Listen: "127.0.0.1:0", Raft: "127.0.0.1:0",
		HeartbeatTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s.Addr()
}

// TestListLifecycle runs the list commands in turn, from an empty list to a restored backup.
func TestListLifecycle(t *testing.T) {
	address := startListServer(t)
	backup := filepath.Join(t.TempDir(), "list.backup")
	var list string
	for _, c := range []struct {
		args []string
		code int
		want string // part of the output or of the error
	}{
		{[]string{"endpoint", "add", "s-1", "--addr", "127.0.0.1:30", "--zone", "a", "--kind", "m2", "--cell", "3"}, 0,
			"s-1 is on the list; version 1"},
		{[]string{"endpoint", "add", "s-1", "--addr", "127.0.0.1:30", "--zone", "a", "--kind", "m2", "--cell", "3"}, 0, "was so before"},
		{[]string{"endpoint", "add", "s-2", "--addr", "nowhere", "--zone", "a", "--kind", "m2", "--cell", "3"}, 2, `entry "s-2": addr`},
		{[]string{"endpoint", "add", "s-2", "--addr", "127.0.0.1:31", "--zone", "a", "--kind", "m2"}, 2, `"cell" not set`},
		{[]string{"endpoint", "add", "s-2", "--addr", "127.0.0.1:31", "--zone", "a", "--kind", "m2", "--cell", "4", "--weight", "2.5"}, 0,
			"version 2"},
		{[]string{"endpoint", "list", "--consistent"}, 0, "s-2  127.0.0.1:31  a     m2    ready  2.5"},
		{[]string{"endpoint", "list", "--cell", "3"}, 0, "1 entries"},
		{[]string{"snapshot", "save", backup}, 0, "version 2 of list"},
		{[]string{"endpoint", "remove", "s-1"}, 2, "drain it first"},
		{[]string{"endpoint", "drain", "s-1"}, 0, "s-1 drains; version 3"},
		{[]string{"endpoint", "remove", "s-1"}, 0, "s-1 is removed; version 4"},
		{[]string{"endpoint", "drain", "s-1"}, 2, "no such endpoint"},
		{[]string{"endpoint", "remove", "s-2", "--force"}, 0, "version 5"},
		{[]string{"serve", "status"}, 0, "leader"},
		{[]string{"snapshot", "restore", backup, "--replace", "another"}, 2, "the list that goes is"},
		{[]string{"snapshot", "restore", backup, "--replace", "LIST"}, 0, "2 entries"},
		{[]string{"endpoint", "list"}, 0, "version 4294967298 of list"},
		{[]string{"serve", "remove", "l0"}, 2, "it is the last one"},
		{[]string{"serve", "remove", "l9"}, 2, `no server "l9"`},
	} {
		args := append([]string(nil), c.args...)
		for i, a := range args {
			if a == "LIST" {
				args[i] = list
			}
		}
		out, errOut, code := runCommand(t, append(args, "--server", address)...)
		if code != c.code || !strings.Contains(out+errOut, c.want) {
			t.Errorf("%v: code %d, want %d with %q:\n%s%s", args, code, c.code, c.want, out, errOut)
		}
		if _, rest, ok := strings.Cut(out, " of list "); ok && list == "" {
			list, _, _ = strings.Cut(rest, ",")
		}
	}
	out, errOut, code := runCommand(t, "snapshot", "inspect", backup, "--json")
	var s struct {
		List    string
		Version int64
		Entries []catalog.Entry
	}
	if err := json.Unmarshal([]byte(out), &s); code != 0 || err != nil || s.List != list || s.Version != 2 || len(s.Entries) != 2 {
		t.Errorf("%d %v %+v %s", code, err, s, errOut)
	}
}

func TestListCommandUsageErrors(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	two := write("two.toml", "[serve]\nname = \"l0\"\n[[serve.servers]]\nname = \"l0\"\nhttp = \"h:1\"\n[[serve.servers]]\nname = \"l1\"\nhttp = \"h:2\"\n")
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"serve", "--config", write("key.toml", "[serve]\nnaem = \"l0\"\n")}, "key.toml:2"},
		{[]string{"serve", "--config", write("beat.toml", "[serve]\nbeat = \"fast\"\n")}, "beat"},
		{[]string{"serve", "--config", two}, "wanted are 1, 3 or 5"},
		{[]string{"serve", "--dir", filepath.Join(dir, "s"), "--listen", "nowhere"}, "listen"},
		{[]string{"agent", "--dir", filepath.Join(dir, "a"), "--listen", "nowhere"}, "listen"},
		{[]string{"agent", "--dir", filepath.Join(dir, "a"), "--server", ""}, "no list server is named"},
		{[]string{"serve", "status", "--server", "127.0.0.1:1"}, "no list server answers"},
		{[]string{"agent", "status", "--agent", "127.0.0.1:1"}, "refused"},
		{[]string{"snapshot", "inspect", write("b", "nonsense\n")}, "backup: its first line"},
		{[]string{"snapshot", "inspect", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"snapshot", "restore", write("c", ""), "--replace", "x"}, "backup: its first line"},
	} {
		if out, errOut, code := runCommand(t, c.args...); code != 2 || !strings.Contains(errOut, c.want) {
			t.Errorf("%v: code %d, want 2 with %q:\n%s%s", c.args, code, c.want, out, errOut)
		}
	}
}
