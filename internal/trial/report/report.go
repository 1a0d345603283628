// Package report computes metrics from a history: service by class, latency, attempts, refusals, and resources used by
// the processes. It writes them as text and HTML.
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

// Notes of the Fault events that mark the start and end of the load.
const (
	LoadBegins = "load begins"
	LoadEnds   = "load ends"
)

const (
	pointInterval      = 500_000 // of plots, in microseconds
	worstServiceWindow = 2_000_000
)

// Class holds the results of one class of messages.
type Class struct {
	Name         string  `json:"name"`
	Wanted       int     `json:"wanted"`     // messages that clients wanted delivered
	InTarget     int     `json:"in_aim"`     // delivered within the target latency
	Late         int     `json:"late"`       // delivered after the target latency
	Refused      int     `json:"refused"`    // the client's last answer was a refusal
	Failed       int     `json:"failed"`     // ended as undeliverable, or lost
	NotSubmitted int     `json:"not_handed"` // the relay was down all the time
	Service      float64 `json:"service"`    // value delivered over value wanted
	P50          float64 `json:"p50_ms"`     // of delivered messages, from when the client wanted them
	P99          float64 `json:"p99_ms"`
	P999         float64 `json:"p99_9_ms"`
}

// Metrics holds the metrics of one trial.
type Metrics struct {
	Seconds            float64 `json:"seconds"` // length of the load
	Relays             int     `json:"relays"`
	Classes            []Class `json:"classes"`
	Service            float64 `json:"service"`            // value delivered over value wanted
	Worst              float64 `json:"service_worst_2s"`   // in the worst 2 s
	Submissions        int     `json:"hand_ins"`           // submissions, with repeats
	Unanswered         int     `json:"hand_ins_no_answer"` // within the clients' timeout
	RefusedSubmissions int     `json:"hand_ins_refused"`
	Deferred           int     `json:"notices_deferred"`
	Undeliverable      int     `json:"notices_undeliverable"`
	Calls              int     `json:"calls"`
	CallsRefused       int     `json:"calls_refused"`
	CallsBroken        int     `json:"calls_broken"`
	AttemptsPerMessage float64 `json:"attempts_per_message"` // sent messages over accepted messages

	RelayCPU       float64 `json:"relay_cpu_seconds"`     // all relays together
	RelayCPUMax    float64 `json:"relay_cpu_seconds_max"` // the relay that used most
	MemoryMax      int64   `json:"relay_memory_max_bytes"`
	DescriptorsMax int     `json:"relay_descriptors_max"`
	DiskMax        int64   `json:"relay_disk_max_bytes"`
	HarnessCPU     float64 `json:"ground_cpu_seconds"`
	LagP99         float64 `json:"ground_lag_p99_seconds"`
	LagMax         float64 `json:"ground_lag_max_seconds"`

	Lists *Lists `json:"lists,omitempty"` // nil: there were no list servers

	Points []Point         `json:"points"`
	Faults []FaultInterval `json:"faults"`
}

// Point holds the metrics of half a second of a trial.
type Point struct {
	At      float64 `json:"at"` // start of the interval, in seconds since the load began
	Wanted  int     `json:"wanted"`
	Service float64 `json:"service"` // value delivered over value wanted, for messages wanted in the interval
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Calls   int     `json:"calls"`
	Refused int     `json:"calls_refused"`
}

// FaultInterval is a fault that the trial injected.
type FaultInterval struct {
	At   float64 `json:"at"`
	For  float64 `json:"for"` // seconds; 0: no duration
	What string  `json:"what"`
	On   string  `json:"on"`
}

// wantedMessage is one message over all its submissions.
type wantedMessage struct {
	class       string
	wantedAt    int64
	accepted    map[string]int64 // time of the client's answer, by the id under which a relay accepted the message
	deliveredAt int64            // -1: never
	lastAnswer  string           // what the client learned last
	submitted   bool
}

