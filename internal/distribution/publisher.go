package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

const (
	// publishDigestInterval is the time between two digests to the subscribers.
	publishDigestInterval = 500 * time.Millisecond
	// batchDelay is how long changes that are not urgent are collected before they are sent together.
	batchDelay = 50 * time.Millisecond
	// subscriberExpiry is the time after which a subscriber that did not renew its subscription is dropped.
	subscriberExpiry = 6 * time.Second
	// publisherTombstoneRetention is how long a publisher keeps instances that are gone.
	publisherTombstoneRetention = 60 * time.Second
	// forgetInterval is the time between two runs of forgetExpired.
	forgetInterval = 5 * time.Second
)

// Publisher sends the configuration and the instances to subscribers. It numbers its changes, so that a subscriber can detect a gap. It is
// not safe for concurrent use.
type Publisher struct {
	life     string // random name of this run of the process
	token    uint64 // fencing token; 0 unless the publisher is a home
	fresh    bool   // in contact with the majority of the control processes
	complete bool   // had time to learn of every instance

	config           configHistory
	sentRevision     uint64 // newest revision that was pushed to the subscribers
	instances        map[string]*publishedInstance
	changeOrder      publishedList // by changedAt
	buckets          buckets
	sequence         uint64               // number of the last push of changes
	forgottenUpTo    uint64               // highest changedAt of the instances that have been removed
	pendingInstances []*publishedInstance // changed since the last push

	subscribers  map[string]time.Time // time of the last subscription or renewal, by internal address
	lastFlushAt  time.Time
	lastDigestAt time.Time
	lastForgetAt time.Time
}

// NewPublisher returns a publisher without configuration and instances. Life is a random name of this run of the process.
func NewPublisher(life string, now time.Time) *Publisher {
	return &Publisher{
		life:         life,
		instances:    make(map[string]*publishedInstance),
		subscribers:  make(map[string]time.Time),
		lastFlushAt:  now,
		lastDigestAt: now,
		lastForgetAt: now,
	}
}

// SetFresh sets whether this process is in contact with the majority of the control processes, directly or through its own source.
func (p *Publisher) SetFresh(fresh bool) { p.fresh = fresh }

// SetComplete sets whether this process had time to learn of every instance.
func (p *Publisher) SetComplete(complete bool) { p.complete = complete }

// BecomeHome makes this publisher the home of its key, with a fencing token above its previous ones. The token is raised further when a
// subscriber has seen a higher one from another home; see Receive.
func (p *Publisher) BecomeHome() { p.token++ }

// Token returns the fencing token, or 0 if the publisher is not a home.
func (p *Publisher) Token() uint64 { return p.token }

// Subscribers returns the number of subscribers.
func (p *Publisher) Subscribers() int { return len(p.subscribers) }

// SetConfig sets a newer configuration state and sends it to the subscribers immediately. A state that is not newer is ignored.
func (p *Publisher) SetConfig(now time.Time, update Update) Output {
	if !p.config.add(update) {
		return Output{}
	}
	return p.flush(now)
}

// SetInstances applies changes of instances. If one of the instances must no longer be used, all pending changes are sent immediately;
// otherwise they are batched for batchDelay.
func (p *Publisher) SetInstances(now time.Time, changed []registry.Instance) Output {
	urgent := false
	for _, instance := range changed {
		if p.setInstance(now, instance) && instance.State != registry.StateReady {
			urgent = true
		}
	}
	if !urgent && now.Sub(p.lastFlushAt) < batchDelay {
		return Output{}
	}
	return p.flush(now)
}

// setInstance sets one instance. It reports whether that changed anything.
func (p *Publisher) setInstance(now time.Time, instance registry.Instance) bool {
	known := p.instances[instance.ID]
	if known == nil {
		known = &publishedInstance{}
		p.instances[instance.ID] = known
	} else if known.SameAs(instance) {
		return false
	}
	if instance.State == registry.StateGone {
		known.goneSince = now
	}
	known.Instance = instance
	contentHash := registry.ContentHash(instance, instance.State)
	p.buckets.replace(instance.ID, known.contentHash, contentHash)
	known.contentHash = contentHash
	if known.changedAt != p.sequence+1 {
		known.changedAt = p.sequence + 1
		p.pendingInstances = append(p.pendingInstances, known)
	}
	p.changeOrder.moveToEnd(known)
	return true
}

// flush sends the pending changes to all subscribers.
func (p *Publisher) flush(now time.Time) Output {
	configUpdate := p.config.updateSince(now, p.sentRevision)
	if len(p.pendingInstances) == 0 && configUpdate == nil {
		return Output{}
	}
	p.lastFlushAt = now
	base := p.sequence
	p.sequence++
	p.sentRevision = p.config.state.Revision
	changed := p.pendingInstances
	p.pendingInstances = nil
	if len(p.subscribers) == 0 {
		return Output{}
	}
	updates := p.splitUpdate(now, changed)
	updates[0].Config = configUpdate
	for _, update := range updates {
		update.Base = base
	}
	return p.sendToAll(updates)
}

// splitUpdate returns an update with instances, in parts of at most maxInstancesPerPart. There is at least one part.
func (p *Publisher) splitUpdate(now time.Time, instances []*publishedInstance) []*feedpb.Update {
	var updates []*feedpb.Update
	for {
		count := min(len(instances), maxInstancesPerPart)
		update := &feedpb.Update{
			Sequence: p.sequence,
			Part:     uint32(len(updates)),
			More:     count < len(instances),
			Fresh:    p.fresh,
			Complete: p.complete,
		}
		for _, known := range instances[:count] {
			update.Instances = append(update.Instances, registry.ToWire(now, known.Instance))
		}
		updates = append(updates, update)
		instances = instances[count:]
		if len(instances) == 0 {
			return updates
		}
	}
}

// sendToAll returns the messages that send updates to all subscribers.
func (p *Publisher) sendToAll(updates []*feedpb.Update) Output {
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
	return &feedpb.FeedMessage{Source: p.life, Token: p.token}
}

// Tick does what is due by time. It must be called every 50 to 250 ms.
func (p *Publisher) Tick(now time.Time) Output {
	var output Output
	if now.Sub(p.lastFlushAt) >= batchDelay {
		output.merge(p.flush(now))
	}
	if now.Sub(p.lastForgetAt) >= forgetInterval {
		p.lastForgetAt = now
		p.forgetExpired(now)
	}
	if now.Sub(p.lastDigestAt) >= publishDigestInterval {
		p.lastDigestAt = now
		p.sendDigest(&output)
	}
	return output
}

// sendDigest sends the current position and state of the publisher to all subscribers.
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

// forgetExpired drops subscribers that did not renew, and instances that have been gone for publisherTombstoneRetention.
func (p *Publisher) forgetExpired(now time.Time) {
	for subscriber, renewedAt := range p.subscribers {
		if now.Sub(renewedAt) >= subscriberExpiry {
			delete(p.subscribers, subscriber)
		}
	}
	for id, known := range p.instances {
		gone := known.State == registry.StateGone && now.Sub(known.goneSince) >= publisherTombstoneRetention
		if !gone || known.changedAt > p.sequence {
			continue
		}
		p.forgottenUpTo = max(p.forgottenUpTo, known.changedAt)
		p.changeOrder.remove(known)
		delete(p.instances, id)
	}
}
