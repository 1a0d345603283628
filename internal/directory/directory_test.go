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

// nearest asks for a host none of whose routes has homes.
func nearest(members []swim.Member, zone, region string) []string {
	return query{zone: zone, region: region}.nearest(members, func() bool { return false })
}

func TestNearestRingWithARelayIsAnswered(t *testing.T) {
	near, same, far := relay("near", "a", "r"), relay("same", "b", "r"), relay("far", "c", "s")
	all := []swim.Member{far, same, near}
	assert.DeepEqual(t, nearest(all, "a", "r"), []string{"near:80"})
	assert.DeepEqual(t, nearest(all, "x", "r"), []string{"same:80", "near:80"})
	assert.DeepEqual(t, nearest(all, "x", "y"), []string{"far:80", "same:80", "near:80"})
	assert.DeepEqual(t, nearest(all, "c", "s"), []string{"far:80"})
}

func TestRelaysThatTakeNoTrafficAreLeftOut(t *testing.T) {
	stopping, control := relay("stopping", "a", "r"), relay("control", "a", "r")
	stopping.Meta.Serving = false
	control.Meta.Front = ""
	assert.Assert(t, nearest([]swim.Member{stopping, control}, "a", "r") == nil)
}

func TestSuspectedRelaysAreALastResort(t *testing.T) {
	doubted, far := relay("doubted", "a", "r"), relay("far", "c", "s")
	doubted.Status = swim.Suspect
	assert.DeepEqual(t, nearest([]swim.Member{doubted, far}, "a", "r"), []string{"far:80"})
	assert.DeepEqual(t, nearest([]swim.Member{doubted}, "a", "r"), []string{"doubted:80"})
}

func TestNoMoreAddressesThanAClientTakes(t *testing.T) {
	var many []swim.Member
	for number := range 200 {
		many = append(many, relay(fmt.Sprintf("edge-%d", number), "a", "r"))
	}
	d := New(Options{Members: func() []swim.Member { return many }})
	assert.Equal(t, len(d.addresses("", "a", "r")), mostAddresses)
}

func TestResolveAnswersAsTheProtocolSays(t *testing.T) {
	members := []swim.Member{relay("10.1.0.10", "a", "r")}
	handler := New(Options{Members: func() []swim.Member { return members }, HoldMax: 5 * time.Second}).Handler()
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

func TestAnswersAreHeldNoLongerThanTheBound(t *testing.T) {
	assert.Equal(t, Options{HoldMax: time.Second}.holdSeconds(), 1)
	assert.Equal(t, Options{HoldMax: time.Minute}.holdSeconds(), 2)
	assert.Equal(t, Options{}.holdSeconds(), 2)
}

// A directory that is cut off from every other region names the relays that it has lost beside the near ones.
func TestDirectoryThatIsCutOffNamesWhatItLost(t *testing.T) {
	near, same, far := relay("near", "a", "r"), relay("same", "b", "r"), relay("far", "c", "s")
	members := []swim.Member{near, same, far}
	now := time.Unix(1000, 0)
	inTouch := true
	d := New(Options{
		Members: func() []swim.Member { return members },
		Region:  "r",
		InTouch: func() bool { return inTouch },
		Now:     func() time.Time { return now },
	})
	d.Note()
	members = []swim.Member{near, same}
	now = now.Add(time.Second)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"}) // a region is lost, and this side goes on
	inTouch = false
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80", "far:80"})
	now = now.Add(rememberFor)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"}) // lost for too long
}

// One that has lost the other control processes alone still hears relays elsewhere, and answers as ever.
func TestDirectoryThatHearsOtherRegionsIsNotCutOff(t *testing.T) {
	near, far, gone := relay("near", "a", "r"), relay("far", "c", "s"), relay("gone", "d", "u")
	members := []swim.Member{near, far, gone}
	now := time.Unix(1000, 0)
	d := New(Options{
		Members: func() []swim.Member { return members },
		Region:  "r",
		InTouch: func() bool { return false },
		Now:     func() time.Time { return now },
	})
	d.Note()
	members = []swim.Member{near, far}
	now = now.Add(time.Second)
	assert.DeepEqual(t, d.addresses("", "a", "r"), []string{"near:80"})
}
