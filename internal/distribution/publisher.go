package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

const (
	publishDigestInterval = 500 * time.Millisecond
	// gatherFor is how long changes that aren't urgent are gathered before they are sent together.
	gatherFor          = 50 * time.Millisecond
	subscriberExpiry   = 6 * time.Second
	publisherTombstone = 60 * time.Second
	forgetInterval     = 5 * time.Second
)

// Publisher feeds subscribers. Its changes are numbered, so that a subscriber notices a gap. It isn't safe for use by several
// goroutines at once.
type Publisher struct {
	source   string
	token    uint64
	fresh    bool
	complete bool

	config        configHistory
	sentRevision  uint64 // all subscribers have been sent this revision
	instances     map[string]*published
	order         publishedList // by version
	buckets       buckets
	sequence      uint64
	forgottenUpTo uint64 // highest version of an instance that has been forgotten
	pending       []*published

	subscribers map[string]time.Time // by internal address: when it last subscribed
	lastFlush   time.Time
	lastDigest  time.Time
	lastForget  time.Time
}

// NewPublisher returns a publisher that knows nothing yet. Source is a random name of this life of the process.
func NewPublisher(source string, now time.Time) *Publisher {
	return &Publisher{
		source:      source,
		instances:   make(map[string]*published),
		subscribers: make(map[string]time.Time),
		lastFlush:   now,
		lastDigest:  now,
		lastForget:  now,
	}
}

// SetFresh tells whether this process is in touch with the majority of the control processes, by itself or by its own source.
func (p *Publisher) SetFresh(fresh bool) { p.fresh = fresh }

// SetComplete tells whether this process had time to learn of every instance.
func (p *Publisher) SetComplete(complete bool) { p.complete = complete }

// TakeOver makes this publisher the home of its key, under a fencing token above those it has had or heard of. A token that a
// subscriber saw from another home raises it further: see Receive.
func (p *Publisher) TakeOver() { p.token++ }

// Token returns the fencing token; 0: the publisher isn't a home.
func (p *Publisher) Token() uint64 { return p.token }

// Subscribers returns the number of subscribers.
func (p *Publisher) Subscribers() int { return len(p.subscribers) }

// SetConfig takes in a newer state and sends it to the subscribers at once. An older one is ignored.
func (p *Publisher) SetConfig(now time.Time, update Update) Output {
	if !p.config.take(update) {
		return Output{}
	}
	return p.flush(now)
}

// SetInstances takes in changes of instances. One that says an instance is no longer to be used is sent at once, others are
// gathered for a moment.
func (p *Publisher) SetInstances(now time.Time, changed []registry.Instance) Output {
	urgent := false
	for _, instance := range changed {
		if p.setInstance(now, instance) && instance.State != registry.StateReady {
			urgent = true
		}
	}
	if !urgent && now.Sub(p.lastFlush) < gatherFor {
		return Output{}
	}
	return p.flush(now)
}

// setInstance takes in one instance; it returns whether that changed anything.
func (p *Publisher) setInstance(now time.Time, instance registry.Instance) bool {
	known := p.instances[instance.ID]
	if known == nil {
		known = &published{}
		p.instances[instance.ID] = known
	} else if known.SameAs(instance) {
		return false
	}
	if instance.State == registry.StateGone {
		known.goneSince = now
	}
	known.Instance = instance
	hash := registry.ContentHash(instance, instance.State)
	p.buckets.replace(instance.ID, known.hash, hash)
	known.hash = hash
	if known.version != p.sequence+1 {
		known.version = p.sequence + 1
		p.pending = append(p.pending, known)
	}
	p.order.moveToEnd(known)
	return true
}

// flush sends the gathered changes to all subscribers.
func (p *Publisher) flush(now time.Time) Output {
	change := p.config.since(now, p.sentRevision)
	if len(p.pending) == 0 && change == nil {
		return Output{}
	}
	p.lastFlush = now
	base := p.sequence
	p.sequence++
	p.sentRevision = p.config.state.Revision
	changed := p.pending
	p.pending = nil
	if len(p.subscribers) == 0 {
		return Output{}
	}
	updates := p.split(now, changed)
	updates[0].Config = change
	for _, update := range updates {
		update.Base = base
	}
	return p.toAll(updates)
}

// split makes an update of the instances, in several parts where there are many.
func (p *Publisher) split(now time.Time, listed []*published) []*feedpb.Update {
	var updates []*feedpb.Update
	for {
		count := min(len(listed), mostPerPart)
		update := &feedpb.Update{
			Sequence: p.sequence,
			Part:     uint32(len(updates)),
			More:     count < len(listed),
			Fresh:    p.fresh,
			Complete: p.complete,
		}
		for _, known := range listed[:count] {
			update.Instances = append(update.Instances, registry.ToWire(now, known.Instance))
		}
		updates = append(updates, update)
		listed = listed[count:]
		if len(listed) == 0 {
			return updates
		}
	}
}

// toAll sends updates to all subscribers.
func (p *Publisher) toAll(updates []*feedpb.Update) Output {
	var output Output
	for _, update := range updates {
		message := p.newMessage()
		message.Update = update
		for subscriber := range p.subscribers {
			output.Sends = append(output.Sends, Send{To: subscriber, Message: message})
		}
	}
	return output
}

func (p *Publisher) newMessage() *feedpb.FeedMessage {
	return &feedpb.FeedMessage{Source: p.source, Token: p.token}
}

// Tick does what is due by time. It is to be called every 50 to 250 ms.
func (p *Publisher) Tick(now time.Time) Output {
	var output Output
	if now.Sub(p.lastFlush) >= gatherFor {
		output.join(p.flush(now))
	}
	if now.Sub(p.lastForget) >= forgetInterval {
		p.lastForget = now
		p.forget(now)
	}
	if now.Sub(p.lastDigest) >= publishDigestInterval {
		p.lastDigest = now
		p.sendDigest(&output)
	}
	return output
}

// sendDigest tells all subscribers where the publisher stands.
func (p *Publisher) sendDigest(output *Output) {
	message := p.newMessage()
	message.Digest = &feedpb.Digest{
		Sequence:      p.sequence,
		Revision:      p.config.state.Revision,
		Fresh:         p.fresh,
		Complete:      p.complete,
		InstancesHash: p.buckets.sum(),
	}
	for subscriber := range p.subscribers {
		output.Sends = append(output.Sends, Send{To: subscriber, Message: message})
	}
}

// forget drops subscribers that didn't renew and instances that are long gone.
func (p *Publisher) forget(now time.Time) {
	for subscriber, renewedAt := range p.subscribers {
		if now.Sub(renewedAt) >= subscriberExpiry {
			delete(p.subscribers, subscriber)
		}
	}
	for id, known := range p.instances {
		gone := known.State == registry.StateGone && now.Sub(known.goneSince) >= publisherTombstone
		if !gone || known.version > p.sequence {
			continue
		}
		p.forgottenUpTo = max(p.forgottenUpTo, known.version)
		p.order.remove(known)
		delete(p.instances, id)
	}
}
