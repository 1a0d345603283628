package policy

import "time"

// Effect is what repeating a message of a class may do.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated and refused at any time
	Keyed                // the destination drops repeats within a group of routes and a time window
	Unsafe               // must not take effect twice
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Outcome = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Class is one class of message.
type Class struct {
	Effect   Effect
	GroupAll bool // Keyed: every route of the destination drops repeats; else those of one zone
	// DedupWindow is how long repeats of keyed messages are dropped, from the first send that may have run. Journals store it as Window.
	DedupWindow time.Duration `json:"Window"`
	Ordered     bool          // messages of one key are sent one after another, in order of arrival
	Aim         time.Duration // target latency: a message delivered within it has its full value
	GiveUp      time.Duration // time after arrival at which the message expires
	Value       float64       // value of a message, for priorities; default 1
	Attempts    int           // maximum for a message; 0: Settings.MaxAttempts
	Advice      time.Duration `json:",omitempty"` // minimum retry-after of a refusal; 0: RetryAdvice
}

// Kind is one kind of destination.
type Kind struct {
	Separate bool // each route has its own rate limit, pacing rate and outages
	PerCall  int  // maximum number of messages in one call; default 1
}

// Customer is one customer of the service.
type Customer struct {
	Name  string
	Quota float64 // its share in messages a second, over all senders; 0: unlimited
}

// Settings configure a Sender. Zero values of optional fields mean their defaults.
type Settings struct {
	Classes        []Class
	Kinds          []Kind
	Customers      []Customer
	Senders        int           // number of senders in the fleet; default 1
	Slots          int           // maximum number of calls in flight; 0: no limit
	MaxHeld        int           // maximum number of messages held; 0: no limit
	MaxAttempts    int           // maximum for a message; 0: no limit
	MaxRetryAfter  time.Duration // longest retry-after that a client follows; 0: refusals carry none
	RoughWeights   bool          // listed weights may be up to 50% too high or too low
	NoWeights      bool          // listed weights carry no information
	AskList        bool          // list changes are sent only after a Watch action
	ZoneFees       []float64     // fee of a message by the zone of a separate route
	ColdShare      float64       // fraction of its capacity that a destination has right after an outage; default 0.1
	WarmWithin     time.Duration // a destination has its full capacity this long after an outage; default 30 s
	OverloadFactor float64       // load, as a multiple of its capacity, above which a destination fails; default 1
	OverloadWindow time.Duration // time over which this load is measured; default 3 s
	OrderPause     time.Duration // pause of a key after an attempt that may still run
	FirstSkip      time.Duration // first skip of a failing route; default 2 s
	MaxSkip        time.Duration // longest skip of a failing route; default 10 s

	Order map[int][]string // by destination: routes in the order in which they are tried; unnamed routes come last
}

// Listing is one entry of the list of routes.
type Listing struct {
	Route       string
	Destination int
	Kind        int
	Zone        int
	Weight      float64 // capacity in calls a second from all senders together; 0: unknown
	InService   bool    // false: draining
	Gone        bool    // removed
}

// EventKind is what an Event reports.
type EventKind int

// The kinds of event.
const (
	Accepted           EventKind = iota // a message was accepted
	Finished                            // an attempt has its outcome
	Withdrawn                           // the client has disconnected
	ListWhole                           // the full list of routes
	ListChanges                         // changes to the list of routes
	ListFailed                          // a request for the list failed
	Woken                               // a requested wake is due
	Probed                              // a probe has its outcome
	Standby                             // the process is to drain its clients
	Active                              // clients may return: the drain ends
	Ending                              // the process is to end
	HandedOver                          // another process has taken over the decisions
	Configured                          // new settings apply from here on
	SuspicionsRestored                  // what the previous process knew of outages
)

// Report is what a destination reports of its rate limit. It is delayed and noisy.
type Report struct {
	Told  bool    // the destination has reported
	Left  float64 // fraction of the limit that is left
	Limit float64 // calls a second; 0: no limit
}

// Resumed is the history of a message from before the process that had accepted it ended. A call in flight at that time
// may have run.
type Resumed struct {
	Attempts   int           // sends used
	MayHaveRun bool          // an attempt may have run
	SentAgo    time.Duration // how long ago the first of them was sent
	SentZone   int           // the zone it was sent to
}

// Suspicion is a route that may be in an outage or recovering from one, as one process reports it to the next.
type Suspicion struct {
	Route         string
	Weak          bool          // suspected on one failure alone
	SinceDelivery time.Duration // time since the first delivery after the outage; 0: none yet
}

// RetryAdvice is the shortest retry-after of a refusal.
const RetryAdvice = minRetryAfter

// Event is one thing that a Sender observes.
type Event struct {
	Kind EventKind
	ID   uint32 // message

	Suspicions []Suspicion // of the previous process

	// Of a message that was accepted.
	Key         string
	Class       int
	Customer    int
	Destination int
	TimeLeft    time.Duration // time until the deadline
	Terms       *Class        // class under which it was accepted; nil: as the settings define Class
	Resumed     *Resumed      // accepted by a previous process; nil if new

	// Of the outcome of an attempt or a probe.
	Attempt    int // counts the sends of the message, from 0
	Route      string
	Outcome    Outcome
	Took       time.Duration
	Ended      bool          // the message has ended
	RetryAfter time.Duration // the retry-after received with the outcome; 0: none
	Report     Report

	List []Listing // the full list of routes, or changes to it

	Settings *Settings // new settings, validated
}

// ActionKind is what an Action requests.
type ActionKind int

// The kinds of action.
const (
	Send        ActionKind = iota // start an attempt
	Refuse                        // end the message; the client may safely send it again
	Fail                          // end the message; it may or may not have taken effect
	Wake                          // request a Woken event after Delay
	CloseIdle                     // close the idle connections to a route
	Watch                         // subscribe to list changes
	SetListener                   // set the state of the client side; until the first, it serves
)

// Action is one thing that a Sender decides.
type Action struct {
	Kind      ActionKind
	ID        uint32
	Route     string
	TimeoutAt time.Duration // Send: the attempt times out then
	LeaveBy   time.Duration // Send: the attempt must not be sent after this; 0: no limit
	Delay     time.Duration // Refuse: retry-after for the client; Wake: time from now
	Listener  ListenerState // new state of the client side
}
