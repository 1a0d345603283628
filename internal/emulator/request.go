package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTP headers of the protocol between relays and endpoints.
const (
	headerRequestID      = "X-Request-Id"
	headerDeadline       = "X-Deadline-Ms"
	headerExpectInstance = "X-Expect-Instance"
	headerExpectVersion  = "Expect-Version"
	headerServerStamp    = "X-Server-Stamp"
	headerNotExecuted    = "X-Not-Executed"
	headerInstanceID     = "X-Instance-Id"
	headerWarmup         = "X-Warmup-Ms"
	headerVersions       = "Versions"
	headerPriority       = "Priority"
	headerModel          = "X-Model"
	headerTokenUsage     = "X-Token-Usage"
	headerPrefixHash     = "X-Prefix-Hash"
	headerLastEventID    = "Last-Event-Id"
)

// Priorities range from 0, the most urgent, to priorityLowest.
const (
	priorityDefault = 5
	priorityLowest  = 9
)

// HeaderError reports a request header with an invalid value.
type HeaderError struct {
	Header string
	Value  string
}

// Error returns the message, which is sent to the client.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q can't be read", e.Header, e.Value)
}

// parseJob parses the headers that every kind of request may have. The deadline header is relative to now.
func parseJob(header http.Header, now time.Time) (Job, error) {
	job := Job{Model: header.Get(headerModel), Priority: priorityDefault}
	if text := header.Get(headerPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > priorityLowest {
			return Job{}, &HeaderError{Header: headerPriority, Value: text}
		}
		job.Priority = priority
	}
	if text := header.Get(headerDeadline); text != "" {
		milliseconds, err := strconv.ParseFloat(text, 64)
		if err != nil || milliseconds < 0 {
			return Job{}, &HeaderError{Header: headerDeadline, Value: text}
		}
		job.Deadline = now.Add(time.Duration(milliseconds * float64(time.Millisecond)))
	}
	return job, nil
}

// parsePrompt parses the headers that describe the prompt and the output of a request for an engine. Without a prefix-hash header the
// prompt is one part that is shared with no other request.
func parsePrompt(header http.Header, job *Job) error {
	usage := header.Get(headerTokenUsage)
	prompt, output, ok := parseUsage(usage)
	if !ok {
		return &HeaderError{Header: headerTokenUsage, Value: usage}
	}
	job.Output = output
	hashes := header.Get(headerPrefixHash)
	if hashes == "" {
		job.Parts = []Part{{ID: header.Get(headerRequestID), Tokens: prompt}}
		return nil
	}
	for item := range strings.SplitSeq(hashes, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens < 0 {
			return &HeaderError{Header: headerPrefixHash, Value: hashes}
		}
		job.Parts = append(job.Parts, Part{ID: id, Tokens: tokens})
	}
	return nil
}

// parseUsage parses "prompt,output", two numbers of tokens.
func parseUsage(text string) (prompt, output int, ok bool) {
	first, second, found := strings.Cut(text, ",")
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || !found || prompt < 0 {
		return 0, 0, false
	}
	output, err = strconv.Atoi(strings.TrimSpace(second))
	if err != nil || output < 1 {
		return 0, 0, false
	}
	return prompt, output, true
}

// parseLastEventID returns the number of the last event that the client has received; 0: none, the stream starts from the beginning.
func parseLastEventID(header http.Header) (int, error) {
	text := header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, &HeaderError{Header: headerLastEventID, Value: text}
	}
	return number, nil
}
