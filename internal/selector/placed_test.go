package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
)

// said is a picture that says one thing of every opening.
type said struct {
	region   string
	replicas int
	known    bool
	counted  []PromptPart
	homes    []string
}

func (p *said) Count(_ time.Time, part PromptPart, homes []string) {
	p.counted = append(p.counted, part)
	p.homes = homes
}

func (p *said) Home(uint64) (region string, replicas int, ok bool) {
	return p.region, p.replicas, p.known
}

func newPlacedFleet(t *testing.T, picture *said) *fleet {
	f := newFleetAt(t, homeZone, 9)
	f.s.options.Openings = picture
	f.engines(homeZone, 6)
	f.engines(nextZone, 6)
	return f
}

func TestAnOpeningGoesWhereThePictureSays(t *testing.T) {
	f := newPlacedFleet(t, &said{region: next, replicas: 1, known: true})
	for opening := range uint64(40) {
		d := f.sent(f.dossier(opening))
		assert.Equal(t, d.Instance.Zone, nextZone, "opening %d", opening)
		f.served(d, 300*time.Millisecond)
		f.after(200 * time.Millisecond)
	}
}

func TestWithoutAPictureTheRankingHolds(t *testing.T) {
	plain := newFleetAt(t, homeZone, 9)
	plain.engines(homeZone, 6)
	plain.engines(nextZone, 6)
	pictures := []*said{{}, {region: "", replicas: 1, known: true}, {region: "nowhere", replicas: 1, known: true}}
	var placed []*fleet
	for _, picture := range pictures {
		placed = append(placed, newPlacedFleet(t, picture))
	}
	for opening := range uint64(40) {
		want := plain.sent(plain.dossier(opening))
		plain.served(want, 300*time.Millisecond)
		plain.after(200 * time.Millisecond)
		for index, f := range placed {
			d := f.sent(f.dossier(opening))
			assert.Equal(t, d.Instance.ID, want.Instance.ID, "opening %d, picture %d", opening, index)
			f.served(d, 300*time.Millisecond)
			f.after(200 * time.Millisecond)
		}
	}
}

func TestThePictureNeverLeadsOutOfTheHomes(t *testing.T) {
	picture := &said{region: next, replicas: 2, known: true}
	f := newPlacedFleet(t, picture)
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	for opening := range uint64(40) {
		d := f.sent(f.dossier(opening))
		assert.Equal(t, d.Instance.Zone, homeZone)
		f.served(d, 300*time.Millisecond)
		f.after(200 * time.Millisecond)
	}
	assert.DeepEqual(t, picture.homes, []string{home})
}

func TestAPlaceThatIsGoneIsNotWaitedFor(t *testing.T) {
	f := newPlacedFleet(t, &said{region: next, replicas: 1, known: true})
	f.change(nextZone, func(instance *registry.Instance) { instance.State = registry.StateDraining })
	assert.Equal(t, f.sent(f.dossier(1)).Instance.Zone, homeZone)
}

func TestReplicasShareAnOpening(t *testing.T) {
	met := func(replicas int) int {
		f := newPlacedFleet(t, &said{region: home, replicas: replicas, known: true})
		places := map[string]bool{}
		for range 30 {
			d := f.sent(f.dossier(5))
			places[d.Instance.ID] = true
			f.after(100 * time.Millisecond)
			f.served(d, 0)
			f.after(2 * keptFor)
		}
		return len(places)
	}
	assert.Equal(t, met(1), 1)
	assert.Equal(t, met(2), 2)
	assert.Equal(t, met(3), 3)
}

func TestARequestIsCountedOnce(t *testing.T) {
	picture := &said{}
	f := newPlacedFleet(t, picture)
	r := f.dossier(3)
	f.choose(r)
	f.choose(r)
	assert.DeepEqual(t, picture.counted, r.Parts[:1])
	small := f.request("query")
	small.Parts = []PromptPart{{ID: 9, Tokens: 55}}
	f.choose(small)
	assert.Equal(t, len(picture.counted), 1, "a small opening is not worth counting")
}

func TestEngineCapacityCountsWarmEndpoints(t *testing.T) {
	f := newPlacedFleet(t, &said{})
	f.plain(homeZone, 3)
	for _, capacity := range f.s.EngineCapacity() {
		switch capacity.Region {
		case home, next:
			assert.Equal(t, capacity.Endpoints, 6)
			assert.Assert(t, capacity.Memory > 0)
		default:
			assert.Equal(t, capacity.Endpoints, 0)
		}
	}
}
