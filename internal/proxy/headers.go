package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTP headers that the relay reads or sets.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"     // remaining time for the request in milliseconds
	headerExpectInstance = "X-Expect-Instance" // an endpoint with another instance id responds with 421
	headerExpectVersion  = "Expect-Version"    // version of the model weights that the response must come from
	headerPriority       = "Priority"
	headerStamp          = "X-Server-Stamp" // id of a run of a request; a success response without it is not trusted
	headerNotExecuted    = "X-Not-Executed" // proof of an endpoint that the request did not run
	headerLastEventID    = "Last-Event-Id"  // a stream is to begin after this event
	headerPrefixHash     = "X-Prefix-Hash"  // hashes and token counts of the parts of the prompt
	headerTokenUsage     = "X-Token-Usage"  // token counts of prompt and response
	headerVersions       = "Versions"       // version of the model weights behind a response
	headerRetryAfter     = "Retry-After"
	headerConnection     = "Connection"
	headerContentLength  = "Content-Length"
	headerContentType    = "Content-Type"
	headerDate           = "Date"
)

const eventStream = "text/event-stream"

// lowestPriority is the largest, least urgent value of the Priority header that endpoints accept.
const lowestPriority = 9

// hopByHop reports whether a header, in its canonical form, applies to a single connection and is not forwarded.
func hopByHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// namedByConnection reports whether the Connection header lists a name.
func namedByConnection(header http.Header, name string) bool {
	for _, value := range header[headerConnection] {
		for token := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// requiredHeader reports whether a header is forwarded even if the Connection header lists it: whether a request may be sent again,
// or a response forwarded, depends on these.
func requiredHeader(name string) bool {
	switch name {
	case headerRequestID, headerDeadline, headerStamp, headerLastEventID, headerNotExecuted:
		return true
	}
	return false
}

// copyForwardedHeaders copies the headers that are to be forwarded from src to dst.
func copyForwardedHeaders(dst, src http.Header) {
	for name, values := range src {
		if hopByHop(name) || name == headerContentLength {
			continue
		}
		if !requiredHeader(name) && len(src[headerConnection]) > 0 && namedByConnection(src, name) {
			continue
		}
		dst[name] = values
	}
}

// clientDeadline returns the deadline that the client has set. It returns false if there is none or it is invalid.
func clientDeadline(header http.Header, arrived time.Time) (time.Time, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(header.Get(headerDeadline)), 64)
	if err != nil || !(value >= 0 && value <= maxDeadlineMs) {
		return time.Time{}, false
	}
	return arrived.Add(time.Duration(value * float64(time.Millisecond))), true
}

// maxDeadlineMs bounds the deadline that a client may set: one day, in milliseconds.
const maxDeadlineMs = 24 * 60 * 60 * 1000

// formatMilliseconds formats a duration as whole milliseconds, at least 1.
func formatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(1, duration.Milliseconds()), 10)
}

// formatSeconds formats a duration as seconds with three decimals.
func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}

// parseSeconds parses a Retry-After header, which may have a fraction. It returns 0 if there is none or it is invalid.
func parseSeconds(text string) time.Duration {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(value > 0 && value <= maxDeadlineMs) {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}
