package distribution

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
)

// Defaults of SubscriberOptions.
const (
	defaultSilentAfter   = 1200 * time.Millisecond
	defaultAskTimeout    = 400 * time.Millisecond
	defaultAskInterval   = 300 * time.Millisecond
	defaultRenewInterval = 2 * time.Second
	defaultReturnAfter   = 10 * time.Second
	defaultKeepUnlisted  = 5 * time.Second
	defaultRelistAfter   = 5 * time.Second
	defaultTombstone     = 2 * time.Minute
)

// awayAfter is the time between two ticks from which this process counts as having been away: its source wasn't silent then.
const awayAfter = time.Second

// SubscriberOptions are the settings of a Subscriber. Spans left at zero get their defaults.
type SubscriberOptions struct {
	Self string // internal address of this process
	// ApplyPatch applies a patch to a configuration. Without it every change is taken as a whole configuration.
	ApplyPatch    func(document, patch []byte) ([]byte, error)
	SilentAfter   time.Duration // a source that says nothing for so long is left; about a quarter of the tightest bound
	AskTimeout    time.Duration // a source that is tried must answer in that time
	AskInterval   time.Duration // between two questions for what is missing
	RenewInterval time.Duration // between renewals of the subscription
	ReturnAfter   time.Duration // on a source that isn't the best one, before a better one is tried again
	KeepUnlisted  time.Duration // instances that a new source doesn't list are kept for so long once it is complete
	RelistAfter   time.Duration // the instances may differ from the source's for so long before all are compared
	Tombstone     time.Duration // a gone instance is remembered for so long
}

func (o SubscriberOptions) withDefaults() SubscriberOptions {
	o.SilentAfter = cmp.Or(o.SilentAfter, defaultSilentAfter)
	o.AskTimeout = cmp.Or(o.AskTimeout, defaultAskTimeout)
	o.AskInterval = cmp.Or(o.AskInterval, defaultAskInterval)
	o.RenewInterval = cmp.Or(o.RenewInterval, defaultRenewInterval)
	o.ReturnAfter = cmp.Or(o.ReturnAfter, defaultReturnAfter)
	o.KeepUnlisted = cmp.Or(o.KeepUnlisted, defaultKeepUnlisted)
	o.RelistAfter = cmp.Or(o.RelistAfter, defaultRelistAfter)
	o.Tombstone = cmp.Or(o.Tombstone, defaultTombstone)
	return o
}

// Subscriber holds what a relay knows of the configuration and the instances, and keeps it up to date from one source at a
// time. It isn't safe for use by several goroutines at once.
type Subscriber struct {
	options   SubscriberOptions
	ordered   []string // sources, best first
	current   *source
	candidate *source // being tried in the place of current
	failures  map[string]failure

	config       ConfigState
	wantWhole    bool // the steps that came can't be applied
	wholeUpdates int

	instances map[string]*held
	buckets   buckets
	listing   uint32 // number of the listing that instances must be in; see held.listing
	dropped   uint32 // the listing after which what it lacks has been dropped

	tokenSeen   uint64
	tokenSource string

	awakeSince time.Time
	lastTick   time.Time
	lastForget time.Time
}

// NewSubscriber returns a subscriber that knows nothing and has no sources.
func NewSubscriber(options SubscriberOptions, now time.Time) *Subscriber {
	return &Subscriber{
		options:    options.withDefaults(),
		failures:   make(map[string]failure),
		instances:  make(map[string]*held),
		awakeSince: now,
		lastTick:   now,
		lastForget: now,
	}
}

// Config returns the newest state known. Its revision never goes back.
func (s *Subscriber) Config() ConfigState { return s.config }

// Instances returns all instances known, apart from those that are gone.
func (s *Subscriber) Instances() []registry.Instance {
	instances := make([]registry.Instance, 0, len(s.instances))
	for _, known := range s.instances {
		if known.State != registry.StateGone {
			instances = append(instances, known.Instance)
		}
	}
	return instances
}

// Fresh says whether what is known is up to date: the source spoke lately, and is in touch with the majority itself.
func (s *Subscriber) Fresh(now time.Time) bool {
	source := s.current
	return source != nil && source.fresh && source.placed && now.Sub(source.heardAt) < s.options.SilentAfter
}

