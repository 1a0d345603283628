package policy

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// The records on which policy.go decides, and their upkeep. This file makes no decisions.

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// scope is what shares a rate limit, a pacing rate, retry-after times and outages: a destination, or a single route if
// its kind has separate routes.
type scope struct {
	dest            *dest
	routes          []*route // in the order of sortRoutes
	separate        bool     // the scope is a single route
	kind            int
	waitUntil       time.Duration // no send before this: a retry-after was received
	pacingRate      float64       // calls a second; 0: not limited
	refusedRate     float64       // rate that was refused last, calls a second
	halvedAt        time.Duration // last backOff
	grownAt         time.Duration // last growRate
	tokens          float64       // calls that the pacing rate allows, as of tokensAt
	tokensAt        time.Duration
	recentSends     []time.Duration // sends of the last second
	credit          float64         // calls that suspected routes may receive, as of creditAt; one at most
	creditAt        time.Duration
	suspectLeftAt   time.Duration // when a suspected route was last removed; long ago if none
	reportedLimit   float64       // calls a second; 0: none reported
	remaining       float64       // fraction of reportedLimit that was left at the last report
	lowered         bool          // reportedLimit is far below the listed one
	reportedAt      time.Duration // time of the last report
	avgDeliveryRate float64       // mean rate of own deliveries, calls a second, as of avgDeliveryAt
	avgDeliveryAt   time.Duration
	inFlight        int // calls in flight
	failures        int // consecutive failures
	tableFullRun    int // failed connections that indicated a full table, since the last delivery
}

// route is one way to a destination, with its skip and suspicion.
type route struct {
	Listing
	scope          *scope
	tieBreak       uint64        // random; orders otherwise equal routes
	calls          []*call       // in flight, in order of sending
	skipUntil      time.Duration // messages skip the route before this
	skipLen        time.Duration // length of the last skip; 0 once it has ended with a delivery
	skipped        bool          // skipped, and no delivery since: calls after skipUntil are trials
	suspected      bool          // may be in an outage or recovering from one: the recovery budget applies
	weak           bool          // suspected on one failure alone: one delivery clears it
	recoveredAt    time.Duration // first delivery since the last failure while suspected; 0: none yet
	successes      int           // consecutive deliveries since the route was last suspected
	failures       int           // consecutive failures
	outcomeBits    uint8         // last 8 deliveries, errors and failed connections; a set bit is a failure
	refusals       int           // refusals since the last other response
	firstRefusedAt time.Duration // the first of them
	deliveredAt    time.Duration // last delivery
	answeredSentAt time.Duration // sending time of the latest call that had a response
	mean, dev      time.Duration // mean response time and mean deviation; a timeout counts with an estimate
	perCall        float64       // messages that a call may carry since a reset; 0: as its kind allows
	responseMean   time.Duration // mean response time without timeouts; the first ones after a suspicion count most
}

// limitChange is a limit that was lowered or restored, as a scope reported it.
type limitChange struct {
	scope   *scope
	lowered bool
	at      time.Duration
}

// dest is a destination with its queue.
type dest struct {
	id             int
	scopes         []*scope
	queue          []*message // waiting, in order of sending
	candidate      *message   // next to be sent in this dispatch, to candidateRoute
	candidateRoute *route
	blockedUntil   time.Duration // no queued message can be sent before this, unless recheck resets it
	held           int           // messages in Sender.msgs
	activeIndex    int           // position in Sender.active, from 1; 0: not active
	routelessSince time.Duration // when its last route was removed; 0: it has a route
}

// call is one call in flight; messages of one destination may share it.
type call struct {
	route     *route
	pending   int           // messages without an outcome
	delivered bool          // at least one of its messages was delivered
	sentAt    time.Duration // when the call was sent
	overdueAt time.Duration // its response is overdue from then on
	timeoutAt time.Duration // earliest timeout of its messages
}

// attempt is one message's part in a call.
type attempt struct {
	number int // counts the sends of the message, from 0
	call   *call
}

// message is one message held, or ended with attempts still in flight.
type message struct {
	id         uint32
	class      *Class
	dest       *dest
	keyQueue   *keyQueue     // messages of the same key; nil if the class is not ordered
	targetAt   time.Duration // delivered by then, the message has its full value
	deadline   time.Duration
	rank       time.Duration // position in the queue: lower is sent first
	sends      int
	inFlight   []attempt
	runSentAt  time.Duration // sending time of the first attempt that may have run
	mayHaveRun bool          // an attempt may have taken effect
	runZone    int           // zone of the first attempt that may have run
	timeouts   int           // attempts with an unknown outcome
	avoid      *route        // where the last attempt failed
	ended      bool
	queued     bool
	unpacedAt  time.Duration // from then on the message is sent whatever the pacing rate; never: always paced
}

