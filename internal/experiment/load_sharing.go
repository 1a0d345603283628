package experiment

import (
	"fmt"
	"time"

	"wallflow/internal/selector"
	"wallflow/internal/workload"
)

// loadSharing exchanges load reports between the simulated relays with the same workload.Node that real relays use.
type loadSharing struct {
	sim          *simulation
	selectors    []*selector.Selector
	nodes        []*workload.Node
	relayIndexes map[string]int // by relay address
	stopAt       time.Time
}

func relayAddress(relay int) string { return fmt.Sprintf("relay-%d", relay) }

// startLoadSharing starts the periodic exchange. It continues until the last request must have ended.
func startLoadSharing(sim *simulation, selectors []*selector.Selector) {
	s := &loadSharing{sim: sim, selectors: selectors, relayIndexes: map[string]int{},
		stopAt: sim.now.Add(sim.options.Duration + sim.options.longestTimeout())}
	var members []workload.Member
	for relay := range selectors {
		members = append(members, workload.Member{Address: relayAddress(relay), Zone: zoneName(sim.regionOfRelay(relay))})
		s.relayIndexes[relayAddress(relay)] = relay
	}
	for relay, member := range members {
		node := workload.New(workload.Options{Self: member, Life: uint64(relay) + 1})
		node.SetMembers(members)
		s.nodes = append(s.nodes, node)
	}
	s.tick()
}

// tick sends each relay's load report, passes what it has received to its selector, and schedules the next tick.
func (s *loadSharing) tick() {
	now := s.sim.now
	for relay, node := range s.nodes {
		for _, send := range node.Tick(now, s.selectors[relay].TakeReport(now)) {
			to := s.relayIndexes[send.To]
			s.sim.schedule(now.Add(s.sim.relayDelay(relay, to)), func() {
				s.nodes[to].Receive(s.sim.now, relayAddress(relay), send.Message)
			})
		}
		loads, speedSums, known := node.Others(now)
		s.selectors[relay].SetOtherLoads(now, loads, known)
		s.selectors[relay].SetOtherSpeedSums(speedSums)
		s.selectors[relay].RecordPrefills(now, node.TakePrefills())
	}
	if now.Before(s.stopAt) {
		s.sim.schedule(now.Add(workload.LocalInterval), s.tick)
	}
}