// Complete says whether the source had time to learn of every instance.
func (s *Subscriber) Complete() bool {
	return s.current != nil && s.current.placed && s.current.complete
}

// Source returns the internal address of the source; "" while there is none.
func (s *Subscriber) Source() string {
	if s.current == nil {
		return ""
	}
	return s.current.address
}

// WholeUpdates returns how often steps could not be applied, so that the whole configuration had to be asked for.
func (s *Subscriber) WholeUpdates() int { return s.wholeUpdates }

// SetSources names the processes that may be subscribed to, best first.
func (s *Subscriber) SetSources(now time.Time, ordered []string) Output {
	s.ordered = slices.Clone(ordered)
	for address := range s.failures {
		if !slices.Contains(s.ordered, address) {
			delete(s.failures, address)
		}
	}
	var output Output
	s.seek(now, &output)
	return output
}

// Receive takes in a message of the process whose internal address is from.
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

// isFenced says whether a message comes from a home that has been followed by another one, and notes newer tokens.
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

// receiveUpdate takes in an update. From a process that isn't the source, only what can't be outdated is taken.
func (s *Subscriber) receiveUpdate(now time.Time, from string, message *feedpb.FeedMessage, output *Output) {
	update := message.GetUpdate()
	sender := s.sourceAt(from)
	if sender == nil {
		s.unsubscribe(from, output)
	} else {
		s.hear(now, sender, message.GetSource(), update.GetFresh(), update.GetComplete())
		if sender == s.candidate {
			s.judgeCandidate(now, output)
		}
	}
	inStep := s.applyConfig(now, update.GetConfig(), output)
	opinion := sender != nil && sender == s.current && sender.mayJudge(update)
	s.applyInstances(now, update, opinion, output)
	if sender == nil || sender != s.current {
		return
	}
	if !sender.advance(update) || !inStep {
		sender.gap = true
	}
	s.mendGap(now, sender, output)
}

// receiveDigest takes in where a publisher stands.
func (s *Subscriber) receiveDigest(now time.Time, from string, message *feedpb.FeedMessage, output *Output) {
	digest := message.GetDigest()
	sender := s.sourceAt(from)
	if sender == nil {
		s.unsubscribe(from, output)
		return
	}
	s.hear(now, sender, message.GetSource(), digest.GetFresh(), digest.GetComplete())
	if sender != s.current {
		return
	}
	if !sender.placed || digest.GetSequence() > sender.sequence || digest.GetRevision() > s.config.Revision {
		sender.gap = true
	}
	s.compareInstances(now, sender, digest)
	s.mendGap(now, sender, output)
}

// compareInstances asks for a comparison of all instances where they have differed from the source's for a while.
func (s *Subscriber) compareInstances(now time.Time, sender *source, digest *feedpb.Digest) {
	differs := sender.placed && digest.GetSequence() == sender.sequence && digest.GetInstancesHash() != s.buckets.sum()
	if !differs {
		sender.differsSince = time.Time{}
		return
	}
	if sender.differsSince.IsZero() {
		sender.differsSince = now
	}
	if now.Sub(sender.differsSince) >= s.options.RelistAfter {
		sender.differsSince = time.Time{}
		sender.placed = false
		sender.gap = true
		s.listing++ // what the new listing lacks is dropped
	}
}

// receiveHandoff takes in what was kept for this process while it was away.
func (s *Subscriber) receiveHandoff(now time.Time, handoff *feedpb.Handoff, output *Output) {
	for _, told := range handoff.GetInstances() {
		s.applyInstance(now, registry.FromWire(now, told), false, output)
	}
	missed := handoff.GetRevision() > s.config.Revision || handoff.GetOverflowed()
	if missed && s.current != nil {
		s.current.gap = true
		s.mendGap(now, s.current, output)
	}
}

// Tick does what is due by time. It is to be called every 50 to 250 ms.
func (s *Subscriber) Tick(now time.Time) Output {
	if now.Sub(s.lastTick) >= awayAfter {
		s.awakeSince = now
	}
	s.lastTick = now
	var output Output
	s.seek(now, &output)
	if s.current != nil {
		s.mendGap(now, s.current, &output)
		s.renew(now, s.current, &output)
	}
	s.dropUnlisted(now, &output)
	s.forget(now)
	return output
}
