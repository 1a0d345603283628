package accord

import (
	"testing"
	"time"
)

// A relay that was disconnected learns at the same time of a sealed policy that begins later and of the next change. Its promise of
// the next change must not let it continue under the old policy. The fault was found by scenario policy-in-doubt with seed 2.
func TestPromiseDoesNotExtendAnEarlierOne(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	var g Gate
	g.Follow(0, at(0))
	takes := func(s float64, want int64, ok bool) {
		t.Helper()
		if n, is := g.AcceptsUnder(at(s)); n != want && is || is != ok {
			t.Errorf("after %v s: policy %d, %v; want %d, %v", s, n, is, want, ok)
		}
	}
	takes(0, 0, true)
	g.Promise(1, at(1), time.Second)
	takes(1.9, 0, true)
	takes(2, 0, false) // outcome unknown
	g.Promise(1, at(2.5), time.Second)
	takes(2.6, 0, false) // a repeated promise keeps the first deadline
	g.Follow(1, at(4))
	takes(3, 0, false)
	g.Promise(2, at(3.1), time.Second)
	takes(3.2, 0, false) // the promise of another change does not extend it
	takes(4, 1, true)
	takes(4.2, 1, false) // deadline of the second promise
	g.Dropped(2)
	takes(4.3, 1, true)
	g.Follow(3, at(9))
	g.Follow(3, at(6))
	g.Follow(3, at(7))
	takes(5.9, 1, true)
	takes(6, 3, true) // the earliest of the three times counts
	g.Follow(1, at(6))
	takes(7, 3, true) // it never returns to an older policy
}