// ProcessCPUTime returns the processor time that this process has used.
func ProcessCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Summarize computes the metrics of a history.
func Summarize(h history.Header, events []history.Event) Metrics {
	f := Metrics{Relays: len(h.Relays), Lists: listMetrics(events)}
	byFirstID, byID := map[string]*wantedMessage{}, map[string]*wantedMessage{}
	var messages []*wantedMessage
	var began, ended int64
	calls, refused := map[int]int64{}, map[int]bool{}
	cpu := map[string]map[int]int64{}
	sentMessages, accepted := 0, 0
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
				f.Faults = append(f.Faults, FaultInterval{float64(e.At-began) / 1e6, float64(e.Duration) / 1e6, e.Note, on})
			}
		case history.Want:
			w := &wantedMessage{class: e.Class, wantedAt: e.At, accepted: map[string]int64{}, deliveredAt: -1}
			byFirstID[e.FirstID] = w
			messages = append(messages, w)
		case history.Submit:
			f.Submissions++
			if w := byFirstID[e.FirstID]; w != nil {
				w.submitted = true
				byID[e.ID] = w
			}
		case history.Answer:
			w := byID[e.ID]
			switch {
			case w == nil:
			case e.Status == 200 || e.Status == 202:
				accepted++
				w.accepted[e.ID], w.lastAnswer = e.At, "taken"
			case e.Status == 429 || e.Status == 503:
				f.RefusedSubmissions++
				w.lastAnswer = "refused"
			case e.Note == "left":
				w.lastAnswer = "left"
			default:
				f.Unanswered++
				w.lastAnswer = "unanswered"
			}
		case history.Call:
			sentMessages++
			calls[e.Number] = e.Sent
		case history.Reply:
			switch e.Outcome {
			case history.OK:
				if w := byID[e.ID]; w != nil && w.deliveredAt < 0 {
					w.deliveredAt = e.At
				}
			case history.Refused:
				refused[e.Number] = true
			case history.ConnectionLost:
				f.CallsBroken++
			}
		case history.Notice:
			if w := byID[e.ID]; w != nil {
				w.lastAnswer = e.End
			}
			if e.End == "deferred" {
				f.Deferred++
			} else {
				f.Undeliverable++
			}
		case history.Sample:
			f.MemoryMax, f.DiskMax, f.DescriptorsMax = max(f.MemoryMax, e.Memory), max(f.DiskMax, e.Disk), max(f.DescriptorsMax, e.Descriptors)
			if cpu[e.Relay] == nil {
				cpu[e.Relay] = map[int]int64{}
			}
			cpu[e.Relay][e.Incarnation] = max(cpu[e.Relay][e.Incarnation], e.CPU)
		}
	}
	f.Seconds = float64(ended-began) / 1e6
	f.Calls, f.CallsRefused = len(calls), len(refused)
	if accepted > 0 {
		f.AttemptsPerMessage = float64(sentMessages) / float64(accepted)
	}
	for _, lives := range cpu {
		sum := 0.0
		for _, us := range lives {
			sum += float64(us) / 1e6
		}
		f.RelayCPU += sum
		f.RelayCPUMax = max(f.RelayCPUMax, sum)
	}
	f.addClasses(h, messages, began)
	f.addPoints(h, messages, calls, refused, began, ended)
	return f
}

// isWanted reports whether the message counts as wanted. It does not if its client has disconnected.
func (w *wantedMessage) isWanted() bool { return w.lastAnswer != "left" }

// valueShare returns the share of its value that the message had for its client.
func (w *wantedMessage) valueShare(c history.Class) float64 {
	if w.deliveredAt < 0 || len(w.accepted) == 0 {
		return 0
	}
	return valueShareAfter(c, w.latency())
}

func (w *wantedMessage) latency() int64 {
	answeredAt := int64(-1) // a delivery counts once the client knows that the message was accepted
	for _, at := range w.accepted {
		if answeredAt < 0 || at < answeredAt {
			answeredAt = at
		}
	}
	return max(w.deliveredAt, answeredAt) - w.wantedAt
}

// valueShareAfter returns the share of a message's value that is left at a latency in microseconds: all of it within the
// target, half with each further target time, down to LateValue, and nothing after GiveUp.
func valueShareAfter(c history.Class, latency int64) float64 {
	switch {
	case latency <= c.Target:
		return 1
	case latency > c.GiveUp:
		return 0
	}
	share := 1.0
	for t := latency - c.Target; t > 0 && share > c.LateValue; t -= c.Target {
		share /= 2
	}
	return max(share, c.LateValue)
}

func (f *Metrics) addClasses(h history.Header, messages []*wantedMessage, began int64) {
	type sum struct{ delivered, wanted float64 }
	var total sum
	windows := map[int64]*sum{}
	names := slices.Sorted(maps.Keys(h.Rules.Classes))
	for _, name := range names {
		c := h.Rules.Classes[name]
		class := Class{Name: name}
		hist := newHist()
		var classSum sum
		for _, w := range messages {
			if w.class != name || !w.isWanted() {
				continue
			}
			class.Wanted++
			share := w.valueShare(c)
			for _, s := range []*sum{&classSum, &total, window(windows, (w.wantedAt-began)/worstServiceWindow)} {
				s.delivered += share * c.Value
				s.wanted += c.Value
			}
			switch {
			case w.deliveredAt >= 0 && len(w.accepted) > 0:
				hist.RecordValue(max(1, w.latency()))
				if w.latency() <= c.Target {
					class.InTarget++
				} else {
					class.Late++
				}
			case !w.submitted:
				class.NotSubmitted++
			case w.lastAnswer == "refused" || w.lastAnswer == "deferred":
				class.Refused++
			default:
				class.Failed++
			}
		}
		class.Service = ratio(classSum.delivered, classSum.wanted)
		class.P50, class.P99, class.P999 = quantileMillis(hist, 50), quantileMillis(hist, 99), quantileMillis(hist, 99.9)
		f.Classes = append(f.Classes, class)
	}
	f.Service, f.Worst = ratio(total.delivered, total.wanted), 1
	for _, s := range windows {
		f.Worst = min(f.Worst, ratio(s.delivered, s.wanted))
	}
}

