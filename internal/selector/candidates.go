package selector

import (
	"time"
)

const (
	unranked = -1
	// preferred is how many endpoints of a prompt's ranking are told apart.
	preferred = len(preference)
	// chances is how many endpoints of a large tier are looked at by chance.
	chances = 4
	// retryLook is how long until an endpoint that is busy with its trial or out of connections is looked at again.
	retryLook = 50 * time.Millisecond
	// affinityLeast is the size of a prompt's first part from which it is worth meeting others that begin with it.
	affinityLeast = 512
	// lookAtSkipped is how many skipped or foreign endpoints are asked when the next is free.
	lookAtSkipped = 16
	// connectionShare is the part of an endpoint's connections that the relays of a zone use.
	connectionShare = 0.8
)

// candidate is an endpoint that is looked at for a request.
type candidate struct {
	endpoint *endpoint
	rank     int
}

// choice is an endpoint with what is expected of it.
type choice struct {
	endpoint *endpoint
	estimate estimate
	cost     float64 // with its variation
	ranked   bool
}

// earliestChange keeps the earliest of the times at which something may change; the zero time: never.
type earliestChange struct{ at time.Time }

func (s *earliestChange) note(at time.Time) {
	if s.at.IsZero() || at.Before(s.at) {
		s.at = at
	}
}

// search says how the endpoints of a tier are looked through.
type search struct {
	forced bool // the pace doesn't matter any more
	home   bool // the tier is the one that keeps the opening of the request's prompt
}

// best finds the endpoint of a tier with the least cost for a request, and notes when others may take it.
func (s *Selector) best(now time.Time, request *Request, tier *tier, with search, later *earliestChange) choice {
	var best choice
	s.scratch = s.candidates(now, s.scratch[:0], request, tier)
	if !with.home || s.placesFreely(request) {
		unrank(s.scratch)
	}
	for _, candidate := range s.scratch {
		if free := s.admits(now, request, candidate.endpoint, with.forced); free.After(now) {
			later.note(free)
			continue
		}
		estimate := s.estimate(now, request, candidate.endpoint, candidate.rank)
		cost := s.vary(estimate.cost)
		if best.endpoint == nil || cost < best.cost {
			best = choice{endpoint: candidate.endpoint, estimate: estimate, cost: cost, ranked: candidate.rank != unranked}
		}
	}
	for _, place := range [...]placeOf{placeSkipped, placeForeign} {
		list := tier.lists[place]
		for _, endpoint := range list[:min(len(list), lookAtSkipped)] {
			later.note(endpoint.recheckAt)
		}
	}
	return best
}

// candidates are the endpoints of a tier to look at: all of a small one; of a large one the first in the prompt's ranking, and a
// few by chance.
func (s *Selector) candidates(now time.Time, into []candidate, request *Request, tier *tier) []candidate {
	warm := tier.warm()
	part, affine := request.affinity()
	if tier.groups == nil {
		for _, endpoint := range warm {
			into = append(into, candidate{endpoint: endpoint, rank: unranked})
		}
	} else {
		if affine {
			for _, endpoint := range tier.groups[topGroup(part, len(tier.groups))] {
				into = append(into, candidate{endpoint: endpoint, rank: unranked})
			}
		}
	}
	if affine {
		rankCandidates(part, into)
	}
	if tier.groups != nil {
		into = keepRanked(into)
		into = s.draw(into, warm, chances)
		into = s.addConnected(into, tier)
	}
	if affine && s.on(SharedOpenings) {
		into = s.addKeepers(now, into, request, tier)
	}
	return s.draw(into, tier.lists[placeOwned], chances)
}

// addKeepers adds the endpoints that keep the request's opening. Where there are any, the ranking credits nobody: it only says who is to
// read an opening that nobody keeps.
func (s *Selector) addKeepers(now time.Time, into []candidate, request *Request, tier *tier) []candidate {
	found := len(into)
	into = s.keepersOf(now, into, request, tier)
	if len(into) > found {
		unrank(into)
	}
	return into
}

