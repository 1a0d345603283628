package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"wallflow/internal/trial/history"
)

// Lists are the figures of a trial's list servers.
type Lists struct {
	Writes  int     `json:"writes"`         // acknowledged
	Unknown int     `json:"writes_unknown"` // nobody knows whether they were taken on
	Refused int     `json:"writes_refused"` // never taken on
	Reads   int     `json:"reads"`          // confirmed
	WriteMS float64 `json:"write_ms_p50"`   // from asking to the answer, repeats counted in
	P99MS   float64 `json:"write_ms_p99"`
	GapMS   float64 `json:"gap_ms"`      // the longest time in which no write was acknowledged
	SeenMS  float64 `json:"seen_ms_p50"` // from the acknowledgement of a write to the last of those who follow having it
	Seen99  float64 `json:"seen_ms_p99"`
}

// listFigures are those of a history; nil where there were no list servers.
func listFigures(events []history.Event) *Lists {
	var l Lists
	type write struct{ at, version int64 }
	var writes []write
	seen := map[string][]write{} // by who follows; versions of one list rise
	took := newHist()
	for _, e := range events {
		switch {
		case e.Kind == history.Put && e.Outcome == history.OK:
			l.Writes++
			writes = append(writes, write{e.At, e.Version})
			took.RecordValue(min(e.At-e.Began, took.HighestTrackableValue()))
		case e.Kind == history.Put && e.Outcome == history.Broken:
			l.Unknown++
		case e.Kind == history.Put:
			l.Refused++
		case e.Kind == history.Confirmed:
			l.Reads++
		case e.Kind == history.Seen:
			seen[e.Relay] = append(seen[e.Relay], write{e.At, e.Version})
		}
	}
	if len(writes) == 0 && len(seen) == 0 {
		return nil
	}
	for i := 1; i < len(writes); i++ {
		l.GapMS = max(l.GapMS, float64(writes[i].at-writes[i-1].at)/1000)
	}
	late := newHist()
	for _, w := range writes {
		last := int64(-1)
		for _, all := range seen {
			i, _ := slices.BinarySearchFunc(all, w.version, func(s write, v int64) int { return cmp.Compare(s.version, v) })
			if i == len(all) {
				last = -1 // the trial ended first
				break
			}
			last = max(last, all[i].at-w.at, 0) // it may come before the writer's answer does
		}
		if last >= 0 {
			late.RecordValue(min(last, late.HighestTrackableValue()))
		}
	}
	l.WriteMS, l.P99MS = quantile(took, 50), quantile(took, 99)
	l.SeenMS, l.Seen99 = quantile(late, 50), quantile(late, 99)
	return &l
}

func (l *Lists) text(w io.Writer) {
	fmt.Fprintf(w, "lists     %d writes, %d unknown, %d refused, p50 %.1f ms, p99 %.1f ms; none for %.0f ms at most; %d confirmed reads\n", l.Writes, l.Unknown, l.Refused,
		l.WriteMS, l.P99MS, l.GapMS, l.Reads)
	fmt.Fprintf(w, "follow    a write is with the last of those who follow after %.1f ms (p50), %.1f ms (p99)\n", l.SeenMS, l.Seen99)
}
