// Package report turns a history into figures for people and programs: service by class, latency, attempts, refusals,
// and what the processes used.
package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wallflow/internal/trial/history"
)

// Marks in the history by which the load's time is known.
const (
	LoadBegins = "load begins"
	LoadEnds   = "load ends"
)

const (
	bucket      = 500_000 // µs of a point in plots
	worstWindow = 2_000_000
)

// Class is how one class of message fared.
type Class struct {
	Name      string  `json:"name"`
	Wanted    int     `json:"wanted"`     // messages that clients wanted delivered
	InAim     int     `json:"in_aim"`     // delivered inside the aim
	Late      int     `json:"late"`       // delivered after it
	Refused   int     `json:"refused"`    // the last that clients heard was a refusal
	Failed    int     `json:"failed"`     // ended as undeliverable, or lost
	NotHanded int     `json:"not_handed"` // the relay was away all the time
	Service   float64 `json:"service"`    // worth delivered over worth wanted
	P50       float64 `json:"p50_ms"`     // of those delivered, from when the client wanted it
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p99_9_ms"`
}

// Figures are those of one trial.
type Figures struct {
	Seconds       float64 `json:"seconds"` // that the load went on
	Relays        int     `json:"relays"`
	Classes       []Class `json:"classes"`
	Service       float64 `json:"service"`            // worth delivered over worth wanted
	Worst         float64 `json:"service_worst_2s"`   // in the worst 2 s
	HandIns       int     `json:"hand_ins"`           // repeats counted
	Unanswered    int     `json:"hand_ins_no_answer"` // within the clients' time
	RefusedIns    int     `json:"hand_ins_refused"`
	Deferred      int     `json:"notices_deferred"`
	Undeliverable int     `json:"notices_undeliverable"`
	Calls         int     `json:"calls"`
	CallsRefused  int     `json:"calls_refused"`
	CallsBroken   int     `json:"calls_broken"`
	PerMessage    float64 `json:"attempts_per_message"` // sends over messages taken on

	RelayCPU    float64 `json:"relay_cpu_seconds"`     // all relays together
	RelayCPUMax float64 `json:"relay_cpu_seconds_max"` // the one that used most
	MemoryMax   int64   `json:"relay_memory_max_bytes"`
	FilesMax    int     `json:"relay_descriptors_max"`
	DiskMax     int64   `json:"relay_disk_max_bytes"`
	GroundCPU   float64 `json:"ground_cpu_seconds"`
	LagP99      float64 `json:"ground_lag_p99_seconds"`
	LagMax      float64 `json:"ground_lag_max_seconds"`

	Lists *Lists `json:"lists,omitempty"` // nil: there were no list servers

	Points []Point `json:"points"`
	Faults []Mark  `json:"faults"`
}

// Point is half a second of a trial.
type Point struct {
	At      float64 `json:"at"` // seconds since the load began, its start
	Wanted  int     `json:"wanted"`
	Service float64 `json:"service"` // worth delivered over worth wanted, of what was wanted then
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Calls   int     `json:"calls"`
	Refused int     `json:"calls_refused"`
}

// Mark is something that was done to somebody.
type Mark struct {
	At   float64 `json:"at"`
	For  float64 `json:"for"` // seconds; 0: a moment
	What string  `json:"what"`
	On   string  `json:"on"`
}

// wish is one message over all its hand-ins.
type wish struct {
	class     string
	at        int64
	taken     map[string]int64 // ids that a relay took on, and when the client heard
	delivered int64            // -1: never
	last      string           // what the client heard last
	handed    bool
}

