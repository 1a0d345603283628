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

// linearFor is how long the search for an order of writes and reads may take. Beyond it the history says nothing.
const linearFor = 20 * time.Second

// list judges what writers, readers and followers of the list saw.
func (j *judge) list() {
	if len(j.puts)+len(j.reads)+len(j.seen) == 0 {
		return
	}
	for _, n := range ListNames {
		j.out.Judged[n] = 0
	}
	j.kept()
	j.rise()
	j.whole()
	j.passOn()
	j.outlives()
}

// outlives: no relay is told that an endpoint is gone which nobody took off the list, whatever becomes of who tells it.
func (j *judge) outlives() {
	drained := map[string]bool{}
	for i, e := range j.events {
		if e.Kind == history.Fault && e.Note == "drain" {
			drained[e.Endpoint] = true
		}
		if _, ours := j.rules.Cells[e.Endpoint]; e.Kind != history.Told || !ours {
			continue
		}
		j.judged(ListOutlives)
		if e.State == "gone" && !drained[e.Endpoint] {
			j.broken(Violation{ListOutlives, e.Relay, fmt.Sprintf("it was told that %s is gone, which nobody removed", e.Endpoint), 0, []int{i}}, 0, 0)
		}
	}
}

// passOn: what an agent answered for reaches whom it is for.
func (j *judge) passOn() {
	passed, looked := map[string]bool{}, 0
	for _, i := range j.passed {
		e := j.events[i]
		passed[e.ID] = true
		looked = max(looked, e.Number)
	}
	for i, e := range j.events[:min(looked, len(j.events))] {
		if e.Kind != history.Notice {
			continue
		}
		j.judged(NoticesPassOn)
		if !passed[e.ID] {
			j.broken(Violation{NoticesPassOn, e.ID, "its notice was answered for by the agent of " + e.Relay + ", and never handed on", 0, []int{i}}, 0, 0)
		}
	}
}

// entryOp is a write of an entry, or its part of a read.
type entryOp struct {
	id    string
	write bool
	value int64
}

// register is one entry of the list: a read has what the write before it left.
var register = porcupine.Model{
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

// kept: there is one order of all writes and confirmed reads in which each read has what was written last, and which keeps to
// the order in time: a write that was acknowledged is in every later read. One of which nobody knows may have been
// taken on at any later time, or never.
func (j *judge) kept() {
	ids := map[string]bool{}
	for _, i := range j.puts {
		ids[j.events[i].ID] = true
	}
	var ops []porcupine.Operation
	clients := map[string]int{}
	client := func(name string) int {
		if _, ok := clients[name]; !ok {
			clients[name] = len(clients)
		}
		return clients[name]
	}
	for _, i := range j.puts {
		e := j.events[i]
		op := porcupine.Operation{ClientId: client(e.Relay), Input: entryOp{e.ID, true, e.Value}, Call: e.Began, Return: e.At}
		switch e.Outcome {
		case history.OK:
			j.judged(AcknowledgedIsKept)
		case history.Broken:
			op.ClientId = client(fmt.Sprintf("%s, event %d", e.Relay, i)) // it may be under way while its writer goes on
			op.Return = math.MaxInt64
		default:
			continue // never taken on
		}
		ops = append(ops, op)
	}
	for _, i := range j.reads {
		e := j.events[i]
		for id := range ids {
			ops = append(ops, porcupine.Operation{ClientId: client(e.Relay), Input: entryOp{id: id}, Output: e.Values[id], Call: e.Began, Return: e.At})
		}
	}
	if len(j.reads) == 0 {
		return
	}
	for _, part := range register.Partition(ops) {
		id := part[0].Input.(entryOp).id
		switch porcupine.CheckOperationsTimeout(register, part, linearFor) {
		case porcupine.Illegal:
			j.broken(Violation{AcknowledgedIsKept, id, j.firstWrong(id, part), 0, j.linesOf(id)}, 0, 0)
		case porcupine.Unknown:
			j.out.Excused = append(j.out.Excused, Violation{Name: AcknowledgedIsKept, ID: id, Text: "no order was found in time, and none ruled out"})
		}
	}
}

// firstWrong finds the first read which cannot be fitted in with what came before it. What cannot be fitted in cannot be so with more
// after it either, so that it is looked for by halves.
func (j *judge) firstWrong(id string, part []porcupine.Operation) string {
	slices.SortFunc(part, func(a, b porcupine.Operation) int { return cmp.Compare(a.Return, b.Return) })
	var reads []int
	for n, o := range part {
		if !o.Input.(entryOp).write {
			reads = append(reads, n)
		}
	}
	n, _ := slices.BinarySearchFunc(reads, true, func(n int, _ bool) int {
		o := part[n]
		// What was under way at its end may have been taken on by then.
		var until []porcupine.Operation
		for _, p := range part {
			if p.Return <= o.Return || p.Input.(entryOp).write && p.Call <= o.Return {
				until = append(until, p)
			}
		}
		if porcupine.CheckOperationsTimeout(register, until, linearFor/10) == porcupine.Illegal {
			return 0
		}
		return -1
	})
	if n == len(reads) {
		return "its writes and reads fit into no order"
	}
	o := part[reads[n]]
	return fmt.Sprintf("a confirmed read from %d to %d ms has value %v of it, which no order of the writes allows (read or write %d of %d)", o.Call/ms, o.Return/ms, o.Output,
		reads[n]+1, len(part))
}

// linesOf are the events of an entry, the last ones if there are many.
func (j *judge) linesOf(id string) (lines []int) {
	for _, i := range j.puts {
		if j.events[i].ID == id {
			lines = append(lines, i)
		}
	}
	return lines[max(0, len(lines)-8):]
}

// rise: a version names one content, and nobody who follows goes back.
func (j *judge) rise() {
	type name struct {
		list    string
		version int64
	}
	content, last := map[name]int{}, map[string]int{}
	for _, i := range j.seen {
		e := j.events[i]
		if e.Kind != history.Seen {
			continue
		}
		j.judged(VersionsRise)
		n := name{e.State, e.Version}
		if was, ok := content[n]; !ok {
			content[n] = i
		} else if j.events[was].Note != e.Note {
			j.broken(Violation{VersionsRise, e.Relay, fmt.Sprintf("version %d has one content at %s and another at %s", e.Version, j.events[was].Relay, e.Relay), 0,
				[]int{was, i}}, 0, 0)
		}
		if was, ok := last[e.Relay]; ok && j.events[was].State == e.State && j.events[was].Version > e.Version {
			j.broken(Violation{VersionsRise, e.Relay, fmt.Sprintf("it had version %d, and holds %d after that", j.events[was].Version, e.Version), 0, []int{was, i}}, 0, 0)
		}
		last[e.Relay] = i
	}
}

// whole: at the end all who follow have the same, whatever came between.
func (j *judge) whole() {
	first := -1
	for _, i := range j.seen {
		e := j.events[i]
		if e.Kind != history.Settle {
			continue
		}
		j.judged(WatchIsWhole)
		if e.Status == 0 {
			j.broken(Violation{WatchIsWhole, e.Relay, fmt.Sprintf("it never came to the last version; it has %d", e.Version), 0, []int{i}}, 0, 0)
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if f := j.events[first]; f.Version != e.Version || f.Note != e.Note || f.State != e.State {
			j.broken(Violation{WatchIsWhole, e.Relay, fmt.Sprintf("it ends with version %d of list %s, and %s with version %d of list %s, or with other entries", e.Version, e.State,
				f.Relay, f.Version, f.State), 0, []int{first, i}}, 0, 0)
		}
	}
}
