package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wallflow/internal/units"
)

// Scenario is a kind of trial: it draws the steps of a plan from a seed.
type Scenario struct {
	Name  string
	About string
	Lists int // number of list servers; 0: none
	Steps func(rng *rand.Rand, h *Harness, length time.Duration) []Step
	// Policy makes agents register and relays follow the fleet policy.
	Policy bool
}

// Scenarios returns all scenarios.
func Scenarios() []*Scenario {
	all := []*Scenario{
		{"calm", "no faults: shows the cost of the test process and the relays", 0,
			func(*rand.Rand, *Harness, time.Duration) []Step { return nil }, false},
		{"berth", "a peak in traffic, with a slow partner and one that fails: a trial for demonstration", 0, berthSteps, false},
		{"relay-kill", "relays are killed at random moments, some while they compact their journals, and start again with their folders", 0,
			relayKillSteps, false},
		{"relay-freeze", "relays are stopped for longer than messages live, and continue", 0, relayFreezeSteps, false},
		{"partner-outage", "all endpoints of a partner fail for all relays, in one of several ways, and come back with low capacity", 0,
			partnerOutageSteps, false},
		{"agent-silent", "discovery sends no updates while endpoints drain and are removed", 0, agentSilentSteps, false},
		{"take-over", "successors take relays over during load; either process is killed or frozen at each step", 0, takeoverSteps, false},
		{"mass-kill", "70% of the relays are killed at once, and 30% again later", 0, massKillSteps, false},
		{"list-calm", "three list servers without faults", 3, listCalmSteps, false},
		{"list-leader-kill", "the leader of the list servers is killed or shut down repeatedly, and comes back with its folder", 3,
			listLeaderKillSteps, false},
		{"list-minority", "one list server is cut off from the others, the leader first, while users still reach it", 3, listMinoritySteps,
			false},
		{"list-majority-cut", "no majority of list servers can reach each other for a while", 3, listMajorityCutSteps, false},
		{"list-one-way", "a list server receives from the others and cannot send to them, or the other way round", 3, listOneWaySteps, false},
		{"list-freeze", "the leader of the list servers is stopped, and continues when another one leads", 3, listFreezeSteps, false},
		{"list-rolling-replace", "all list servers lose their folders, one by one, and are replaced while clients write", 3,
			listRollingReplaceSteps, false},
		{"list-all-dead", "all list servers are killed at once, and come back with their folders", 3, listAllDeadSteps, false},
		{"policy-calm", "the fleet's policy is changed without faults", 3, policyCalmSteps, true},
		{"policy-relay-down", "relays are killed before, while and after the policy is changed, and come back", 3, policyRelayDownSteps, true},
		{"policy-agent-kill", "agents are killed at each step of a change, some with their relays", 3, policyAgentKillSteps, true},
		{"policy-leader-kill", "the leader of the list servers is killed or stopped at each step of a change", 3, policyLeaderKillSteps, true},
		{"policy-in-doubt", "agents that were asked to promise are cut off from the service, for less and for longer than the hold", 3,
			policyInDoubtSteps, true},
		{"policy-freeze", "relays and agents are stopped at each step of a change, and continue after it", 3, policyFreezeSteps, true},
		{"policy-zone-cut", "all agents of a zone are cut off from the service at each step of a change, for less and for longer than the hold",
			3, policyZoneCutSteps, true},
		{"policy-two-at-once",
			"a second change is proposed while one is in flight, by another server, and the first may be dropped just before it is sealed", 3, policyTwoAtOnceSteps, true},
		{"policy-disk-fails", "agents cannot write while a change is staged or promised", 3, policyDiskFailsSteps, true},
		{"policy-all-dead", "all list servers, agents and relays are killed at once at each step of a change", 3, policyAllDeadSteps, true},
	}
	return all
}

// Find returns the scenario with a name.
func Find(name string) (*Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return nil, fmt.Errorf("scenario %q does not exist; there are %v", name, names)
}