// Self is the processor time that this process has used.
func Self() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Make works the figures out.
func Make(h history.Header, events []history.Event) Figures {
	f := Figures{Relays: len(h.Relays), Lists: listFigures(events)}
	wishes, byID := map[string]*wish{}, map[string]*wish{}
	var order []*wish
	var began, ended int64
	calls, refused := map[int]int64{}, map[int]bool{}
	cpu := map[string]map[int]int64{}
	sends, taken := 0, 0
	for _, e := range events {
		switch e.Kind {
		case history.Fault:
			switch e.Note {
			case LoadBegins:
				began = e.At
			case LoadEnds:
				ended = e.At
			default:
				on := e.Relay
				if e.Endpoint != "" {
					on = strings.TrimPrefix(on+">"+e.Endpoint, ">")
				} else if on == "" {
					on = fmt.Sprint("destination ", e.Dest)
				}
				f.Faults = append(f.Faults, Mark{float64(e.At-began) / 1e6, float64(e.Took) / 1e6, e.Note, on})
			}
		case history.Want:
			w := &wish{class: e.Class, at: e.At, taken: map[string]int64{}, delivered: -1}
			wishes[e.First] = w
			order = append(order, w)
		case history.Hand:
			f.HandIns++
			if w := wishes[e.First]; w != nil {
				w.handed = true
				byID[e.ID] = w
			}
		case history.Answer:
			w := byID[e.ID]
			switch {
			case w == nil:
			case e.Status == 200 || e.Status == 202:
				taken++
				w.taken[e.ID], w.last = e.At, "taken"
			case e.Status == 429 || e.Status == 503:
				f.RefusedIns++
				w.last = "refused"
			case e.Note == "left":
				w.last = "left"
			default:
				f.Unanswered++
				w.last = "unanswered"
			}
		case history.Call:
			sends++
			calls[e.Number] = e.Sent
		case history.Reply:
			switch e.Outcome {
			case history.OK:
				if w := byID[e.ID]; w != nil && w.delivered < 0 {
					w.delivered = e.At
				}
			case history.Refused:
				refused[e.Number] = true
			case history.Broken:
				f.CallsBroken++
			}
		case history.Notice:
			if w := byID[e.ID]; w != nil {
				w.last = e.End
			}
			if e.End == "deferred" {
				f.Deferred++
			} else {
				f.Undeliverable++
			}
		case history.Sample:
			f.MemoryMax, f.DiskMax, f.FilesMax = max(f.MemoryMax, e.Memory), max(f.DiskMax, e.Disk), max(f.FilesMax, e.Descriptors)
			if cpu[e.Relay] == nil {
				cpu[e.Relay] = map[int]int64{}
			}
			cpu[e.Relay][e.Life] = max(cpu[e.Relay][e.Life], e.CPU)
		}
	}
	f.Seconds = float64(ended-began) / 1e6
	f.Calls, f.CallsRefused = len(calls), len(refused)
	if taken > 0 {
		f.PerMessage = float64(sends) / float64(taken)
	}
	for _, lives := range cpu {
		sum := 0.0
		for _, us := range lives {
			sum += float64(us) / 1e6
		}
		f.RelayCPU += sum
		f.RelayCPUMax = max(f.RelayCPUMax, sum)
	}
	f.serve(h, order, began)
	f.points(h, order, calls, refused, began, ended)
	return f
}

// counts tells whether a message is part of what was wanted: a client that left wants it no more.
func (w *wish) counts() bool { return w.last != "left" }

// earned is what a message was worth to its client.
func (w *wish) earned(c history.Class) float64 {
	if w.delivered < 0 || len(w.taken) == 0 {
		return 0
	}
	return earned(c, w.took())
}

func (w *wish) took() int64 {
	heard := int64(-1) // a delivery counts once the client has heard that it is taken on
	for _, at := range w.taken {
		if heard < 0 || at < heard {
			heard = at
		}
	}
	return max(w.delivered, heard) - w.at
}

// earned is a message's share of its worth after so long: whole inside the aim, then half with each further aim, down
// to its least, and nothing once it is given up.
func earned(c history.Class, took int64) float64 {
	switch {
	case took <= c.Aim:
		return 1
	case took > c.GiveUp:
		return 0
	}
	share := 1.0
	for t := took - c.Aim; t > 0 && share > c.LateWorth; t -= c.Aim {
		share /= 2
	}
	return max(share, c.LateWorth)
}

func (f *Figures) serve(h history.Header, order []*wish, began int64) {
	type sum struct{ earned, wanted float64 }
	var whole sum
	windows := map[int64]*sum{}
	names := slices.Sorted(maps.Keys(h.Rules.Classes))
	for _, name := range names {
		c := h.Rules.Classes[name]
		out := Class{Name: name}
		hist := newHist()
		var own sum
		for _, w := range order {
			if w.class != name || !w.counts() {
				continue
			}
			out.Wanted++
			got := w.earned(c)
			for _, s := range []*sum{&own, &whole, window(windows, (w.at-began)/worstWindow)} {
				s.earned += got * c.Worth
				s.wanted += c.Worth
			}
			switch {
			case w.delivered >= 0 && len(w.taken) > 0:
				hist.RecordValue(max(1, w.took()))
				if w.took() <= c.Aim {
					out.InAim++
				} else {
					out.Late++
				}
			case !w.handed:
				out.NotHanded++
			case w.last == "refused" || w.last == "deferred":
				out.Refused++
			default:
				out.Failed++
			}
		}
		out.Service = ratio(own.earned, own.wanted)
		out.P50, out.P99, out.P999 = quantile(hist, 50), quantile(hist, 99), quantile(hist, 99.9)
		f.Classes = append(f.Classes, out)
	}
	f.Service, f.Worst = ratio(whole.earned, whole.wanted), 1
	for _, s := range windows {
		f.Worst = min(f.Worst, ratio(s.earned, s.wanted))
	}
}

