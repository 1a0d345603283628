package tomlfile

import (
	"path/filepath"
	"strings"
	"testing"

	"wallflow/internal/units"
)

type sample struct {
	Name string
	Part struct {
		Pause units.Duration
		Rate  units.Rate
		Share units.Share
		Size  units.Bytes
		Count int
	}
	Each []struct{ Rate units.Rate }
}

func TestParseReadsAllQuantities(t *testing.T) {
	var s sample
	text := "name = 'a'\n[part]\npause = '250ms'\nrate = '90/m'\nshare = '12.5%'\nsize = '64KiB'\ncount = 3\n"
	if err := Parse("x.toml", []byte(text), &s); err != nil {
		t.Fatal(err)
	}
	if s.Part.Pause.Milliseconds() != 250 || s.Part.Rate.PerSecond != 1.5 || s.Part.Share.Of1 != 0.125 ||
		s.Part.Size.N != 65536 || s.Part.Count != 3 {
		t.Errorf("read %+v", s)
	}
}

// Every error names the file, the line and, if there is one, the key.
func TestErrorsNameLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"name = 'a'\n[part]\npuase = '1s'\n":  "x.toml:3: part.puase: no such key",
		"[part]\n\npause = '250'\n":           "x.toml:3: part.pause: ",
		"[part]\npause = 250\n":               "x.toml:2: part.pause: ",
		"[part]\npause = '-1s'\n":             "x.toml:2: part.pause: ",
		"[part]\nrate = '44'\n":               "x.toml:2: part.rate: ",
		"[part]\nrate = 44\n":                 "x.toml:2: part.rate: ",
		"[part]\nrate = 'NaN/s'\n":            "x.toml:2: part.rate: ",
		"[part]\nshare = '120%'\n":            "x.toml:2: part.share: ",
		"[part]\nsize = '1.5B'\n":             "x.toml:2: part.size: ",
		"[part]\ncount = 'three'\n":           "x.toml:2: part.count: ",
		"name = 'cut":                         "x.toml:1:",
		"[part]\npause = '1s'\n[part":         "x.toml:3:",
		"name = 'a'\nname = 'b'\n":            "x.toml:2",
		"[[each]]\nrate='1/s'\n[[each]]\nx=1": "x.toml:4: each.x: no such key",
	} {
		var s sample
		err := Parse("x.toml", []byte(text), &s)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: error %v, want one that begins with %q", text, err, want)
		}
	}
}

func TestMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.toml")
	if err := Read(path, &sample{}); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v", err)
	}
}
