package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of the protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerExpectInstance = "X-Expect-Instance"
	headerExpectVersion  = "Expect-Version"
	headerPriority       = "Priority"
	headerStamp          = "X-Server-Stamp"
	headerNotExecuted    = "X-Not-Executed"
	headerLastEventID    = "Last-Event-Id"
	headerPrefixHash     = "X-Prefix-Hash"
	headerTokenUsage     = "X-Token-Usage"
	headerVersions       = "Versions"
	headerRetryAfter     = "Retry-After"
	headerConnection     = "Connection"
	headerContentLength  = "Content-Length"
	headerContentType    = "Content-Type"
	headerDate           = "Date"
)

const eventStream = "text/event-stream"

// priorityLowest is the least urgent priority that an endpoint knows.
const priorityLowest = 9

// hopByHop tells of a header, in its canonical form, that concerns one connection alone.
func hopByHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return strings.HasPrefix(name, "Proxy-")
}

// namedByConnection tells whether the Connection header lists a name.
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

// protected tells of the headers that a Connection header can't take away: what is safe to do with a request or an answer
// depends on them.
func protected(name string) bool {
	switch name {
	case headerRequestID, headerDeadline, headerStamp, headerLastEventID, headerNotExecuted:
		return true
	}
	return false
}

// passed copies the headers that are passed on into out.
func passed(out, in http.Header) {
	for name, values := range in {
		if hopByHop(name) || name == headerContentLength {
			continue
		}
		if !protected(name) && len(in[headerConnection]) > 0 && namedByConnection(in, name) {
			continue
		}
		out[name] = values
	}
}

// deadlineOf is when the client's wait ends; false: it names no time.
func deadlineOf(header http.Header, arrived time.Time) (time.Time, bool) {
	value, err := strconv.ParseFloat(strings.TrimSpace(header.Get(headerDeadline)), 64)
	if err != nil || !(value >= 0 && value <= deadlineMostMs) {
		return time.Time{}, false
	}
	return arrived.Add(time.Duration(value * float64(time.Millisecond))), true
}

// deadlineMostMs bounds what a client may claim: a day.
const deadlineMostMs = 24 * 60 * 60 * 1000

// milliseconds writes a span as whole milliseconds, and at least one.
func milliseconds(span time.Duration) string {
	return strconv.FormatInt(max(1, span.Milliseconds()), 10)
}

// seconds writes a span as seconds with a fraction.
func seconds(span time.Duration) string {
	return strconv.FormatFloat(span.Seconds(), 'f', 3, 64)
}

// parseSeconds reads a Retry-After; zero: there is none that can be read.
func parseSeconds(text string) time.Duration {
	value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(value > 0 && value <= deadlineMostMs) {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}
