package distribution

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// Defaults of the SubscriberOptions.
const (
	defaultSilenceTimeout      = 1200 * time.Millisecond
	defaultSubscribeTimeout    = 400 * time.Millisecond
	defaultResubscribeInterval = 300 * time.Millisecond
	defaultRenewInterval       = 2 * time.Second
	defaultFailbackDelay       = 10 * time.Second
	defaultUnlistedRetention   = 5 * time.Second
	defaultRelistDelay         = 5 * time.Second
	defaultTombstoneRetention  = 2 * time.Minute
)

// minPause is the time between two ticks from which this process is taken to have been paused, so that the source is not to blame for the
// silence.
const minPause = time.Second

// SubscriberOptions are the settings of a Subscriber. Durations of zero get their defaults.
type SubscriberOptions struct {
	Self string // internal address of this process
	// ApplyPatch applies a patch to a configuration document. Without it, the full document is requested for every change.
	ApplyPatch          func(document, patch []byte) ([]byte, error)
	SilenceTimeout      time.Duration // a source is left after this time without a message; a quarter of the tightest bound (5 s) on applying changes
	SubscribeTimeout    time.Duration // a candidate must answer within this time
	ResubscribeInterval time.Duration // minimum time between two requests for what is missing
	RenewInterval       time.Duration // between two renewals of the subscription
	FailbackDelay       time.Duration // a source that is not the best one is kept at least this long before a better one is tried
	UnlistedRetention   time.Duration // instances that a new source does not list are kept this long once it is complete
	RelistDelay         time.Duration // all instances are compared if the own ones have differed from those of the source for this long
	TombstoneRetention  time.Duration // a gone instance is remembered this long
}

func (o SubscriberOptions) withDefaults() SubscriberOptions {
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, defaultSilenceTimeout)
	o.SubscribeTimeout = cmp.Or(o.SubscribeTimeout, defaultSubscribeTimeout)
	o.ResubscribeInterval = cmp.Or(o.ResubscribeInterval, defaultResubscribeInterval)
	o.RenewInterval = cmp.Or(o.RenewInterval, defaultRenewInterval)
	o.FailbackDelay = cmp.Or(o.FailbackDelay, defaultFailbackDelay)
	o.UnlistedRetention = cmp.Or(o.UnlistedRetention, defaultUnlistedRetention)
	o.RelistDelay = cmp.Or(o.RelistDelay, defaultRelistDelay)
	o.TombstoneRetention = cmp.Or(o.TombstoneRetention, defaultTombstoneRetention)
	return o
}

// Subscriber holds the configuration and the instances that a relay knows, and keeps them up to date from one source at a time. It is
// not safe for concurrent use.
type Subscriber struct {
	options   SubscriberOptions
	sources   []string           // addresses, in the order of preference
	current   *source            // nil before the first one has answered
	candidate *source            // being tried as a replacement of current; may be nil
	failures  map[string]failure // by address

	config               ConfigState
	wantsFullDocument    bool // steps could not be applied, so the full document is requested
	fullDocumentRequests int  // how often that happened

	instances      map[string]*heldInstance
	buckets        buckets
	listingNumber  uint32 // number of the current listing; instances that it lacks are dropped, see dropUnlisted
	droppedListing uint32 // the last listing after which unlisted instances were dropped

	tokenSeen   uint64 // highest fencing token seen
	tokenSource string // life of the publisher that sent it

	resumedAt    time.Time // start of this process, or end of its last pause
	lastTickAt   time.Time
	lastForgetAt time.Time
}

// NewSubscriber returns a subscriber without state and without sources.
func NewSubscriber(options SubscriberOptions, now time.Time) *Subscriber {
	return &Subscriber{
		options:      options.withDefaults(),
		failures:     make(map[string]failure),
		instances:    make(map[string]*heldInstance),
		resumedAt:    now,
		lastTickAt:   now,
		lastForgetAt: now,
	}
}

// Config returns the newest known configuration state. Its revision never decreases.
func (s *Subscriber) Config() ConfigState { return s.config }

// Instances returns all known instances that are not gone.
func (s *Subscriber) Instances() []registry.Instance {
	instances := make([]registry.Instance, 0, len(s.instances))
	for _, known := range s.instances {
		if known.State != registry.StateGone {
			instances = append(instances, known.Instance)
		}
	}
	return instances
}

// Fresh reports whether the state is up to date: a message from the source was received recently, and the source is in contact with the
// majority of the control processes.
func (s *Subscriber) Fresh(now time.Time) bool {
	source := s.current
	return source != nil && source.fresh && source.positionKnown && now.Sub(source.lastReceivedAt) < s.options.SilenceTimeout
}

// Complete reports whether the source had time to learn of every instance.
func (s *Subscriber) Complete() bool {
	return s.current != nil && s.current.positionKnown && s.current.complete
}

// Source returns the internal address of the current source, or "" if there is none.
func (s *Subscriber) Source() string {
	if s.current == nil {
		return ""
	}
	return s.current.address
}