func window[T any](all map[int64]*T, i int64) *T {
	if all[i] == nil {
		all[i] = new(T)
	}
	return all[i]
}

func (f *Figures) points(h history.Header, order []*wish, calls map[int]int64, refused map[int]bool, began, ended int64) {
	n := int((ended - began) / bucket) // what is left of half a second at the end is no point
	if n < 1 {
		return
	}
	f.Points = make([]Point, n)
	hists := make([]*hdrhistogram.Histogram, n)
	got, want := make([]float64, n), make([]float64, n)
	for i := range f.Points {
		f.Points[i].At = float64(i) * bucket / 1e6
		hists[i] = newHist()
	}
	for _, w := range order {
		i := int((w.at - began) / bucket)
		if i < 0 || i >= n || !w.counts() {
			continue
		}
		c := h.Rules.Classes[w.class]
		f.Points[i].Wanted++
		want[i] += c.Worth
		if w.delivered >= 0 && len(w.taken) > 0 {
			got[i] += c.Worth * w.earned(c)
			hists[i].RecordValue(max(1, w.took()))
		}
	}
	for number, at := range calls {
		i := int((at - began) / bucket)
		if i < 0 || i >= n {
			continue
		}
		f.Points[i].Calls++
		if refused[number] {
			f.Points[i].Refused++
		}
	}
	for i := range f.Points {
		p := &f.Points[i]
		p.Service, p.P50, p.P99 = ratio(got[i], want[i]), quantile(hists[i], 50), quantile(hists[i], 99)
	}
}

// newHist holds microseconds, up to a minute, to three digits.
func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// ratio of nothing wanted is 1: nothing was missed.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// Text writes the figures for people.
func (f *Figures) Text(w io.Writer) {
	fmt.Fprintf(w, "load      %.1f s, %d relays; service %.3f, in the worst 2 s %.3f\n", f.Seconds, f.Relays, f.Service, f.Worst)
	fmt.Fprintf(w, "%-16s %7s %7s %6s %8s %7s %5s %8s %9s %9s %9s\n", "class", "wanted", "in aim", "late", "refused", "failed", "away", "service", "p50 ms", "p99 ms", "p99.9 ms")
	for _, c := range f.Classes {
		fmt.Fprintf(w, "%-16s %7d %7d %6d %8d %7d %5d %8.3f %9.1f %9.1f %9.1f\n", c.Name, c.Wanted, c.InAim, c.Late, c.Refused, c.Failed, c.NotHanded, c.Service,
			c.P50, c.P99, c.P999)
	}
	fmt.Fprintf(w, "hand-ins  %d, refused %d, no answer %d; notices: deferred %d, undeliverable %d\n", f.HandIns, f.RefusedIns, f.Unanswered, f.Deferred, f.Undeliverable)
	fmt.Fprintf(w, "calls     %d, refused %d, broken %d messages; %.2f sends a message taken on\n", f.Calls, f.CallsRefused, f.CallsBroken, f.PerMessage)
	fmt.Fprintf(w, "relays    %.2f CPU s in all, %.2f s at most; memory %.1f MB, descriptors %d, disk %.0f kB at most\n", f.RelayCPU, f.RelayCPUMax,
		float64(f.MemoryMax)/1e6, f.FilesMax, float64(f.DiskMax)/1e3)
	if f.Lists != nil {
		f.Lists.text(w)
	}
	fmt.Fprintf(w, "ground    %.2f CPU s; late by %.1f ms at p99, %.1f ms at most\n", f.GroundCPU, 1000*f.LagP99, 1000*f.LagMax)
}

// Owed follows a history and knows how many messages a relay still owes an end.
type Owed struct {
	Handed    int
	LastFault string

	read int
	open map[string]bool // ids; true: taken on
	over map[string]bool // ended before their client heard of them
}

// NewOwed begins with an empty history.
func NewOwed() *Owed { return &Owed{open: map[string]bool{}, over: map[string]bool{}} }

// Read goes on with the history, and returns how many are owed.
func (o *Owed) Read(events []history.Event) int {
	for _, e := range events[o.read:] {
		switch e.Kind {
		case history.Hand:
			o.Handed++
			o.open[e.ID] = true
		case history.Answer:
			if e.Status != 200 && e.Status != 202 {
				delete(o.open, e.ID)
			}
		case history.Reply:
			if e.Outcome == history.OK || e.Outcome == history.Gone {
				delete(o.open, e.ID)
			}
		case history.Notice:
			delete(o.open, e.ID)
		case history.Fault:
			if e.Note != LoadBegins && e.Note != LoadEnds {
				o.LastFault = strings.TrimSpace(e.Note + " " + cmp.Or(e.Relay, e.Endpoint))
			}
		}
	}
	o.read = len(events)
	return len(o.open)
}