// draw adds endpoints by chance, or all if they are few. One may come twice; that does no harm.
func (s *Selector) draw(into []candidate, from []*endpoint, count int) []candidate {
	if len(from) <= count {
		for _, endpoint := range from {
			into = append(into, candidate{endpoint: endpoint, rank: unranked})
		}
		return into
	}
	for range count {
		into = append(into, candidate{endpoint: from[s.random.IntN(len(from))], rank: unranked})
	}
	return into
}

// affinity is the hash of the part that the prompt's ranking goes by, if it is large enough to matter.
func (r *Request) affinity() (part uint64, affine bool) {
	if r.apart || len(r.Parts) == 0 || r.Parts[0].Tokens < affinityLeast {
		return 0, false
	}
	return mix(r.Parts[0].ID), true
}

// topGroup is the group of a large tier that a prompt belongs to, by rendezvous hashing over the groups.
func topGroup(part uint64, groups int) int {
	top, weight := 0, uint64(0)
	for group := range groups {
		if claim := rendezvous(part, mix(uint64(group)+1)); claim >= weight {
			top, weight = group, claim
		}
	}
	return top
}

// rankCandidates marks the first few of a prompt's ranking by rendezvous hashing.
func rankCandidates(part uint64, candidates []candidate) {
	var top [preferred]int
	var weights [preferred]uint64
	found := 0
	for index := range candidates {
		weight := rendezvous(part, candidates[index].endpoint.hash)
		at := min(found, preferred)
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == preferred {
			continue
		}
		copy(weights[at+1:], weights[at:])
		copy(top[at+1:], top[at:])
		weights[at], top[at] = weight, index
		found = min(found+1, preferred)
	}
	for rank := range found {
		candidates[top[rank]].rank = rank
	}
}

// unrank takes the ranking away: in a region that is not the opening's home, nobody else has its prompts read.
func unrank(candidates []candidate) {
	for index := range candidates {
		candidates[index].rank = unranked
	}
}

// keepRanked drops the candidates that are not ranked.
func keepRanked(candidates []candidate) []candidate {
	kept := candidates[:0]
	for _, candidate := range candidates {
		if candidate.rank != unranked {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// admits is when an endpoint may take a request: now, or later. A forced request doesn't mind the pace.
func (s *Selector) admits(now time.Time, request *Request, endpoint *endpoint, forced bool) time.Time {
	if until := request.avoids(endpoint); until.After(now) {
		return until
	}
	if endpoint.skip.until.After(now) {
		return endpoint.skip.until // it entered the table while its tier was looked through
	}
	if endpoint.skip.down && endpoint.trial != nil {
		return s.onTrial(now, endpoint)
	}
	if endpoint.load.outstanding >= s.connections(endpoint) {
		return now.Add(retryLook)
	}
	if free := s.zoneFree(now, endpoint); free.After(now) {
		return free
	}
	if endpoint.hangs(now) {
		s.enterSkip(now, endpoint)
		return endpoint.skip.until
	}
	free := now
	if endpoint.place == placeOwned {
		free = s.coldFree(now, endpoint)
	}
	if forced {
		return free
	}
	if paced := endpoint.pace.nextAt(now); paced.After(free) {
		return paced
	}
	return free
}

// onTrial says when an endpoint is looked at again whose one trial after a skip is out. A trial that is overdue has failed.
func (s *Selector) onTrial(now time.Time, endpoint *endpoint) time.Time {
	trial := endpoint.trial
	if !now.After(trial.overdueAt()) || !endpoint.health.heardAt.Before(trial.sentAt) {
		return now.Add(retryLook)
	}
	s.enterSkip(now, endpoint)
	return endpoint.skip.until
}

// connections is how many connections to an endpoint this relay may use: an even part of what it accepts from all.
func (s *Selector) connections(endpoint *endpoint) int {
	backend := endpoint.service.backend
	if backend == nil || backend.MaxConns <= 0 {
		return endpoint.slots()
	}
	return max(1, int(connectionShare*float64(backend.MaxConns))/s.relays)
}