// keyQueue is the order of the messages of one key.
type keyQueue struct {
	key         string
	messages    []*message    // in the order accepted; only the first may be sent
	pausedUntil time.Duration // no first attempt before this
	idle        bool          // without messages, kept until pausedUntil
}

// bucket measures a customer's traffic against its share.
type bucket struct {
	level float64
	at    time.Duration
}

// Sender decides for one relay. It is a pure state machine: equal events give equal actions.
type Sender struct {
	cfg               Settings
	rng               *rand.Rand
	now               time.Duration
	routes            map[string]*route // never iterated where the order matters
	dests             map[int]*dest     // never iterated
	destList          []*dest           // sorted by id
	active            []*dest           // with queued messages
	ready             []*dest           // scratch buffer of dispatch
	routeless         []*dest           // without routes, until they are removed
	idleKeys          []*keyQueue       // in order of pausedUntil
	msgs              map[uint32]*message
	keyQueues         map[string]*keyQueue
	minLimits         map[int]float64       // by kind: lowest limit reported, calls a second
	scarceUntil       map[int]time.Duration // by kind: connections are scarce until then
	lastLimitChange   limitChange           // last lowered or restored limit that a scope reported
	pendingSuspicions map[string]Suspicion  // of a previous process, for routes that are not listed yet
	suspicionsAsOf    time.Duration         // when these were received
	held              int                   // messages that have not ended
	usedSlots         int                   // call slots in use
	shares            []bucket              // by customer
	lifecycle         lifecycle
	timers            timerHeap
	scheduledWake     time.Duration // earliest wake requested from the caller; 0: none
	nextWake          time.Duration // earliest wake that this step needs; 0: none
	actions           []Action
}

// New returns a Sender that knows nothing but its settings.
func New(cfg Settings, seed uint64) (*Sender, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.applyDefaults()
	return &Sender{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x6f6e7978)),
		routes: map[string]*route{}, minLimits: map[int]float64{}, dests: map[int]*dest{},
		scarceUntil: map[int]time.Duration{}, msgs: map[uint32]*message{}, keyQueues: map[string]*keyQueue{},
		shares: make([]bucket, len(cfg.Customers)), lifecycle: lifecycle{state: servingState},
	}, nil
}

// updateRoutes applies a list of routes. A route that drains or is gone accepts no new calls.
func (s *Sender) updateRoutes(entries []Listing, full bool) {
	if s.cfg.AskList && full && len(s.destList) == 0 {
		s.emit(Action{Kind: Watch})
	}
	if full {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].Route] = true
		}
		for _, d := range s.destList {
			for _, sc := range slices.Clone(d.scopes) {
				for _, r := range slices.Clone(sc.routes) {
					if !keep[r.Route] {
						s.removeRoute(r)
					}
				}
			}
		}
	}
	var changed []*dest
	for _, l := range entries {
		if !(l.Weight > 0) || math.IsInf(l.Weight, 0) {
			l.Weight = 0 // not known
		}
		r := s.routes[l.Route]
		switch {
		case l.Gone:
			if r != nil {
				s.removeRoute(r)
			}
		case r == nil:
			s.addRoute(l)
			changed = append(changed, s.dests[l.Destination])
		default:
			if l.InService && !r.InService {
				r.deliveredAt = 0 // as new: its responses before it drained are no evidence
			}
			r.Listing = l
			changed = append(changed, r.scope.dest)
		}
	}
	for i, d := range changed {
		if i == 0 || d != changed[i-1] {
			s.sortRoutes(d)
			s.recheck(d)
		}
	}
	s.removeRouteless()
}

// configuredRank is the position of a route in the order that the settings configure for its destination; unnamed
// routes come last.
func (s *Sender) configuredRank(r *route) int {
	order := s.cfg.Order[r.Destination]
	if i := slices.Index(order, r.Route); i >= 0 {
		return i
	}
	return len(order)
}

