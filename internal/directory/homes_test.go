package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim"
)

// homesWorld is a directory over members that a test changes, for a host whose routes have homes.
type homesWorld struct {
	*Directory
	members []swim.Member
	now     time.Time
	inTouch bool
}

func newHomesWorld(sets [][]string, members ...swim.Member) *homesWorld {
	w := &homesWorld{members: members, now: time.Unix(1000, 0), inTouch: true}
	w.Directory = New(Options{
		Members:     func() []swim.Member { return w.members },
		Region:      "r",
		InTouch:     func() bool { return w.inTouch },
		Now:         func() time.Time { return w.now },
		HomeRegions: func(string) [][]string { return sets },
	})
	w.Note()
	return w
}

// pass lets a second go by, which a directory in service notes.
func (w *homesWorld) pass() {
	w.now = w.now.Add(time.Second)
	w.Note()
}

func (w *homesWorld) stop(number int) { w.members[number].Meta.Serving = false }

// A region whose only relay is stopped by plan: its clients are led to a home of the host's routes, not to any region.
func TestClientsAreLedToAHomeWhereTheirRegionHasNoRelay(t *testing.T) {
	own, home, other := relay("own", "a", "r"), relay("home", "b", "s"), relay("other", "c", "u")
	w := newHomesWorld([][]string{{"r", "s"}}, own, home, other)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"own:80"})
	w.stop(0)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"home:80"})
	assert.DeepEqual(t, w.addresses("h", "c", "u"), []string{"other:80"}) // the client's own region is always allowed
}

func TestRegionThatMostRoutesHaveAsHomeIsNamed(t *testing.T) {
	s, u, v := relay("s", "b", "s"), relay("u", "c", "u"), relay("v", "d", "v")
	w := newHomesWorld([][]string{{"s", "u"}, {"u"}, {"v", "u"}}, s, u, v)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"u:80"})
	w.stop(1)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"s:80", "v:80"}) // each a home of one
}

func TestHostWithoutHomesIsServedAnywhere(t *testing.T) {
	s, u := relay("s", "b", "s"), relay("u", "c", "u")
	w := newHomesWorld(nil, s, u)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"s:80", "u:80"})
}

// A home that stops by plan comes back: until it does, no region outside of the homes is named for it.
func TestNoOutsiderIsNamedWhileTheOnlyHomeStops(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	w := newHomesWorld([][]string{{"r"}}, own, other)
	w.stop(0)
	w.pass()
	assert.Equal(t, len(w.addresses("h", "a", "r")), 0)
	w.members = w.members[1:] // it has left
	w.pass()
	assert.Equal(t, len(w.addresses("h", "a", "r")), 0)
	w.now = w.now.Add(rememberFor)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"other:80"}) // it is not coming back
}

// A home that is lost without warning is no planned work: its clients are served where they can be.
func TestOutsiderIsNamedWhereTheOnlyHomeIsLost(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	w := newHomesWorld([][]string{{"r"}}, own, other)
	w.members = w.members[1:]
	w.pass()
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"other:80"})
}

func TestSuspectedHomeGoesBeforeAnOutsider(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	own.Status = swim.Suspect
	w := newHomesWorld([][]string{{"r"}}, own, other)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"own:80"})
	other.Status = swim.Suspect
	w.members = []swim.Member{other}
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"other:80"}) // for want of any else
}

func TestCutOffDirectoryNamesOfWhatItLostTheHomesAlone(t *testing.T) {
	own, home, other := relay("own", "a", "r"), relay("home", "b", "s"), relay("other", "c", "u")
	w := newHomesWorld([][]string{{"s"}}, own, home, other)
	w.members = w.members[:1]
	w.inTouch = false
	w.now = w.now.Add(time.Second)
	assert.DeepEqual(t, w.addresses("h", "a", "r"), []string{"own:80", "home:80"})
}
