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
	members    []swim.Member
	departures []swim.Departure
	now        time.Time
	hasQuorum  bool
}

func newDirectoryHarness(homeRegions [][]string, members ...swim.Member) *directoryHarness {
	h := &directoryHarness{members: members, now: time.Unix(1000, 0), hasQuorum: true}
	h.Directory = New(Options{
		Members:     func() []swim.Member { return h.members },
		Region:      "r",
		HasQuorum:   func() bool { return h.hasQuorum },
		Now:         func() time.Time { return h.now },
		HomeRegions: func(string) [][]string { return homeRegions },
		Departures:  h.departuresAfter,
	})
	h.RecordMembers()
	return h
}

func (h *directoryHarness) departuresAfter(after time.Time) []swim.Departure {
	var later []swim.Departure
	for _, departure := range h.departures {
		if departure.LearnedAt.After(after) {
			later = append(later, departure)
		}
	}
	return later
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

// A directory that had just started led clients out of the home regions: it took the relays there, which it had not seen serve, for lost
// while they were only being restarted. The relay still answers here.
func TestNewDirectoryWaitsForHomeRelayThatIsStopping(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	own.Meta.Serving = false
	h := newDirectoryHarness([][]string{{"r"}}, own, other)
	for elapsed := time.Duration(0); elapsed <= lostRelayRetention; elapsed += time.Second {
		assert.Equal(t, len(h.addresses("h", "a", "r")), 0, "after %v", elapsed)
		h.advanceSecond()
	}
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"}) // it does not come back
	h.advanceSecond()
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"})
	h.members[0].Meta.Serving = true
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"own:80"})
}

// The same where the relay has left before the directory started.
func TestNewDirectoryWaitsForHomeRelayThatHasLeft(t *testing.T) {
	own, other := relay("own", "a", "r"), relay("other", "c", "u")
	h := newDirectoryHarness([][]string{{"r"}}, other)
	h.departures = []swim.Departure{{Member: own, LearnedAt: h.now}}
	assert.Equal(t, len(h.addresses("h", "a", "r")), 0)
	h.now = h.now.Add(lostRelayRetention - time.Second)
	assert.Equal(t, len(h.addresses("h", "a", "r")), 0)
	h.now = h.now.Add(2 * time.Second)
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"other:80"})
}

// A relay that this process has never seen serve is not among those that an isolated directory adds.
func TestIsolatedDirectoryReturnsNoRelayThatNeverServed(t *testing.T) {
	own, far := relay("own", "a", "r"), relay("far", "c", "s")
	far.Meta.Serving = false
	h := newDirectoryHarness(nil, own, far)
	h.members, h.hasQuorum = h.members[:1], false
	h.advanceSecond()
	assert.DeepEqual(t, h.addresses("h", "a", "r"), []string{"own:80"})
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
