package directory

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim"
)

func relay(name, zone, region string) swim.Member {
	return swim.Member{
		Name: name, Address: name + ":1",
		Meta: swim.Meta{Zone: zone, Region: region, Front: name + ":80", Serving: true},
	}
}

// nearest returns the answer for a host none of whose routes has home regions.
func nearest(members []swim.Member, zone, region string) []string {
	return query{zone: zone, region: region}.nearest(members, func() bool { return false })
}

func TestNearestGroupWithARelayIsReturned(t *testing.T) {
	near, same, far := relay("near", "a", "r"), relay("same", "b", "r"), relay("far", "c", "s")
	all := []swim.Member{far, same, near}
	assert.DeepEqual(t, nearest(all, "a", "r"), []string{"near:80"})
	assert.DeepEqual(t, nearest(all, "x", "r"), []string{"same:80", "near:80"})
	assert.DeepEqual(t, nearest(all, "x", "y"), []string{"far:80", "same:80", "near:80"})
	assert.DeepEqual(t, nearest(all, "c", "s"), []string{"far:80"})
}

func TestRelaysThatDoNotServeAreOmitted(t *testing.T) {
	stopping, control := relay("stopping", "a", "r"), relay("control", "a", "r")
	stopping.Meta.Serving = false
	control.Meta.Front = ""
	assert.Assert(t, nearest([]swim.Member{stopping, control}, "a", "r") == nil)
}

func TestSuspectedRelaysAreReturnedLast(t *testing.T) {
	suspected, far := relay("doubted", "a", "r"), relay("far", "c", "s")
	suspected.Status = swim.Suspect
	assert.DeepEqual(t, nearest([]swim.Member{suspected, far}, "a", "r"), []string{"far:80"})
	assert.DeepEqual(t, nearest([]swim.Member{suspected}, "a", "r"), []string{"doubted:80"})
}

func TestAddressCountIsLimited(t *testing.T) {
	var many []swim.Member
	for number := range 200 {
		many = append(many, relay(fmt.Sprintf("edge-%d", number), "a", "r"))
	}
	d := New(Options{Members: func() []swim.Member { return many }})
	assert.Equal(t, len(d.addresses("", "a", "r")), maxAddresses)
}

func TestResolveFollowsTheProtocol(t *testing.T) {
	members := []swim.Member{relay("10.1.0.10", "a", "r")}
	handler := New(Options{Members: func() []swim.Member { return members }, MaxTTL: 5 * time.Second}).Handler()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/resolve?name=h.example&region=r&zone=a", nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	var answer Resolution
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	assert.DeepEqual(t, answer, Resolution{Addresses: []string{"10.1.0.10:80"}, TTLS: 2})

	members = nil
	recorder = httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/resolve?name=h.example&region=r&zone=a", nil))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Assert(t, recorder.Header().Get("Retry-After") != "")
}

func TestTTLIsBounded(t *testing.T) {
	assert.Equal(t, Options{MaxTTL: time.Second}.ttlSeconds(), 1)
	assert.Equal(t, Options{MaxTTL: time.Minute}.ttlSeconds(), 2)
	assert.Equal(t, Options{}.ttlSeconds(), 2)
}

// A directory that is isolated from every other region returns the relays that it has lost in addition to the near ones.
func TestIsolatedDirectoryReturnsLostRelays(t *testing.T) {
	near, same, far := relay("near", "a", "r"), relay("same", "b", "r"), relay("far", "c", "s")
	members := []swim.Member{near, same, far}
	now := time.Unix(1000, 0)
	hasQuorum := true
	d := New(Options{
		Members:   func() []swim.Member { return members },
		Region:    "r",
		HasQuorum: func() bool { return hasQuorum },
		Now:       func() time.Time { return now },
	})
	d.RecordMembers()
	members = []swim.Member{near, same}
	now = now.Add(time.Second)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"}) // another region is lost, but this process has a quorum
	hasQuorum = false
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80", "far:80"})
	now = now.Add(lostRelayRetention)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"}) // the retention has expired
}

// A directory that has lost only the quorum, but still sees relays of other regions, answers as usual.
func TestDirectoryWithContactToOtherRegionsIsNotIsolated(t *testing.T) {
	near, far, lost := relay("near", "a", "r"), relay("far", "c", "s"), relay("gone", "d", "u")
	members := []swim.Member{near, far, lost}
	now := time.Unix(1000, 0)
	d := New(Options{
		Members:   func() []swim.Member { return members },
		Region:    "r",
		HasQuorum: func() bool { return false },
		Now:       func() time.Time { return now },
	})
	d.RecordMembers()
	members = []swim.Member{near, far}
	now = now.Add(time.Second)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"})
}