func window[T any](all map[int64]*T, i int64) *T {
	if all[i] == nil {
		all[i] = new(T)
	}
	return all[i]
}

func (f *Metrics) addPoints(h history.Header, messages []*wantedMessage, calls map[int]int64, refused map[int]bool, began, ended int64) {
	n := int((ended - began) / pointInterval) // an incomplete interval at the end is left out
	if n < 1 {
		return
	}
	f.Points = make([]Point, n)
	hists := make([]*hdrhistogram.Histogram, n)
	valueDelivered, valueWanted := make([]float64, n), make([]float64, n)
	for i := range f.Points {
		f.Points[i].At = float64(i) * pointInterval / 1e6
		hists[i] = newHist()
	}
	for _, w := range messages {
		i := int((w.wantedAt - began) / pointInterval)
		if i < 0 || i >= n || !w.isWanted() {
			continue
		}
		c := h.Rules.Classes[w.class]
		f.Points[i].Wanted++
		valueWanted[i] += c.Value
		if w.deliveredAt >= 0 && len(w.accepted) > 0 {
			valueDelivered[i] += c.Value * w.valueShare(c)
			hists[i].RecordValue(max(1, w.latency()))
		}
	}
	for number, at := range calls {
		i := int((at - began) / pointInterval)
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
		p.Service, p.P50, p.P99 = ratio(valueDelivered[i], valueWanted[i]), quantileMillis(hists[i], 50), quantileMillis(hists[i], 99)
	}
}

// newHist returns a histogram of microseconds up to a minute, with three significant digits.
func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }

func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// ratio returns a/b, and 1 if nothing was wanted.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// Text writes the metrics as text.
func (f *Metrics) Text(w io.Writer) {
	fmt.Fprintf(w, "load      %.1f s, %d relays; service %.3f, in the worst 2 s %.3f\n", f.Seconds, f.Relays, f.Service, f.Worst)
	fmt.Fprintf(w, "%-16s %7s %7s %6s %8s %7s %5s %8s %9s %9s %9s\n", "class", "wanted", "in aim", "late", "refused", "failed", "away",
		"service", "p50 ms", "p99 ms", "p99.9 ms")
	for _, c := range f.Classes {
		fmt.Fprintf(w, "%-16s %7d %7d %6d %8d %7d %5d %8.3f %9.1f %9.1f %9.1f\n", c.Name, c.Wanted, c.InTarget, c.Late, c.Refused, c.Failed,
			c.NotSubmitted, c.Service,
			c.P50, c.P99, c.P999)
	}
	fmt.Fprintf(w, "hand-ins  %d, refused %d, no answer %d; notices: deferred %d, undeliverable %d\n", f.Submissions, f.RefusedSubmissions,
		f.Unanswered, f.Deferred, f.Undeliverable)
	fmt.Fprintf(w, "calls     %d, refused %d, broken %d messages; %.2f sends a message taken on\n", f.Calls, f.CallsRefused, f.CallsBroken,
		f.AttemptsPerMessage)
	fmt.Fprintf(w, "relays    %.2f CPU s in all, %.2f s at most; memory %.1f MB, descriptors %d, disk %.0f kB at most\n", f.RelayCPU,
		f.RelayCPUMax, float64(f.MemoryMax)/1e6, f.DescriptorsMax, float64(f.DiskMax)/1e3)
	if f.Lists != nil {
		f.Lists.text(w)
	}
	fmt.Fprintf(w, "ground    %.2f CPU s; late by %.1f ms at p99, %.1f ms at most\n", f.HarnessCPU, 1000*f.LagP99, 1000*f.LagMax)
}

// UnfinishedTracker reads a growing history and counts the messages that have not ended.
type UnfinishedTracker struct {
	Submitted int
	LastFault string

	position   int
	unfinished map[string]bool // by id; always true
	endedEarly map[string]bool // not used
}

// NewUnfinishedTracker returns a tracker of an empty history.
func NewUnfinishedTracker() *UnfinishedTracker {
	return &UnfinishedTracker{unfinished: map[string]bool{}, endedEarly: map[string]bool{}}
}

// Update reads the new events of the history and returns the number of unfinished messages.
func (o *UnfinishedTracker) Update(events []history.Event) int {
	for _, e := range events[o.position:] {
		switch e.Kind {
		case history.Submit:
			o.Submitted++
			o.unfinished[e.ID] = true
		case history.Answer:
			if e.Status != 200 && e.Status != 202 {
				delete(o.unfinished, e.ID)
			}
		case history.Reply:
			if e.Outcome == history.OK || e.Outcome == history.Finished {
				delete(o.unfinished, e.ID)
			}
		case history.Notice:
			delete(o.unfinished, e.ID)
		case history.Fault:
			if e.Note != LoadBegins && e.Note != LoadEnds {
				o.LastFault = strings.TrimSpace(e.Note + " " + cmp.Or(e.Relay, e.Endpoint))
			}
		}
	}
	o.position = len(events)
	return len(o.unfinished)
}
