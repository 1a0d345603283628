package selector

import (
	"strconv"
	"strings"
	"time"

	"wallflow/internal/config"
)

// PromptPart is one part of a prompt. Parts with the same ID have the same text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Waiter is notified when a waiting request should call Choose again.
type Waiter interface {
	// Wake has the request call Choose again soon. It must not block and must not call the Selector.
	Wake()
}

// Request is one try of a client; if the client tries again, that is another Request. The caller fills in the public
// fields, and passes the same Request to all calls of Choose for it.
type Request struct {
	Route     *config.Route
	ID        string
	Parts     []PromptPart // in order; the last is specific to the request or its session
	TokensIn  int          // tokens of the prompt
	TokensOut int          // maximum tokens of the answer
	BodyBytes int
	Arrived   time.Time
	Deadline  time.Time // the earlier of the client's deadline and the route's timeout
	Waiter    Waiter    // may be nil: the caller then calls Choose again at Decision.Until only

	initialized  bool // see initRequest
	noAffinity   bool // endpoints are not ranked by the prompt prefix
	plan         *routePlan
	serviceIndex int         // index in plan.services of the service drawn
	avoidances   []avoidance // endpoints that it was sent to
	offered      bool        // the request was sent to an endpoint at least once
	arrivals     int         // attempts that reached an endpoint
	runs         int         // attempts that may have run
	waiting      bool        // the last decision was Wait, and the request was not woken since
	listed       bool        // in the list of waiting requests of its service, perhaps no longer waiting
}

// avoidance is an endpoint that the request was sent to, and until when the request avoids it.
type avoidance struct {
	endpoint *endpoint
	until    time.Time
}

const (
	maxParts = 64 // of a prompt
	// maxTokens bounds the token counts accepted from a header.
	maxTokens = 1 << 24
)

// ParsePrompt parses the X-Prefix-Hash header (ID:TOKENS, separated by commas, the ID in hex) and the X-Token-Usage
// header (tokens of the prompt, and maximum tokens of the answer). What can't be parsed is left out.
func ParsePrompt(prefixHash, tokenUsage string) (parts []PromptPart, tokensIn, tokensOut int) {
	parts = parseParts(prefixHash)
	in, out, _ := strings.Cut(tokenUsage, ",")
	tokensIn, tokensOut = parseTokens(in), parseTokens(out)
	if tokensIn == 0 {
		for _, part := range parts {
			tokensIn += part.Tokens
		}
	}
	return parts, tokensIn, tokensOut
}

// parseParts parses the X-Prefix-Hash header, up to the first part that can't be parsed.
func parseParts(header string) []PromptPart {
	if header == "" {
		return nil
	}
	parts := make([]PromptPart, 0, min(maxParts, strings.Count(header, ",")+1))
	for len(parts) < maxParts {
		item, rest, more := strings.Cut(header, ",")
		name, tokens, _ := strings.Cut(strings.TrimSpace(item), ":")
		id, err := strconv.ParseUint(name, 16, 64)
		if err != nil {
			return parts // a part counts only if all parts before it do
		}
		parts = append(parts, PromptPart{ID: id, Tokens: parseTokens(tokens)})
		if !more {
			return parts
		}
		header = rest
	}
	return parts
}

// parseTokens parses a token count; what can't be parsed counts as 0.
func parseTokens(text string) int {
	tokens, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || tokens < 0 {
		return 0
	}
	return min(tokens, maxTokens)
}

// timeLeft is the time until the request must have its final answer.
func (r *Request) timeLeft(now time.Time) time.Duration {
	return r.Deadline.Add(-deadlineMargin).Sub(now)
}

// targetLeft is the time until an answer misses the route's target latency.
func (r *Request) targetLeft(now time.Time) time.Duration {
	return r.Arrived.Add(r.Route.Target()).Sub(now)
}

// offerDeadline is the time by which the request must have been offered to an endpoint. After it the request is sent
// even beyond pacing rates, and no longer refused for overload.
func (r *Request) offerDeadline() time.Time {
	return r.Arrived.Add(r.Route.Target() / offerTargetDivisor)
}

// mayRunAgain reports whether one more attempt may be made, given what the previous attempts have run.
func (r *Request) mayRunAgain() bool {
	if r.runs == 0 {
		return true
	}
	return r.Route.Idempotent() && r.runs < r.Route.Retries
}

// isBound reports whether the request may be served only in its route's home regions.
func (r *Request) isBound() bool { return len(r.Route.HomeRegions) > 0 }

// totalTokens is how many tokens of memory the request needs in an engine.
func (r *Request) totalTokens() int { return r.TokensIn + r.TokensOut }

// avoid records that an endpoint is not tried again before a time.
func (r *Request) avoid(endpoint *endpoint, until time.Time) {
	r.avoidances = append(r.avoidances, avoidance{endpoint: endpoint, until: until})
}

// avoidedUntil returns until when the request avoids an endpoint; the zero time if it does not.
func (r *Request) avoidedUntil(endpoint *endpoint) time.Time {
	var until time.Time
	for _, avoided := range r.avoidances {
		if avoided.endpoint == endpoint && avoided.until.After(until) {
			until = avoided.until
		}
	}
	return until
}