func roundToMillis(duration time.Duration) units.Duration {
	return units.Duration{Duration: duration.Round(time.Millisecond)}
}

// drawTime draws a time between two fractions of the trial.
func drawTime(rng *rand.Rand, length time.Duration, from, to float64) time.Duration {
	return time.Duration((from + rng.Float64()*(to-from)) * float64(length))
}

// drawDuration draws a duration between two bounds.
func drawDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Float64()*float64(to-from))
}

// drawRelays draws a share of the relays, at least one.
func (h *Harness) drawRelays(rng *rand.Rand, share float64) []string {
	n := max(1, int(share*float64(len(h.relays))+0.5))
	var names []string
	for _, i := range rng.Perm(len(h.relays))[:n] {
		names = append(names, h.relays[i].Name)
	}
	return names
}

// drawPartnerEndpoints draws a partner with the probability of its traffic share, and returns its endpoints.
func (h *Harness) drawPartnerEndpoints(rng *rand.Rand) (all []string) {
	x := rng.Float64()
	last := h.environment.Partners[len(h.environment.Partners)-1]
	for _, p := range h.environment.Partners {
		if x -= p.Share; x < 0 {
			last = p
			break
		}
	}
	for _, e := range last.Endpoints {
		all = append(all, e.ID)
	}
	return all
}

func sortSteps(steps []Step) []Step {
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At.Duration - b.At.Duration) })
	return steps
}

func berthSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	failing := h.drawPartnerEndpoints(rng)
	return sortSteps([]Step{
		{At: roundToMillis(drawTime(rng, length, 0.2, 0.3)), Do: "slow", On: h.drawPartnerEndpoints(rng)[:1], For: roundToMillis(length / 4),
			Size: 5},
		{At: roundToMillis(drawTime(rng, length, 0.55, 0.6)), Do: "down", On: failing, For: roundToMillis(length / 8)},
		{At: roundToMillis(drawTime(rng, length, 0.3, 0.4)), Do: "restart", On: h.drawRelays(rng, 0.1),
			For: roundToMillis(200 * time.Millisecond)},
	})
}

func relayKillSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	kills := max(3, int(length.Seconds()/2))
	for i := range kills {
		actionName, latest := "kill", 0.85
		if i%3 == 2 {
			actionName, latest = "kill-compacting", max(0.1, 0.85-compactionTimeout.Seconds()/length.Seconds())
		}
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, 0.1, latest)), Do: actionName, On: h.drawRelays(rng, 0.2),
			For: roundToMillis(drawDuration(rng, 50*time.Millisecond, 900*time.Millisecond))})
	}
	return sortSteps(steps)
}

func relayFreezeSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	longest := h.load.LongestGiveUp().Duration
	for _, from := range []float64{0.1, 0.35, 0.55} {
		// Freezes that outlast messages, where the trial is long enough, and short ones.
		duration := min(longest+time.Second, time.Duration((0.9-from)*float64(length)))
		steps = append(steps,
			Step{At: roundToMillis(drawTime(rng, length, from, from+0.05)), Do: "freeze", On: h.drawRelays(rng, 0.15),
				For: roundToMillis(duration)},
			Step{At: roundToMillis(drawTime(rng, length, from+0.05, from+0.15)), Do: "freeze", On: h.drawRelays(rng, 0.2),
				For: roundToMillis(drawDuration(rng, 100*time.Millisecond, time.Second))})
	}
	return sortSteps(steps)
}

func partnerOutageSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	actionNames := []string{"down", "vanish", "hang", "shut", "break", "slow", "fail"}
	rng.Shuffle(len(actionNames), func(i, j int) { actionNames[i], actionNames[j] = actionNames[j], actionNames[i] })
	n := max(2, min(len(actionNames), int(length.Seconds()/4)))
	for i, actionName := range actionNames[:n] {
		from := 0.08 + 0.75*float64(i)/float64(n)
		s := Step{At: roundToMillis(drawTime(rng, length, from, from+0.05)), Do: actionName, On: h.drawPartnerEndpoints(rng),
			For: roundToMillis(max(time.Second, length/8))}
		switch actionName {
		case "slow":
			s.Size = 6 + rng.Float64()*18
		case "fail":
			s.Size = 0.5 + rng.Float64()*0.5
		}
		steps = append(steps, s)
	}
	lowered := Step{At: roundToMillis(drawTime(rng, length, 0.3, 0.6)), Do: "lower", On: h.drawPartnerEndpoints(rng),
		For: roundToMillis(length / 5), Size: 0.3 + rng.Float64()*0.4}
	return sortSteps(append(steps, lowered))
}

func agentSilentSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	silenced := h.drawRelays(rng, 0.5)
	var draining []string
	for _, p := range h.environment.Partners { // one endpoint of some partners, never the last one
		if len(p.Endpoints) > 1 && rng.Float64() < 0.4 {
			draining = append(draining, p.Endpoints[rng.IntN(len(p.Endpoints))].ID)
		}
	}
	if len(draining) == 0 {
		draining = []string{h.environment.Partners[0].Endpoints[0].ID}
	}
	steps := []Step{
		{At: roundToMillis(drawTime(rng, length, 0.08, 0.12)), Do: "silence", On: silenced, For: roundToMillis(length * 4 / 10)},
		{At: roundToMillis(drawTime(rng, length, 0.15, 0.2)), Do: "drain", On: draining[:(len(draining)+1)/2], For: roundToMillis(length / 5)},
		{At: roundToMillis(drawTime(rng, length, 0.25, 0.3)), Do: "kill", On: silenced[:1], For: roundToMillis(300 * time.Millisecond)},
		{At: roundToMillis(drawTime(rng, length, 0.7, 0.75)), Do: "move", On: h.drawRelays(rng, 0.5)},
	}
	if later := draining[(len(draining)+1)/2:]; len(later) > 0 {
		steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, 0.55, 0.6)), Do: "drain", On: later, For: roundToMillis(length / 6)})
	}
	return sortSteps(steps)
}

// takeoverDuration is how long a takeover may take with its fault, the predecessor's drain and its end.
const takeoverDuration = 4500 * time.Millisecond

func takeoverSteps(rng *rand.Rand, h *Harness, length time.Duration) (steps []Step) {
	// Plan as many takeovers as fit, one after the other for each relay. The order of the faults is drawn again when all
	// have been used.
	names := h.drawRelays(rng, 1)
	rounds := max(1, int(length*7/10/takeoverDuration))
	var order []int
	for round := range rounds {
		for _, name := range names {
			if len(order) == 0 {
				order = rng.Perm(len(TakeoverFaults))
			}
			from := 0.05 + 0.7*float64(round)/float64(rounds)
			steps = append(steps, Step{At: roundToMillis(drawTime(rng, length, from, from+0.1)), Do: "succeed", On: []string{name},
				For: roundToMillis(drawDuration(rng, 100*time.Millisecond, 1500*time.Millisecond)), Note: TakeoverFaults[order[0]]})
			order = order[1:]
		}
	}
	return sortSteps(steps)
}

func massKillSteps(rng *rand.Rand, h *Harness, length time.Duration) []Step {
	return []Step{
		{At: roundToMillis(drawTime(rng, length, 0.25, 0.3)), Do: "kill", On: h.drawRelays(rng, 0.7),
			For: roundToMillis(drawDuration(rng, 600*time.Millisecond, 2*time.Second))},
		{At: roundToMillis(drawTime(rng, length, 0.7, 0.75)), Do: "kill", On: h.drawRelays(rng, 0.3),
			For: roundToMillis(drawDuration(rng, 300*time.Millisecond, time.Second))},
	}
}
