package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim"
)

// directoryHarness is a directory whose members and clock a test controls, for a host whose routes have home regions.
type directoryHarness struct {
	*Directory
	members   []swim.Member
	now       time.Time
	hasQuorum bool
}

func newDirectoryHarness(homeRegions [][]string, members ...swim.Member) *directoryHarness {
	h := &directoryHarness{members: members, now: time.Unix(1000, 0), hasQuorum: true}
	h.Directory = New(Options{
		Members:     func() []swim.Member { return h.members },
		Region:      "r",
		HasQuorum:   func() bool { return h.hasQuorum },
		Now:         func() time.Time { return h.now },
		HomeRegions: func(string) [][]string { return homeRegions },
	})
	h.RecordMembers()
	return h
}

// advanceSecond advances the clock by a second and records the members, as a running directory does.
func (h *directoryHarness) advanceSecond() {
	h.now = h.now.Add(time.Second)
	h.RecordMembers()
}

func (h *directoryHarness) stopServing(index int) { h.members[index].Meta.Serving = false }

// The only relay of a region stops for planned work. The region's clients are sent to a home region of the host's routes, not to any
// other region.
func TestClientsAreSentToHomeRegionWhenTheirRegionHasNoRelay(t *testing.T) {
	own, home, other := relay("own", "a", "r"), relay("home", "b", "s"), relay("other", "c", "u")
	h := newDirectoryHarness([][]string{{"r", "s"}}, own, home, other)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"own:80"})
	h.stopServing(0)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"home:80"})
	assert.DeepEqual(t, h.addresses("h", "c", "u"), []string{"other:80"}) // the client's own region is always allowed
}

func TestRegionThatIsHomeOfMostRoutesIsPreferred(t *testing.T) {
	s, u, v := relay("s", "b", "s"), relay("u", "c", "u"), relay("v", "d", "v")
	h := newDirectoryHarness([][]string{{"s", "u"}, {"u"}, {"v", "u"}}, s, u, v)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"u:80"})
	h.stopServing(1)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"s:80", "v:80"}) // each is a home region of one route
}

func TestHostWithoutHomeRegionsIsServedAnywhere(t *testing.T) {
	s, u := relay("s", "b", "s"), relay("u", "c", "u")
	h := newDirectoryHarness(nil, s, u)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"s:80", "u:80"})
}

// A relay in a home region that stops for planned work is expected back. Until then no relay outside the home regions is returned.
func TestNoRelayOutsideHomeRegionsWhileOnlyHomeRestarts(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	h := newDirectoryHarness([][]string{{"r"}}, own, other)
	h.stopServing(0)
	h.advanceSecond()
	assert.Equal(t, len(h.addresses("h", "a", "r")), 0)
	h.members = h.members[1:] // it has left
	h.advanceSecond()
	assert.Equal(t, len(h.addresses("h", "a", "r")), 0)
	h.now = h.now.Add(lostRelayRetention)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"}) // the retention has expired: it is no longer expected back
}

// If the only relay in a home region is lost without an announcement, its clients are sent to any relay.
func TestRelayOutsideHomeRegionsServesWhenOnlyHomeIsLost(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	h := newDirectoryHarness([][]string{{"r"}}, own, other)
	h.members = h.members[1:]
	h.advanceSecond()
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"})
}

func TestSuspectedHomeRelayIsPreferredToRelayOutside(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	own.Status = swim.Suspect
	h := newDirectoryHarness([][]string{{"r"}}, own, other)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"own:80"})
	other.Status = swim.Suspect
	h.members = []swim.Member{other}
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"}) // no other relay is left
}

func TestIsolatedDirectoryReturnsOnlyLostRelaysInHomeRegions(t *testing.T) {
	own, home, other := relay("own", "a", "r"), relay("home", "b", "s"), relay("other", "c", "u")
	h := newDirectoryHarness([][]string{{"s"}}, own, home, other)
	h.members = h.members[:1]
	h.hasQuorum = false
	h.now = h.now.Add(time.Second)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"own:80", "home:80"})
}
