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

// simulation runs publishers and subscribers on a simulated network with a virtual clock.
type simulation struct {
	now         time.Time
	publishers  map[string]*Publisher
	subscribers map[string]*Subscriber
	homes       []relayHome
	down        map[string]bool // neither sends nor receives
	pending     []pendingDelivery
	outputs     map[string]*Output // merged outputs of each subscriber
	// deliveryDelays returns the delays after which copies of a message arrive. If it is nil, one copy arrives after testLatency.
	deliveryDelays func(from, to string) []time.Duration
}

// relayHome is a relay whose publisher forwards the state of its subscriber.
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

func newSimulation() *simulation {
	return &simulation{
		now:         start,
		publishers:  make(map[string]*Publisher),
		subscribers: make(map[string]*Subscriber),
		down:        make(map[string]bool),
		outputs:     make(map[string]*Output),
	}
}

// addControl starts a control process that is fresh and complete.
func (sim *simulation) addControl(name string) *Publisher {
	publisher := NewPublisher(fmt.Sprint(name, "@", sim.now.UnixMilli()), sim.now)
	publisher.SetFresh(true)
	publisher.SetComplete(true)
	sim.publishers[name] = publisher
	return publisher
}

// addRelay starts a relay with sources in the order of preference.
func (sim *simulation) addRelay(name string, sources ...string) *Subscriber {
	subscriber := NewSubscriber(SubscriberOptions{Self: name, ApplyPatch: appendPatch}, sim.now)
	sim.subscribers[name] = subscriber
	sim.outputs[name] = &Output{}
	sim.handleOutput(name, subscriber.SetSources(sim.now, sources))
	return subscriber
}

// addHome starts a relay that forwards its state as a home.
func (sim *simulation) addHome(name string, sources ...string) relayHome {
	home := relayHome{name: name, subscriber: sim.addRelay(name, sources...), publisher: sim.addControl(name)}
	home.publisher.BecomeHome()
	home.publisher.SetFresh(false)
	home.publisher.SetComplete(false)
	sim.homes = append(sim.homes, home)
	return home
}

var errBadPatch = errors.New("bad patch")

// appendPatch applies patches in tests: a document is a text, and a patch is appended to it. The patch "!" fails.
func appendPatch(document, patch []byte) ([]byte, error) {
	if bytes.Equal(patch, []byte("!")) {
		return nil, errBadPatch
	}
	return slices.Concat(document, patch), nil
}

// handleOutput sends the messages of an output and merges its changes into the outputs of the process.
func (sim *simulation) handleOutput(from string, output Output) {
	if collected := sim.outputs[from]; collected != nil {
		collected.merge(Output{
			ConfigChanged:    output.ConfigChanged,
			AppliedUpdate:    output.AppliedUpdate,
			InstancesChanged: output.InstancesChanged,
		})
	}
	slices.SortStableFunc(output.Sends, func(a, b Send) int { return strings.Compare(a.To, b.To) })
	for _, send := range output.Sends {
		for _, delay := range sim.delays(from, send.To) {
			sim.pending = append(sim.pending, pendingDelivery{at: sim.now.Add(delay), from: from, to: send.To, message: send.Message})
		}
	}
	sim.forwardToPublisher(from, output)
}

// forwardToPublisher passes the changes of the subscriber of a home relay to its publisher.
func (sim *simulation) forwardToPublisher(from string, output Output) {
	for _, home := range sim.homes {
		if home.name != from {
			continue
		}
		if output.AppliedUpdate != nil {
			sim.handleOutput("", Output{Sends: home.publisher.SetConfig(sim.now, *output.AppliedUpdate).Sends})
		}
		if len(output.InstancesChanged) > 0 {
			sends := home.publisher.SetInstances(sim.now, output.InstancesChanged).Sends
			sim.sendAll(home.name, sends)
		}
	}
}

// sendAll schedules the delivery of messages.
func (sim *simulation) sendAll(from string, sends []Send) {
	for _, send := range sends {
		for _, delay := range sim.delays(from, send.To) {
			sim.pending = append(sim.pending, pendingDelivery{at: sim.now.Add(delay), from: from, to: send.To, message: send.Message})
		}
	}
}

func (sim *simulation) delays(from, to string) []time.Duration {
	if sim.down[from] || sim.down[to] {
		return nil
	}
	if sim.deliveryDelays == nil {
		return []time.Duration{testLatency}
	}
	return sim.deliveryDelays(from, to)
}

// run advances the clock in steps of 5 ms and delivers messages; every process ticks every 100 ms.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now.Add(duration)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(testLatency)
		sim.deliver()
		if sim.now.Sub(start)%(100*time.Millisecond) == 0 {
			sim.tick()
		}
	}
}

func (sim *simulation) deliver() {
	due := sim.pending
	sim.pending = nil
	for _, delivery := range due {
		if delivery.at.After(sim.now) {
			sim.pending = append(sim.pending, delivery)
			continue
		}
		if !sim.down[delivery.to] {
			sim.receive(delivery)
		}
	}
}

// receive passes a message to the publisher or the subscriber of a process, whichever it is for.
func (sim *simulation) receive(delivery pendingDelivery) {
	toPublisher := delivery.message.GetSubscribe() != nil || delivery.message.GetUnsubscribe() != nil
	if publisher := sim.publishers[delivery.to]; toPublisher && publisher != nil {
		sim.sendAll(delivery.to, publisher.Receive(sim.now, delivery.from, delivery.message).Sends)
	}
	if subscriber := sim.subscribers[delivery.to]; !toPublisher && subscriber != nil {
		sim.handleOutput(delivery.to, subscriber.Receive(sim.now, delivery.from, delivery.message))
	}
}

func (sim *simulation) tick() {
	for _, name := range sortedNames(sim.subscribers) {
		if !sim.down[name] {
			sim.handleOutput(name, sim.subscribers[name].Tick(sim.now))
		}
	}
	for _, home := range sim.homes {
		home.publisher.SetFresh(home.subscriber.Fresh(sim.now))
		home.publisher.SetComplete(home.subscriber.Complete())
	}
	for _, name := range sortedNames(sim.publishers) {
		if !sim.down[name] {
			sim.sendAll(name, sim.publishers[name].Tick(sim.now).Sends)
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

// setConfig sets a configuration state at the named publishers.
func (sim *simulation) setConfig(update Update, names ...string) {
	for _, name := range names {
		sim.sendAll(name, sim.publishers[name].SetConfig(sim.now, update).Sends)
	}
}

// setInstances sets instances at the named publishers.
func (sim *simulation) setInstances(changed []registry.Instance, names ...string) {
	for _, name := range names {
		sim.sendAll(name, sim.publishers[name].SetInstances(sim.now, changed).Sends)
	}
}

// fullUpdate returns a configuration state without steps.
func fullUpdate(revision uint64, document string) Update {
	return Update{ConfigState: ConfigState{Revision: revision, Generation: revision * 10, Document: []byte(document)}}
}

// patchUpdate returns a configuration state with the step that leads to it from a base revision.
func patchUpdate(base uint64, revision uint64, document, patch string) Update {
	update := fullUpdate(revision, document+patch)
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

// stateAt returns the state of an instance at a subscriber, gone if it is not known there.
func stateAt(subscriber *Subscriber, id string) registry.State {
	for _, instance := range subscriber.Instances() {
		if instance.ID == id {
			return instance.State
		}
	}
	return registry.StateGone
}
