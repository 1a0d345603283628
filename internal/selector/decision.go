package selector

import (
	"time"

	"wallflow/internal/registry"
)

// DecisionKind says what happens next to a request.
type DecisionKind uint8

// The kinds of decision.
const (
	Send   DecisionKind = iota + 1 // send the request to Instance and report back with FirstByte and Done
	Wait                           // call Choose again at Until, or when woken
	Refuse                         // the request did not run and never will: answer 503 with RetryAfter
	Fail                           // the request may have run, or can't be answered any more: answer 502 or 504
)

// String names the kind.
func (k DecisionKind) String() string {
	switch k {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	case Fail:
		return "fail"
	}
	return "none"
}

// Reason says why a request was not sent.
type Reason string

// The reasons of decisions that are not Send.
const (
	ReasonDeadline   Reason = "deadline"     // no time is left
	ReasonMayHaveRun Reason = "may have run" // the request may have run and must not run again
	ReasonBudget     Reason = "retry budget" // the retry budget allows no further attempt
	ReasonAttempts   Reason = "attempts"     // enough endpoints were tried
	ReasonSkipped    Reason = "all skipped"  // all endpoints are skipped, cold, or at their pacing rate
	ReasonNoEndpoint Reason = "no endpoint"  // no endpoint may serve the request
	ReasonOverload   Reason = "overload"     // no endpoint has capacity for the request
	ReasonNoService  Reason = "no service"   // the route of the request names no configured service
)

// Decision is the result of Choose. The comment at a field names the kinds of decision that set it.
type Decision struct {
	Kind     DecisionKind
	Instance registry.Instance // Send
	Attempt  *Attempt          // Send
	Forecast Forecast          // Send: the estimate for the attempt
	// GiveUpAt is when to give the attempt up as timed out (Send).
	GiveUpAt   time.Time
	Until      time.Time     // Wait
	RetryAfter time.Duration // Refuse
	Reason     Reason
	// Forced is set if the endpoint was chosen as a last resort: its pacing rate is exceeded, or its heartbeats have
	// stopped.
	Forced bool
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	request          *Request
	endpoint         *endpoint
	sentAt           time.Time
	estimate         estimate
	endpointRequests float64   // estimate of the requests of all relays at the endpoint, when sent
	ranked           bool      // the endpoint was in the ranking of the prompt prefix
	forced           bool      // the endpoint was chosen as a last resort
	firstByteAt      time.Time // zero: none has come
	queued           bool      // all slots of the endpoint were in use when it was sent
	done             bool      // its outcome was recorded
	listed           bool      // in the list of unanswered attempts

	previous, next *Attempt // in the list of unanswered attempts of the endpoint, in the order of sending
}

// expectedFirstByte is the expected time to the first byte.
func (a *Attempt) expectedFirstByte() time.Duration { return fromMs(a.estimate.firstByteMs()) }

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

// The kinds of outcome.
const (
	Success       OutcomeKind = iota + 1 // a complete answer that is no failure
	Full                                 // 503 or 429 with X-Not-Executed
	NotExecuted                          // another answer that declines the request, such as one with X-Not-Executed
	Misdirected                          // 421: another instance now has the endpoint's address
	ConnectFailed                        // nothing was sent
	Reset                                // the connection broke, or the answer was incomplete or malformed
	TimedOut                             // given up at GiveUpAt
	EndpointError                        // the endpoint answered with an error of its own; counts as run
	ClientGone                           // the client disconnected; says nothing about the endpoint
)

// Outcome is how an attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// MayHaveRun is set if the endpoint may have started to work on the request.
	MayHaveRun bool
	RetryAfter time.Duration // with Full: the wait that the endpoint asks for; zero: none
}

// EngineReport is an endpoint's report of its own load. It is some hundred milliseconds old when it is received.
type EngineReport struct {
	Phase   string // as the endpoint names it
	Queued  int    // requests
	Running int    // requests
	KVUsed  int64  // tokens of running requests, which can't be evicted
	KVTotal int64  // capacity in tokens
}