// removeRouteless removes destinations that have had no route for a warm-up and hold no message.
func (s *Sender) removeRouteless() {
	s.routeless = slices.DeleteFunc(s.routeless, func(d *dest) bool {
		if d.hasRoutes() {
			d.routelessSince = 0
			return true
		}
		if d.held > 0 || s.now < d.routelessSince+s.cfg.WarmWithin {
			return false
		}
		delete(s.dests, d.id)
		i := sort.Search(len(s.destList), func(i int) bool { return s.destList[i].id >= d.id })
		s.destList = slices.Delete(s.destList, i, i+1)
		return true
	})
}

// hasRoutes reports whether the destination has a route.
func (d *dest) hasRoutes() bool {
	return slices.ContainsFunc(d.scopes, func(sc *scope) bool { return len(sc.routes) > 0 })
}

// leaveBy is the end of the deduplication window of a message that may have run; 0 if it has none.
func (m *message) leaveBy() time.Duration {
	if !m.mayHaveRun || m.class.Effect != Keyed {
		return 0
	}
	return m.dedupEnd()
}

// recheck makes the next dispatch examine a destination again.
func (s *Sender) recheck(d *dest) { d.blockedUntil = 0 }

// scopes are all scopes that have a route, in a fixed order.
func (s *Sender) scopes() []*scope {
	var all []*scope
	for _, d := range s.destList {
		for _, sc := range d.scopes {
			if len(sc.routes) > 0 {
				all = append(all, sc)
			}
		}
	}
	return all
}

// hasSuspected reports whether a route of the scope is suspected.
func (sc *scope) hasSuspected() bool {
	return slices.ContainsFunc(sc.routes, func(x *route) bool { return x.suspected })
}

// removeRoute removes a route. Calls in flight keep its record until they have their outcomes.
func (s *Sender) removeRoute(r *route) {
	r.Gone = true
	delete(s.routes, r.Route)
	sc := r.scope
	if r.suspected {
		sc.suspectLeftAt = s.now
	}
	sc.routes = slices.DeleteFunc(sc.routes, func(x *route) bool { return x == r })
	if sc.separate {
		sc.dest.scopes = slices.DeleteFunc(sc.dest.scopes, func(x *scope) bool { return x == sc })
	}
	if d := sc.dest; d.routelessSince == 0 && !d.hasRoutes() {
		d.routelessSince = s.now
		s.routeless = append(s.routeless, d)
	}
}

// addRoute adds a listed route, and its scope if it has none yet.
func (s *Sender) addRoute(l Listing) {
	d := s.destination(l.Destination)
	r := &route{Listing: l, tieBreak: s.rng.Uint64()}
	s.routes[l.Route] = r
	separate := l.Kind >= 0 && l.Kind < len(s.cfg.Kinds) && s.cfg.Kinds[l.Kind].Separate
	if separate || len(d.scopes) == 0 {
		d.scopes = append(d.scopes, &scope{dest: d, separate: separate, kind: l.Kind, tokens: 1, tokensAt: s.now,
			suspectLeftAt: math.MinInt64 / 2})
	}
	r.scope = d.scopes[len(d.scopes)-1]
	r.scope.routes = append(r.scope.routes, r)
	s.initPacing(r)
	if d, ok := s.pendingSuspicions[l.Route]; ok {
		delete(s.pendingSuspicions, l.Route)
		s.restoreSuspicion(r, d)
	}
}

// Suspicions are the routes that may be in an outage or recovering from one, sorted by name.
func (s *Sender) Suspicions() []Suspicion {
	var all []Suspicion
	for _, r := range s.routes {
		switch {
		case !r.suspected:
		case r.recoveredAt == 0:
			all = append(all, Suspicion{Route: r.Route, Weak: r.weak})
		case s.now < r.recoveredAt+s.cfg.WarmWithin:
			all = append(all, Suspicion{r.Route, r.weak, max(1, s.now-r.recoveredAt)})
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int { return strings.Compare(a.Route, b.Route) })
	return all
}

// restoreSuspicions applies what the previous process knew of outages. Prevents overloading a returning destination by
// a fleet whose processes restart in its warm-up and know nothing of it.
func (s *Sender) restoreSuspicions(doubts []Suspicion) {
	s.pendingSuspicions, s.suspicionsAsOf = map[string]Suspicion{}, s.now
	for _, d := range doubts {
		if r := s.routes[d.Route]; r != nil {
			s.restoreSuspicion(r, d)
		} else {
			s.pendingSuspicions[d.Route] = d
		}
	}
}

// restoreSuspicion makes a route suspected as it was in the previous process.
func (s *Sender) restoreSuspicion(r *route, d Suspicion) {
	s.suspect(r)
	if r.weak = d.Weak; d.SinceDelivery > 0 {
		r.recoveredAt = s.suspicionsAsOf - d.SinceDelivery
	}
}

// destination returns the record of a destination and creates it if there is none.
func (s *Sender) destination(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id}
		s.dests[id] = d
		i := sort.Search(len(s.destList), func(i int) bool { return s.destList[i].id > id })
		s.destList = slices.Insert(s.destList, i, d)
	}
	return d
}

