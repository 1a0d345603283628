package experiment

import (
	"fmt"
	"time"

	"wallflow/internal/selector"
	"wallflow/internal/workload"
)

// sharing has the relays of a play tell each other their loads, as those in service do.
type sharing struct {
	world     *world
	selectors []*selector.Selector
	nodes     []*workload.Node
	relays    map[string]int // by address
	until     time.Time
}

func relayAddress(relay int) string { return fmt.Sprintf("relay-%d", relay) }

// share begins the sharing; it goes on until the last request may have ended.
func share(w *world, selectors []*selector.Selector) {
	s := &sharing{world: w, selectors: selectors, relays: map[string]int{}, until: w.now.Add(w.options.For + w.options.longestTimeout())}
	var members []workload.Member
	for relay := range selectors {
		members = append(members, workload.Member{Address: relayAddress(relay), Zone: zoneName(w.regionOfRelay(relay))})
		s.relays[relayAddress(relay)] = relay
	}
	for relay, member := range members {
		node := workload.New(workload.Options{Self: member, Life: uint64(relay) + 1})
		node.SetMembers(members)
		s.nodes = append(s.nodes, node)
	}
	s.tick()
}

// tick has each relay tell its word, and schedules the next.
func (s *sharing) tick() {
	now := s.world.now
	for relay, node := range s.nodes {
		for _, send := range node.Tick(now, s.selectors[relay].TakeReport(now)) {
			to := s.relays[send.To]
			s.world.at(now.Add(s.world.delayBetween(relay, to)), func() {
				s.nodes[to].Receive(s.world.now, relayAddress(relay), send.Message)
			})
		}
		loads, sums, known := node.Others(now)
		s.selectors[relay].SetOtherLoads(now, loads, known)
		s.selectors[relay].SetOtherSpeedSums(sums)
		s.selectors[relay].RecordPrefills(now, node.TakePrefills())
	}
	if now.Before(s.until) {
		s.world.at(now.Add(workload.LocalInterval), s.tick)
	}
}
