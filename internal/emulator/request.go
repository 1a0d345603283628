package emulator

import (
	"fmt"
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
	headerStamp          = "X-Server-Stamp"
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

const (
	priorityDefault = 5
	priorityLowest  = 9
)

// HeaderError says which header of a request can't be used.
type HeaderError struct {
	Header string
	Found  string
}

// Error puts it on one line.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q can't be read", e.Header, e.Found)
}

// parseJob reads what the headers say of a request's work. Its deadline counts from now.
func parseJob(header http.Header, now time.Time) (Job, error) {
	job := Job{Model: header.Get(headerModel), Priority: priorityDefault}
	if text := header.Get(headerPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > priorityLowest {
			return Job{}, &HeaderError{Header: headerPriority, Found: text}
		}
		job.Priority = priority
	}
	if text := header.Get(headerDeadline); text != "" {
		wait, err := strconv.ParseFloat(text, 64)
		if err != nil || wait < 0 {
			return Job{}, &HeaderError{Header: headerDeadline, Found: text}
		}
		job.Deadline = now.Add(time.Duration(wait * float64(time.Millisecond)))
	}
	return job, nil
}

// parsePrompt reads the headers of a request for a model.
func parsePrompt(header http.Header, job *Job) error {
	usage := header.Get(headerTokenUsage)
	prompt, output, ok := parseUsage(usage)
	if !ok {
		return &HeaderError{Header: headerTokenUsage, Found: usage}
	}
	job.Output = output
	list := header.Get(headerPrefixHash)
	if list == "" {
		job.Parts = []Part{{ID: header.Get(headerRequestID), Tokens: prompt}}
		return nil
	}
	for item := range strings.SplitSeq(list, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if id == "" || err != nil || tokens < 0 {
			return &HeaderError{Header: headerPrefixHash, Found: list}
		}
		job.Parts = append(job.Parts, Part{ID: id, Tokens: tokens})
	}
	return nil
}

// parseUsage reads "prompt,output".
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

// parseLastEvent reads the number of the event after which a stream goes on; 0: it begins.
func parseLastEvent(header http.Header) (int, error) {
	text := header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, &HeaderError{Header: headerLastEventID, Found: text}
	}
	return number, nil
}
