package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestEmbeddedLoadsAreValid(t *testing.T) {
	relays := map[string]int{"small": 3, "berth": 12, "crowd": 60}
	if len(Names()) != len(relays) {
		t.Errorf("embedded: %v", Names())
	}
	for _, name := range Names() {
		l, err := Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if l.Name != name || l.Relays != relays[name] || l.About == "" {
			t.Errorf("%s: name %q, %d relays, %q", name, l.Name, l.Relays, l.About)
		}
		if l.LongestGiveUp().Seconds() > 4.5 {
			t.Errorf("%s: messages have %v; a trial must end within 5 s after its load", name, l.LongestGiveUp())
		}
	}
}

// Each fault in a load is reported with its key.
func TestInvalidLoadIsReportedByKey(t *testing.T) {
	sound, err := embedded.ReadFile("loads/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"relays = 3", "relays = 0", "relays: 0"},
		{`rate = "40/s"`, `rate = "40"`, "traffic.rate: "},
		{`rate = "40/s"`, `rate = "0/s"`, "traffic.rate: has to be above 0"},
		{`peak_after = "40%"`, `peak_after = "90%"`, "traffic.peak_for: "},
		{`same = { low = "2ms"`, `same = { low = "2s"`, "network.same: low 2s is above high 8ms"},
		{`kinds = ["key-account"]`, `kinds = ["key-acount"]`, `class 2 (slot-payment).kinds: "key-acount" is no kind`},
		{`share = "62%"`, `share = "60%"`, "class: shares add up to 98.0%"},
		{`effect = "unsafe"`, `effect = "never"`, `class 2 (slot-payment).effect: "never"`},
		{"retries = 2", "retrys = 2", "clients.retrys: no such key"},
		{`disk = "128KB"`, `disk = "1"`, "relay.disk: "},
	} {
		text := strings.Replace(string(sound), c.old, c.new, 1)
		if text == string(sound) {
			t.Fatalf("%q is not in the file", c.old)
		}
		path := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Open("no-such-load"); err == nil || !strings.Contains(err.Error(), "berth, crowd, small") {
		t.Errorf("unknown load: %v", err)
	}
}
