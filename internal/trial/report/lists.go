package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"wallflow/internal/trial/history"
)

// Lists holds the metrics of a trial's list servers.
type Lists struct {
	Writes        int     `json:"writes"`         // acknowledged
	UnknownWrites int     `json:"writes_unknown"` // outcome unknown
	RefusedWrites int     `json:"writes_refused"` // never accepted
	Reads         int     `json:"reads"`          // consistent reads
	WriteP50MS    float64 `json:"write_ms_p50"`   // from the first request to the answer, with repeats
	WriteP99MS    float64 `json:"write_ms_p99"`
	MaxGapMS      float64 `json:"gap_ms"`      // longest time without an acknowledged write
	FollowP50MS   float64 `json:"seen_ms_p50"` // from a write's acknowledgement until the last follower has it
	FollowP99MS   float64 `json:"seen_ms_p99"`
}

// listMetrics computes the metrics of a history; nil if there were no list servers.
func listMetrics(events []history.Event) *Lists {
	var l Lists
	type write struct{ at, version int64 }
	var writes []write
	updates := map[string][]write{} // by follower, in rising order of version
	latency := newHist()
	for _, e := range events {
		switch {
		case e.Kind == history.ListWrite && e.Outcome == history.OK:
			l.Writes++
			writes = append(writes, write{e.At, e.Version})
			latency.RecordValue(min(e.At-e.Began, latency.HighestTrackableValue()))
		case e.Kind == history.ListWrite && e.Outcome == history.ConnectionLost:
			l.UnknownWrites++
		case e.Kind == history.ListWrite:
			l.RefusedWrites++
		case e.Kind == history.ListRead:
			l.Reads++
		case e.Kind == history.FollowerUpdate:
			updates[e.Relay] = append(updates[e.Relay], write{e.At, e.Version})
		}
	}
	if len(writes) == 0 && len(updates) == 0 {
		return nil
	}
	for i := 1; i < len(writes); i++ {
		l.MaxGapMS = max(l.MaxGapMS, float64(writes[i].at-writes[i-1].at)/1000)
	}
	followLatency := newHist()
	for _, w := range writes {
		last := int64(-1)
		for _, all := range updates {
			i, _ := slices.BinarySearchFunc(all, w.version, func(s write, v int64) int { return cmp.Compare(s.version, v) })
			if i == len(all) {
				last = -1 // the trial ended before this follower had it
				break
			}
			last = max(last, all[i].at-w.at, 0) // a follower may have it before the writer's answer
		}
		if last >= 0 {
			followLatency.RecordValue(min(last, followLatency.HighestTrackableValue()))
		}
	}
	l.WriteP50MS, l.WriteP99MS = quantileMillis(latency, 50), quantileMillis(latency, 99)
	l.FollowP50MS, l.FollowP99MS = quantileMillis(followLatency, 50), quantileMillis(followLatency, 99)
	return &l
}

func (l *Lists) text(w io.Writer) {
	fmt.Fprintf(w, "lists     %d writes, %d unknown, %d refused, p50 %.1f ms, p99 %.1f ms; none for %.0f ms at most; %d confirmed reads\n",
		l.Writes, l.UnknownWrites, l.RefusedWrites,
		l.WriteP50MS, l.WriteP99MS, l.MaxGapMS, l.Reads)
	fmt.Fprintf(w, "follow    a write is with the last of those who follow after %.1f ms (p50), %.1f ms (p99)\n", l.FollowP50MS, l.FollowP99MS)
}