// FullDocumentRequests returns how often steps could not be applied, so that the full document had to be requested.
func (s *Subscriber) FullDocumentRequests() int { return s.fullDocumentRequests }

// SetSources sets the internal addresses of the publishers to choose from, in the order of preference.
func (s *Subscriber) SetSources(now time.Time, sources []string) Output {
	s.sources = slices.Clone(sources)
	for address := range s.failures {
		if !slices.Contains(s.sources, address) {
			delete(s.failures, address)
		}
	}
	var output Output
	s.selectSource(now, &output)
	return output
}

// Receive processes a message from the process whose internal address is from.
func (s *Subscriber) Receive(now time.Time, from string, message *feedpb.FeedMessage) Output {
	var output Output
	if s.isFenced(message) {
		return output
	}
	switch {
	case message.GetUpdate() != nil:
		s.receiveUpdate(now, from, message, &output)
	case message.GetDigest() != nil:
		s.receiveDigest(now, from, message, &output)
	case message.GetHandoff() != nil:
		s.receiveHandoff(now, message.GetHandoff(), &output)
	}
	return output
}

// isFenced reports whether a message comes from a home that has since been replaced by another one. It records newer fencing tokens.
func (s *Subscriber) isFenced(message *feedpb.FeedMessage) bool {
	token := message.GetToken()
	if token == 0 {
		return false
	}
	if token > s.tokenSeen {
		s.tokenSeen = token
		s.tokenSource = message.GetSource()
	}
	return token < s.tokenSeen
}

// receiveUpdate processes an update. If it is not from the current source, only what can't be outdated is applied.
func (s *Subscriber) receiveUpdate(now time.Time, from string, message *feedpb.FeedMessage, output *Output) {
	update := message.GetUpdate()
	sender := s.sourceAt(from)
	if sender == nil {
		s.unsubscribe(from, output)
	} else {
		s.recordContact(now, sender, message.GetSource(), update.GetFresh(), update.GetComplete())
		if sender == s.candidate {
			s.evaluateCandidate(now, output)
		}
	}
	configApplied := s.applyConfig(now, update.GetConfig(), output)
	authoritative := sender != nil && sender == s.current && sender.isAuthoritative(update)
	s.applyInstances(now, update, authoritative, output)
	if sender == nil || sender != s.current {
		return
	}
	if !sender.advance(update) || !configApplied {
		sender.hasGap = true
	}
	s.requestMissing(now, sender, output)
}

// receiveDigest processes a digest. It detects gaps and differences from the source.
func (s *Subscriber) receiveDigest(now time.Time, from string, message *feedpb.FeedMessage, output *Output) {
	digest := message.GetDigest()
	sender := s.sourceAt(from)
	if sender == nil {
		s.unsubscribe(from, output)
		return
	}
	s.recordContact(now, sender, message.GetSource(), digest.GetFresh(), digest.GetComplete())
	if sender != s.current {
		return
	}
	if !sender.positionKnown || digest.GetSequence() > sender.sequence || digest.GetRevision() > s.config.Revision {
		sender.hasGap = true
	}
	s.compareInstances(now, sender, digest)
	s.requestMissing(now, sender, output)
}

// compareInstances starts a comparison of all instances if the digest has differed from the own one for RelistDelay.
func (s *Subscriber) compareInstances(now time.Time, sender *source, digest *feedpb.Digest) {
	differs := sender.positionKnown && digest.GetSequence() == sender.sequence && digest.GetInstancesHash() != s.buckets.sum()
	if !differs {
		sender.differsSince = time.Time{}
		return
	}
	if sender.differsSince.IsZero() {
		sender.differsSince = now
	}
	if now.Sub(sender.differsSince) >= s.options.RelistDelay {
		sender.differsSince = time.Time{}
		sender.positionKnown = false
		sender.hasGap = true
		s.listingNumber++ // instances that the new listing lacks are dropped later
	}
}

// receiveHandoff processes the hints that were stored for this process while it was unreachable.
func (s *Subscriber) receiveHandoff(now time.Time, handoff *feedpb.Handoff, output *Output) {
	for _, received := range handoff.GetInstances() {
		s.applyInstance(now, registry.FromWire(now, received), false, output)
	}
	missed := handoff.GetRevision() > s.config.Revision || handoff.GetOverflowed()
	if missed && s.current != nil {
		s.current.hasGap = true
		s.requestMissing(now, s.current, output)
	}
}

// Tick does what is due by time. It must be called every 50 to 250 ms.
func (s *Subscriber) Tick(now time.Time) Output {
	if now.Sub(s.lastTickAt) >= minPause {
		s.resumedAt = now
	}
	s.lastTickAt = now
	var output Output
	s.selectSource(now, &output)
	if s.current != nil {
		s.requestMissing(now, s.current, &output)
		s.renewSubscription(now, s.current, &output)
	}
	s.dropUnlisted(now, &output)
	s.forgetGone(now)
	return output
}
