package distribution

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testLatency = 5 * time.Millisecond

// world is publishers and subscribers on a network with a clock of its own.
type world struct {
	now         time.Time
	publishers  map[string]*Publisher
	subscribers map[string]*Subscriber
	relays      []relayHome
	down        map[string]bool // neither sends nor receives
	pending     []pendingDelivery
	outputs     map[string]*Output // of each subscriber, gathered
	// fate returns after which delays copies of a message arrive; nil: one copy after testLatency.
	fate func(from, to string) []time.Duration
}

// relayHome is a relay whose publisher passes on what its subscriber holds.
type relayHome struct {
	name       string
	subscriber *Subscriber
	publisher  *Publisher
}

type pendingDelivery struct {
	at       time.Time
	from, to string
	message  *feedpb.FeedMessage
}

func newWorld() *world {
	return &world{
		now:         start,
		publishers:  make(map[string]*Publisher),
		subscribers: make(map[string]*Subscriber),
		down:        make(map[string]bool),
		outputs:     make(map[string]*Output),
	}
}

// addControl starts a control process that is fresh and complete.
func (w *world) addControl(name string) *Publisher {
	publisher := NewPublisher(fmt.Sprint(name, "@", w.now.UnixMilli()), w.now)
	publisher.SetFresh(true)
	publisher.SetComplete(true)
	w.publishers[name] = publisher
	return publisher
}

func (w *world) addRelay(name string, sources ...string) *Subscriber {
	subscriber := NewSubscriber(SubscriberOptions{Self: name, ApplyPatch: appendPatch}, w.now)
	w.subscribers[name] = subscriber
	w.outputs[name] = &Output{}
	w.take(name, subscriber.SetSources(w.now, sources))
	return subscriber
}

// addHome starts a relay that passes on what it holds.
func (w *world) addHome(name string, sources ...string) relayHome {
	home := relayHome{name: name, subscriber: w.addRelay(name, sources...), publisher: w.addControl(name)}
	home.publisher.TakeOver()
	home.publisher.SetFresh(false)
	home.publisher.SetComplete(false)
	w.relays = append(w.relays, home)
	return home
}

var errBadPatch = errors.New("bad patch")

// appendPatch is the patch of the tests: a document is text, and a patch is added at its end.
func appendPatch(document, patch []byte) ([]byte, error) {
	if bytes.Equal(patch, []byte("!")) {
		return nil, errBadPatch
	}
	return slices.Concat(document, patch), nil
}

// take sends what an output of a process asks for.
func (w *world) take(from string, output Output) {
	if gathered := w.outputs[from]; gathered != nil {
		gathered.join(Output{
			ConfigChanged:    output.ConfigChanged,
			Applied:          output.Applied,
			InstancesChanged: output.InstancesChanged,
		})
	}
	slices.SortStableFunc(output.Sends, func(a, b Send) int { return strings.Compare(a.To, b.To) })
	for _, send := range output.Sends {
		for _, delay := range w.delays(from, send.To) {
			w.pending = append(w.pending, pendingDelivery{at: w.now.Add(delay), from: from, to: send.To, message: send.Message})
		}
	}
	w.passOn(from, output)
}

// passOn gives what a home relay's subscriber learnt to its publisher.
func (w *world) passOn(from string, output Output) {
	for _, home := range w.relays {
		if home.name != from {
			continue
		}
		if output.Applied != nil {
			w.take("", Output{Sends: home.publisher.SetConfig(w.now, *output.Applied).Sends})
		}
		if len(output.InstancesChanged) > 0 {
			sends := home.publisher.SetInstances(w.now, output.InstancesChanged).Sends
			w.takeFrom(home.name, sends)
		}
	}
}

func (w *world) takeFrom(from string, sends []Send) {
	for _, send := range sends {
		for _, delay := range w.delays(from, send.To) {
			w.pending = append(w.pending, pendingDelivery{at: w.now.Add(delay), from: from, to: send.To, message: send.Message})
		}
	}
}

func (w *world) delays(from, to string) []time.Duration {
	if w.down[from] || w.down[to] {
		return nil
	}
	if w.fate == nil {
		return []time.Duration{testLatency}
	}
	return w.fate(from, to)
}

// run lets time pass in steps of 5 ms; every process ticks each 100 ms.
func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for w.now.Before(end) {
		w.now = w.now.Add(testLatency)
		w.deliver()
		if w.now.Sub(start)%(100*time.Millisecond) == 0 {
			w.tick()
		}
	}
}

func (w *world) deliver() {
	due := w.pending
	w.pending = nil
	for _, delivery := range due {
		if delivery.at.After(w.now) {
			w.pending = append(w.pending, delivery)
			continue
		}
		if !w.down[delivery.to] {
			w.receive(delivery)
		}
	}
}

// receive gives a message to the part of the process that it is for.
func (w *world) receive(delivery pendingDelivery) {
	toPublisher := delivery.message.GetSubscribe() != nil || delivery.message.GetUnsubscribe() != nil
	if publisher := w.publishers[delivery.to]; toPublisher && publisher != nil {
		w.takeFrom(delivery.to, publisher.Receive(w.now, delivery.from, delivery.message).Sends)
	}
	if subscriber := w.subscribers[delivery.to]; !toPublisher && subscriber != nil {
		w.take(delivery.to, subscriber.Receive(w.now, delivery.from, delivery.message))
	}
}

func (w *world) tick() {
	for _, name := range sortedNames(w.subscribers) {
		if !w.down[name] {
			w.take(name, w.subscribers[name].Tick(w.now))
		}
	}
	for _, home := range w.relays {
		home.publisher.SetFresh(home.subscriber.Fresh(w.now))
		home.publisher.SetComplete(home.subscriber.Complete())
	}
	for _, name := range sortedNames(w.publishers) {
		if !w.down[name] {
			w.takeFrom(name, w.publishers[name].Tick(w.now).Sends)
		}
	}
}

func sortedNames[Value any](byName map[string]Value) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// setConfig gives a whole state to the named publishers.
func (w *world) setConfig(update Update, names ...string) {
	for _, name := range names {
		w.takeFrom(name, w.publishers[name].SetConfig(w.now, update).Sends)
	}
}

// setInstances gives instances to the named publishers.
func (w *world) setInstances(changed []registry.Instance, names ...string) {
	for _, name := range names {
		w.takeFrom(name, w.publishers[name].SetInstances(w.now, changed).Sends)
	}
}

func wholeUpdate(revision uint64, document string) Update {
	return Update{ConfigState: ConfigState{Revision: revision, Generation: revision * 10, Document: []byte(document)}}
}

func patchUpdate(base uint64, revision uint64, document, patch string) Update {
	update := wholeUpdate(revision, document+patch)
	update.Steps = []Step{{Base: base, Revision: revision, Generation: revision * 10, Patch: []byte(patch)}}
	return update
}

func instanceOf(id string, state registry.State, changedSeq uint64) registry.Instance {
	reported := state
	if state == registry.StateSilent {
		reported = registry.StateReady
	}
	return registry.Instance{
		ID:         id,
		Backend:    "quiz",
		Address:    "10.0.0.1:" + id,
		Zone:       "hall-a",
		State:      state,
		Reported:   reported,
		Seq:        changedSeq,
		ChangedSeq: changedSeq,
	}
}

// stateAt returns the state of an instance at a subscriber; gone where it isn't known.
func stateAt(subscriber *Subscriber, id string) registry.State {
	for _, instance := range subscriber.Instances() {
		if instance.ID == id {
			return instance.State
		}
	}
	return registry.StateGone
}
