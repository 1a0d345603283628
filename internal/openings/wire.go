package openings

import (
	"math"
	"slices"
	"time"

	"wallflow/internal/openings/openingspb"
)

// rateUnits is how many units of the wire are one request a second.
const rateUnits = 1000

// weightUnits is what a part counts on the wire when it counts in full.
const weightUnits = 100

// encoder fills one message for a receiver in a region, and leaves out what that region may not know.
type encoder struct {
	message *openingspb.Message
	region  string
	now     time.Time
	mistake mistake
}

func (e *encoder) allows(key Key) bool {
	return e.mistake == mistakeHomesIgnored || key.Homes.Allows(e.region)
}

// homes is the index of a set of homes in the message.
func (e *encoder) homes(homes Homes) uint32 {
	if homes == "" {
		return 0
	}
	at := slices.Index(e.message.Homes, string(homes))
	if at < 0 {
		e.message.Homes = append(e.message.Homes, string(homes))
		at = len(e.message.Homes) - 1
	}
	return uint32(at) + 1
}

// demand encodes the first entries of a demand, most at the most.
func (e *encoder) demand(demand Demand, most int) *openingspb.Demand {
	floor := demand.Floor
	encoded := &openingspb.Demand{}
	for _, entry := range demand.Entries {
		if !e.allows(entry.Key) {
			continue
		}
		if len(encoded.Entries) >= most {
			floor = max(floor, entry.Estimate()+entry.Error)
			continue
		}
		encoded.Entries = append(encoded.Entries, &openingspb.Entry{
			Part:   entry.Key.Part,
			Homes:  e.homes(entry.Key.Homes),
			Tokens: uint32(entry.Tokens),
			Rate:   toUnits(entry.Rate),
			Recent: toUnits(entry.Recent),
			Error:  toUnits(entry.Error),
		})
	}
	encoded.Floor = toUnits(floor)
	return encoded
}

func (e *encoder) part(part Part, most int) *openingspb.Part {
	encoded := &openingspb.Part{
		Scope:    part.Scope,
		Token:    part.Version.Token,
		Owner:    part.Version.Owner,
		Sequence: part.Version.Sequence,
		AgeMs:    e.age(part.AsOf),
		Demand:   e.demand(part.Demand, most),
	}
	for _, status := range part.Covered {
		encoded.Covered = append(encoded.Covered, &openingspb.Coverage{
			Region: status.Region,
			AgeMs:  uint32(status.Age.Milliseconds()),
			Weight: uint32(status.Weight * weightUnits),
		})
	}
	return encoded
}

func (e *encoder) decisions(list []*Decision) {
	for _, decision := range list {
		if !e.allows(decision.Key) {
			continue
		}
		encoded := &openingspb.Decision{
			Part:  decision.Key.Part,
			Homes: e.homes(decision.Key.Homes),
			Token: decision.Token,
			Owner: decision.Owner,
			AgeMs: e.age(decision.AsOf),
		}
		for _, share := range decision.Shares {
			replicas := uint32(share.Replicas)
			encoded.Shares = append(encoded.Shares, &openingspb.Share{Region: share.Region, Replicas: replicas})
		}
		e.message.Decisions = append(e.message.Decisions, encoded)
	}
}

func (e *encoder) age(at time.Time) uint32 {
	return uint32(min(math.MaxUint32, max(0, e.now.Sub(at).Milliseconds())))
}

func toUnits(rate float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(rate*rateUnits))))
}

// decoder reads one message.
type decoder struct {
	message *openingspb.Message
	region  string // of this relay
	now     time.Time
	faults  *Faults
}

// key reads the name of an opening. It is not taken if this region may not know it.
func (d *decoder) key(part uint64, homes uint32) (Key, bool) {
	key := Key{Part: part}
	if homes > 0 {
		if int(homes) > len(d.message.Homes) {
			return Key{}, false
		}
		key.Homes = Homes(d.message.Homes[homes-1])
	}
	if !key.Homes.Allows(d.region) {
		d.faults.BrokenHomes++
		return Key{}, false
	}
	return key, true
}

func (d *decoder) demand(encoded *openingspb.Demand) Demand {
	demand := Demand{Floor: float64(encoded.GetFloor()) / rateUnits}
	for _, entry := range encoded.GetEntries() {
		if len(demand.Entries) >= partMost {
			break
		}
		key, known := d.key(entry.GetPart(), entry.GetHomes())
		if !known {
			continue
		}
		demand.Entries = append(demand.Entries, Entry{
			Key:    key,
			Tokens: int(entry.GetTokens()),
			Rate:   float64(entry.GetRate()) / rateUnits,
			Recent: float64(entry.GetRecent()) / rateUnits,
			Error:  float64(entry.GetError()) / rateUnits,
		})
	}
	return demand
}

func (d *decoder) part(encoded *openingspb.Part) Part {
	part := Part{
		Scope: encoded.GetScope(),
		Version: Version{
			Token:    encoded.GetToken(),
			Owner:    encoded.GetOwner(),
			Sequence: encoded.GetSequence(),
		},
		AsOf:   d.asOf(encoded.GetAgeMs()),
		Demand: d.demand(encoded.GetDemand()),
	}
	for _, status := range encoded.GetCovered() {
		part.Covered = append(part.Covered, RegionStatus{
			Region: status.GetRegion(),
			Age:    time.Duration(status.GetAgeMs()) * time.Millisecond,
			Weight: float64(status.GetWeight()) / weightUnits,
		})
	}
	return part
}

func (d *decoder) report(encoded *openingspb.Report) Part {
	return Part{
		Scope:   encoded.GetRelay(),
		Version: Version{Token: encoded.GetLife(), Sequence: encoded.GetSequence()},
		AsOf:    d.now,
		Demand:  d.demand(encoded.GetDemand()),
	}
}

func (d *decoder) decision(encoded *openingspb.Decision) (Decision, bool) {
	key, known := d.key(encoded.GetPart(), encoded.GetHomes())
	if !known {
		return Decision{}, false
	}
	decision := Decision{
		Key:   key,
		Token: encoded.GetToken(),
		Owner: encoded.GetOwner(),
		AsOf:  d.asOf(encoded.GetAgeMs()),
	}
	for _, share := range encoded.GetShares() {
		decision.Shares = append(decision.Shares, Share{Region: share.GetRegion(), Replicas: int(share.GetReplicas())})
	}
	return decision, true
}

func (d *decoder) asOf(ageMs uint32) time.Time {
	return d.now.Add(-time.Duration(ageMs) * time.Millisecond)
}
