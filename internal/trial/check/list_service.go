package check

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"wallflow/internal/trial/history"
)

// orderSearchTimeout limits the search for a linear order of writes and reads. A search that exceeds it counts as no
// evidence.
const orderSearchTimeout = 20 * time.Second

// checkList evaluates what writers, readers and followers of the list saw.
func (chk *checker) checkList() {
	if len(chk.writes)+len(chk.listReads)+len(chk.followerStates) == 0 {
		return
	}
	for _, n := range ListNames {
		chk.verdict.Judged[n] = 0
	}
	chk.checkWritesKept()
	chk.checkVersions()
	chk.checkConvergence()
	chk.checkNoticesForwarded()
	chk.checkListOutlives()
}

// checkListOutlives verifies that no relay is told that an endpoint is gone unless the endpoint was drained, even if the
// list servers or agents are down.
func (chk *checker) checkListOutlives() {
	drained := map[string]bool{}
	for i, e := range chk.events {
		if e.Kind == history.Fault && e.Note == "drain" {
			drained[e.Endpoint] = true
		}
		if _, ours := chk.rules.Cells[e.Endpoint]; e.Kind != history.ListUpdate || !ours {
			continue
		}
		chk.countCase(ListOutlives)
		if e.State == "gone" && !drained[e.Endpoint] {
			chk.addViolation(Violation{ListOutlives, e.Relay, fmt.Sprintf("it was told that %s is gone, which nobody removed", e.Endpoint), 0,
				[]int{i}}, 0, 0)
		}
	}
}

// checkNoticesForwarded verifies that an agent forwards every notice that it has acknowledged to a relay.
func (chk *checker) checkNoticesForwarded() {
	passed, examined := map[string]bool{}, 0
	for _, i := range chk.forwarded {
		e := chk.events[i]
		passed[e.ID] = true
		examined = max(examined, e.Number)
	}
	for i, e := range chk.events[:min(examined, len(chk.events))] {
		if e.Kind != history.Notice {
			continue
		}
		chk.countCase(NoticesPassOn)
		if !passed[e.ID] {
			chk.addViolation(Violation{NoticesPassOn, e.ID, "its notice was answered for by the agent of " + e.Relay + ", and never handed on", 0,
				[]int{i}}, 0, 0)
		}
	}
}

// entryOp is a write of one entry, or the part of a list read that concerns this entry.
type entryOp struct {
	id    string
	write bool
	value int64
}

// registerModel describes one entry of the list as a register: a read returns the value of the last write.
var registerModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var ids []string
		for _, o := range all {
			id := o.Input.(entryOp).id
			if by[id] == nil {
				ids = append(ids, id)
			}
			by[id] = append(by[id], o)
		}
		slices.Sort(ids)
		var parts [][]porcupine.Operation
		for _, id := range ids {
			parts = append(parts, by[id])
		}
		return parts
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		if op := input.(entryOp); op.write {
			return true, op.value
		}
		return output.(int64) == state.(int64), state
	},
}

// checkWritesKept verifies that the writes and confirmed reads of each entry are linearizable: there is one order,
// consistent with real time, in which each read returns the last written value. In particular, every later read sees an
// acknowledged write. A write with an unknown outcome may take effect at any later time, or never.
func (chk *checker) checkWritesKept() {
	ids := map[string]bool{}
	for _, i := range chk.writes {
		ids[chk.events[i].ID] = true
	}
	var ops []porcupine.Operation
	clientIDs := map[string]int{}
	clientID := func(name string) int {
		if _, ok := clientIDs[name]; !ok {
			clientIDs[name] = len(clientIDs)
		}
		return clientIDs[name]
	}
	for _, i := range chk.writes {
		e := chk.events[i]
		op := porcupine.Operation{ClientId: clientID(e.Relay), Input: entryOp{e.ID, true, e.Value}, Call: e.Began, Return: e.At}
		switch e.Outcome {
		case history.OK:
			chk.countCase(AcknowledgedIsKept)
		case history.ConnectionLost:
			op.ClientId = clientID(fmt.Sprintf("%s, event %d", e.Relay, i)) // it may still be in progress when its writer issues the next write
			op.Return = math.MaxInt64
		default:
			continue // it never took effect
		}
		ops = append(ops, op)
	}
	for _, i := range chk.listReads {
		e := chk.events[i]
		for id := range ids {
			ops = append(ops, porcupine.Operation{ClientId: clientID(e.Relay), Input: entryOp{id: id}, Output: e.Values[id], Call: e.Began,
				Return: e.At})
		}
	}
	if len(chk.listReads) == 0 {
		return
	}
	for _, part := range registerModel.Partition(ops) {
		id := part[0].Input.(entryOp).id
		switch porcupine.CheckOperationsTimeout(registerModel, part, orderSearchTimeout) {
		case porcupine.Illegal:
			chk.addViolation(Violation{AcknowledgedIsKept, id, chk.describeFirstBadRead(id, part), 0, chk.writeEvents(id)}, 0, 0)
		case porcupine.Unknown:
			chk.verdict.Excused = append(chk.verdict.Excused,
				Violation{Name: AcknowledgedIsKept, ID: id, Text: "no order was found in time, and none ruled out"})
		}
	}
}

