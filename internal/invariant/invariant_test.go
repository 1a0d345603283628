package invariant

import (
	"strings"
	"testing"
)

func TestViolationIsCountedAndPanics(t *testing.T) {
	before := Counts()["gate-rises"]
	if !Holds(GateRises, true) || Holds(GateRises, false, 3, 2) {
		t.Error("Holds returned the wrong result")
	}
	if c := Counts()["gate-rises"]; c.Checked != before.Checked+2 || c.Broken != before.Broken+1 || Broken() == 0 {
		t.Errorf("counted %+v, before %+v", c, before)
	}
	panicOnViolation = true
	defer func() {
		panicOnViolation = false
		if text, ok := recover().(string); !ok || !strings.Contains(text, "numbers-rise is broken: [7 3]") {
			t.Errorf("panicked with %q", text)
		}
	}()
	Holds(NumbersRise, false, 7, 3)
	t.Error("a violation did not panic")
}

func TestEachCheckHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, n := range All() {
		if n.String() == "" || seen[n.String()] {
			t.Errorf("check %d: name %q", n, n)
		}
		seen[n.String()] = true
	}
}