// interval is the time between calls at a rate in calls a second, one hour at most.
func interval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}

func (s *Sender) enqueue(m *message) {
	d := m.dest
	i := sort.Search(len(d.queue), func(i int) bool { return before(m, d.queue[i]) })
	d.queue = slices.Insert(d.queue, i, m)
	m.queued = true
	s.recheck(d)
	if d.activeIndex == 0 {
		s.active = append(s.active, d)
		d.activeIndex = len(s.active)
	}
}

func (s *Sender) unqueue(m *message) {
	if !m.queued {
		return
	}
	m.queued = false
	d := m.dest
	i := slices.Index(d.queue, m)
	d.queue = slices.Delete(d.queue, i, i+1)
	if len(d.queue) == 0 {
		last := s.active[len(s.active)-1]
		s.active[d.activeIndex-1], last.activeIndex = last, d.activeIndex
		s.active, d.activeIndex = s.active[:len(s.active)-1], 0
	}
}

// endMessage ends a message that needs no further action.
func (s *Sender) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		s.held--
		s.unqueue(m)
	}
	s.removeEnded(m)
}

// removeEnded removes an ended message once its attempts have their outcomes, and lets the next message of its key be
// sent.
func (s *Sender) removeEnded(m *message) {
	if !m.ended || len(m.inFlight) > 0 {
		return
	}
	delete(s.msgs, m.id)
	m.dest.held--
	if q := m.keyQueue; q != nil {
		m.keyQueue = nil
		q.messages = slices.DeleteFunc(q.messages, func(x *message) bool { return x == m })
		switch {
		case len(q.messages) > 0:
			s.recheck(q.messages[0].dest)
		case !q.idle:
			q.idle = true
			s.idleKeys = append(s.idleKeys, q)
		}
	}
}

// removeIdleKeys removes key queues that are empty and whose pause has ended.
func (s *Sender) removeIdleKeys() {
	for len(s.idleKeys) > 0 && s.idleKeys[0].pausedUntil <= s.now {
		q := s.idleKeys[0]
		s.idleKeys = s.idleKeys[1:]
		if q.idle = false; len(q.messages) == 0 {
			delete(s.keyQueues, q.key)
		}
	}
}

// timer is a time at which handleTimers must handle a message: its target, its deadline or the end of a deduplication
// window.
type timer struct {
	at time.Duration
	m  *message
}

// timerHeap orders timers by time.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].m.id < h[j].m.id
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// requestWake requests a wake at t unless an earlier one is requested.
func (s *Sender) requestWake(t time.Duration) {
	if t < math.MaxInt64 && (s.nextWake == 0 || t < s.nextWake) {
		s.nextWake = t
	}
}

// lastSecondRate is the number of calls in the last second.
func (s *Sender) lastSecondRate(sc *scope) float64 {
	i := 0
	for i < len(sc.recentSends) && sc.recentSends[i] <= s.now-time.Second {
		i++
	}
	sc.recentSends = append(sc.recentSends[:0], sc.recentSends[i:]...)
	return float64(len(sc.recentSends))
}

// deliveryRate is the mean rate of own deliveries of a scope, in calls a second; it does not decay while a route of the
// scope is suspected.
func (s *Sender) deliveryRate(sc *scope) float64 {
	if sc.hasSuspected() {
		return sc.avgDeliveryRate
	}
	return sc.avgDeliveryRate * math.Exp(-float64(s.now-sc.avgDeliveryAt)/float64(deliveryRateTau))
}