// describeFirstBadRead finds the first read that is inconsistent with the operations before it. An inconsistent prefix
// stays inconsistent with more operations appended, so a binary search finds it.
func (chk *checker) describeFirstBadRead(id string, part []porcupine.Operation) string {
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	var reads []int
	for n, o := range part {
		if !o.Input.(entryOp).write {
			reads = append(reads, n)
		}
	}
	n, _ := slices.BinarySearchFunc(reads, true, func(n int, _ bool) int {
		o := part[n]
		// An operation in progress at the end of the prefix may already have taken effect.
		var until []porcupine.Operation
		for _, p := range part {
			if p.Return <= o.Return || p.Input.(entryOp).write && p.Call <= o.Return {
				until = append(until, p)
			}
		}
		if porcupine.CheckOperationsTimeout(registerModel, until, orderSearchTimeout/10) == porcupine.Illegal {
			return 0
		}
		return -1
	})
	if n == len(reads) {
		return "its writes and reads fit into no order"
	}
	o := part[reads[n]]
	return fmt.Sprintf("a confirmed read from %d to %d ms has value %v of it, which no order of the writes allows (read or write %d of %d)",
		o.Call/ms, o.Return/ms, o.Output,
		reads[n]+1, len(part))
}

// writeEvents returns the events of writes to an entry, at most the last eight.
func (chk *checker) writeEvents(id string) (lines []int) {
	for _, i := range chk.writes {
		if chk.events[i].ID == id {
			lines = append(lines, i)
		}
	}
	return lines[max(0, len(lines)-8):]
}

// checkVersions verifies that a version of a list always has the same content, and that no follower goes back to an
// older version.
func (chk *checker) checkVersions() {
	type name struct {
		list    string
		version int64
	}
	content, last := map[name]int{}, map[string]int{}
	for _, i := range chk.followerStates {
		e := chk.events[i]
		if e.Kind != history.FollowerUpdate {
			continue
		}
		chk.countCase(VersionsRise)
		n := name{e.State, e.Version}
		if previous, ok := content[n]; !ok {
			content[n] = i
		} else if chk.events[previous].Note != e.Note {
			chk.addViolation(Violation{VersionsRise, e.Relay,
				fmt.Sprintf("version %d has one content at %s and another at %s", e.Version, chk.events[previous].Relay, e.Relay), 0,
				[]int{previous, i}}, 0, 0)
		}
		if previous, ok := last[e.Relay]; ok && chk.events[previous].State == e.State && chk.events[previous].Version > e.Version {
			chk.addViolation(Violation{VersionsRise, e.Relay,
				fmt.Sprintf("it had version %d, and holds %d after that", chk.events[previous].Version, e.Version), 0, []int{previous, i}}, 0, 0)
		}
		last[e.Relay] = i
	}
}

// checkConvergence verifies that all followers have the same version and content at the end.
func (chk *checker) checkConvergence() {
	first := -1
	for _, i := range chk.followerStates {
		e := chk.events[i]
		if e.Kind != history.FollowerFinal {
			continue
		}
		chk.countCase(WatchIsWhole)
		if e.Status == 0 {
			chk.addViolation(Violation{WatchIsWhole, e.Relay, fmt.Sprintf("it never came to the last version; it has %d", e.Version), 0, []int{i}},
				0, 0)
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if f := chk.events[first]; f.Version != e.Version || f.Note != e.Note || f.State != e.State {
			chk.addViolation(Violation{WatchIsWhole, e.Relay,
				fmt.Sprintf("it ends with version %d of list %s, and %s with version %d of list %s, or with other entries", e.Version, e.State,
					f.Relay, f.Version, f.State), 0, []int{first, i}}, 0, 0)
		}
	}
}
