// Package sites checks the deployments that stand beside it: made up, so that nothing in the program is fitted to the customers it
// has. The bench that plays them is not here.
package sites

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

type site struct {
	Name  string
	Rules struct {
		FallMultiple float64 `toml:"fall_multiple"`
		FallMS       float64 `toml:"fall_ms"`
	}
	Tier []struct {
		Name    string
		Weights string
		Kind    []struct {
			Name     string
			ColdFrom []float64 `toml:"cold_from"`
		}
	}
	Class []struct {
		Name       string
		Effect     string
		Group      string
		Share      []float64
		WindowMS   float64 `toml:"window_ms"`
		AimMS      float64 `toml:"aim_ms"`
		DeadlineMS float64 `toml:"deadline_ms"`
		Worth      float64
	}
	Tenant []struct{ Share float64 }
	Fam    struct {
		Kind  []struct{ Limit any }
		Class []struct{ Kinds []string }
	}
}

func read(t *testing.T, name string) site {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(name, name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	var s site
	if err := toml.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"real.json", "wire.json"} {
		data, err := os.ReadFile(filepath.Join(name, file))
		if err != nil || !json.Valid(data) {
			t.Errorf("%s: %s: no JSON, %v", name, file, err)
		}
	}
	return s
}

// Each variant is whole, makes sense, and has what a program fitted to one customer would trip over.
func TestVariants(t *testing.T) {
	effects := map[string][]string{} // of each class name, over all variants
	tenants := map[string]int{}
	for _, name := range []string{"takoradi-berths", "lorient-orders"} {
		s := read(t, name)
		if s.Name != name || len(s.Tier) != 1 || len(s.Fam.Kind) != len(s.Tier[0].Kind) || len(s.Fam.Class) != len(s.Class) {
			t.Fatalf("%s: %+v", name, s)
		}
		tenants[name] = len(s.Tenant)
		var kinds, seen []string
		for _, k := range s.Tier[0].Kind {
			kinds = append(kinds, k.Name)
			// A budget of few calls: at a limit of 5 a second, N is under 3.
			if n := s.Rules.FallMultiple * k.ColdFrom[1] * 5 * s.Rules.FallMS / 1000; n >= 3 {
				t.Errorf("%s: %s: a cold budget of %.1f calls", name, k.Name, n)
			}
		}
		least, most, short := 0.0, 0.0, false
		for i, c := range s.Class {
			effects[c.Name] = append(effects[c.Name], c.Effect)
			seen = append(seen, c.Effect)
			least, most = least+c.Share[0], most+c.Share[1]
			short = short || c.Effect == "keyed" && c.WindowMS == 1000
			if !(c.AimMS > 0 && c.AimMS < c.DeadlineMS && c.Worth > 0) || (c.Effect == "keyed") != (c.WindowMS > 0) {
				t.Errorf("%s: class %s makes no sense: %+v", name, c.Name, c)
			}
			for _, k := range s.Fam.Class[i].Kinds {
				if !slices.Contains(kinds, k) {
					t.Errorf("%s: class %s goes to no kind %q", name, c.Name, k)
				}
			}
		}
		if least > 1 || most < 1 {
			t.Errorf("%s: shares from %.2f to %.2f", name, least, most)
		}
		if slices.Sort(seen); !slices.Equal(slices.Compact(seen), []string{"keyed", "safe", "unsafe"}) || !short {
			t.Errorf("%s: effects %v, a window of a second %v", name, seen, short)
		}
	}
	if tenants["takoradi-berths"] != 0 || tenants["lorient-orders"] < 8 {
		t.Errorf("tenants %v", tenants)
	}
	// The names are those of the customers' classes, with other effects than there.
	for name, theirs := range map[string]string{"slot-notice": "keyed", "slot-payment": "unsafe", "profile-update": "safe", "paid-order": "unsafe"} {
		if got := effects[name]; len(got) != 1 || got[0] == theirs {
			t.Errorf("class %s: effects %v", name, got)
		}
	}
}