// countDelivery adds a delivery to that rate, which does not fall while a route of the scope is suspected.
func (s *Sender) countDelivery(sc *scope) {
	since := (s.now - sc.avgDeliveryAt).Seconds()
	if sc.hasSuspected() && sc.avgDeliveryRate > 0 {
		since = min(since, 1/sc.avgDeliveryRate)
	}
	sc.avgDeliveryRate, sc.avgDeliveryAt = sc.avgDeliveryRate*math.Exp(-since/deliveryRateTau.Seconds())+1/deliveryRateTau.Seconds(), s.now
}

// refillTokens adds the tokens that the pacing rate has earned, up to one plus a burst.
func (s *Sender) refillTokens(sc *scope, burst time.Duration) {
	sc.tokens = math.Min(1+sc.pacingRate*burst.Seconds(), sc.tokens+sc.pacingRate*(s.now-sc.tokensAt).Seconds())
	sc.tokensAt = s.now
}

// maxLimit is above any real limit, in calls a second: a report of as much is invalid.
const maxLimit = 1e6

// recordReport records what a route's destination reported of its limit.
func (s *Sender) recordReport(r *route, rep Report) {
	if rep.Told && rep.Limit > 0 && rep.Limit < maxLimit {
		s.followLimit(r.scope, rep.Limit)
		r.scope.reportedLimit, r.scope.remaining, r.scope.reportedAt = rep.Limit, rep.Left, s.now
		s.inferLimitChange(r)
		if known := s.minLimits[r.Kind]; known == 0 || rep.Limit < known {
			s.minLimits[r.Kind] = rep.Limit
		}
	}
}

// recordResponseTime updates the mean response time of a route. A timeout counts as a longer response.
func (s *Sender) recordResponseTime(r *route, took time.Duration) {
	if r.mean == 0 {
		r.mean, r.dev = took, took/2
		return
	}
	diff := took - r.mean
	r.mean, r.dev = r.mean+diff/8, r.dev+(max(diff, -diff)-r.dev)/4
}

// SkippedRoutes counts the listed routes that are skipped for their failures.
func (s *Sender) SkippedRoutes() int {
	n := 0
	for _, r := range s.routes {
		if r.skipped {
			n++
		}
	}
	return n
}

// removeAttempt removes a finished attempt from its message and returns its call; nil if the attempt is unknown.
func (s *Sender) removeAttempt(m *message, number int) *call {
	if m == nil {
		return nil
	}
	for i, a := range m.inFlight {
		if a.number == number {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			return a.call
		}
	}
	return nil
}

// joinKeyQueue appends a message to the queue of its key.
func (s *Sender) joinKeyQueue(m *message, key string) {
	q := s.keyQueues[key]
	if q == nil {
		q = &keyQueue{key: key}
		s.keyQueues[key] = q
	}
	q.messages = append(q.messages, m)
	m.keyQueue = q
}

// addInFlight counts a call that is sent, and what it uses of slots, pacing rate and recovery budget.
func (s *Sender) addInFlight(c *call) {
	sc := c.route.scope
	s.usedSlots++
	sc.inFlight++
	c.route.calls = append(c.route.calls, c)
	s.lastSecondRate(sc)
	sc.recentSends = append(sc.recentSends, s.now)
	if sc.pacingRate > 0 { // a call sent without a token leaves no debt
		sc.tokens = math.Max(sc.tokens-1, math.Min(sc.tokens, 0))
	}
	if c.route.suspected {
		sc.credit--
	}
}

// removeInFlight removes a call that has its last outcome.
func (s *Sender) removeInFlight(c *call) {
	s.usedSlots--
	c.route.scope.inFlight--
	c.route.calls = slices.DeleteFunc(c.route.calls, func(x *call) bool { return x == c })
}

// Check returns an error if the settings are invalid.
func (cfg *Settings) Check() error {
	if len(cfg.Classes) == 0 {
		return errors.New("policy: settings name no class")
	}
	if min(cfg.Senders, cfg.Slots, cfg.MaxHeld, cfg.MaxAttempts) < 0 {
		return errors.New("policy: settings hold a negative count")
	}
	smallest := min(cfg.MaxRetryAfter, cfg.WarmWithin, cfg.OverloadWindow, cfg.OrderPause, cfg.FirstSkip, cfg.MaxSkip)
	sum := cfg.ColdShare + cfg.OverloadFactor
	for _, c := range cfg.Classes {
		smallest = min(smallest, c.DedupWindow, c.Aim, c.GiveUp, c.Advice)
		sum += c.Value
	}
	for _, c := range cfg.Customers {
		sum += c.Quota
	}
	if smallest < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}
