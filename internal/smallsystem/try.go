package smallsystem

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	triesMost   = 5
	leastPause  = 50 * time.Millisecond // before another try, where none is told
	excerptMost = 200                   // bytes of an answer that an error shows
)

// outcome is what became of one try.
type outcome struct {
	relay  string
	first  time.Time // of the first event, or of the answer
	fault  error     // nil: it was served
	refuse bool      // the answer promises that the request did not run
	wait   time.Duration
}

// serve sends a request, and sends it again as the protocol allows.
func (c *client) serve(ctx context.Context, request request) result {
	begun := time.Now()
	deadline := begun.Add(request.wait)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for repeats := 0; ; repeats++ {
		try := c.try(ctx, request, deadline)
		if try.fault == nil {
			return result{relay: try.relay, repeats: repeats, first: try.first.Sub(begun)}
		}
		pause := max(try.wait, leastPause)
		if !try.refuse && !request.again || repeats+1 == triesMost || time.Until(deadline) < 3*pause || !sleep(ctx, pause) {
			return result{repeats: repeats, fault: try.fault}
		}
	}
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// try sends a request once.
func (c *client) try(ctx context.Context, request request, deadline time.Time) outcome {
	address, err := c.relay(ctx)
	if err != nil {
		return outcome{fault: err, refuse: true} // it was not sent
	}
	name := c.names[address]
	id := fmt.Sprintf("%016x", rand.Uint64())
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+request.path, strings.NewReader("{}"))
	if err != nil {
		return outcome{fault: err}
	}
	outgoing.Host = host
	outgoing.Header.Set("X-Request-Id", id)
	outgoing.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	for header, value := range request.headers {
		outgoing.Header.Set(header, value)
	}
	response, err := c.http.Do(outgoing)
	if err != nil {
		return outcome{relay: name, fault: &AnswerError{Relay: name, Reason: err.Error()}}
	}
	defer response.Body.Close()
	try := judge(response, request, id, name)
	try.relay = name
	return try
}

// judge checks an answer whole.
func judge(response *http.Response, request request, id, relay string) outcome {
	fail := func(reason string) outcome {
		return outcome{fault: &AnswerError{Relay: relay, Status: response.StatusCode, Reason: reason}}
	}
	if response.StatusCode != http.StatusOK {
		excerpt, _ := io.ReadAll(io.LimitReader(response.Body, excerptMost)) // for the eye alone
		refused := fail(strings.TrimSpace(string(excerpt)))
		refused.refuse = response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
		refused.wait = retryAfter(response.Header)
		return refused
	}
	switch {
	case response.Header.Get("X-Server-Stamp") == "":
		return fail("a success without a stamp")
	case response.Header.Get("X-Request-Id") != id:
		return fail("an answer to another request")
	}
	if request.events > 0 {
		return judgeStream(response, request.events, fail)
	}
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil || size != registerAnswer {
		return fail(fmt.Sprintf("%d bytes of %d: %v", size, registerAnswer, err))
	}
	return outcome{first: time.Now()}
}

// judgeStream checks that all events come, in their order.
func judgeStream(response *http.Response, events int, fail func(string) outcome) outcome {
	var end outcome
	seen := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, isID := strings.CutPrefix(lines.Text(), "id: ")
		if !isID {
			continue
		}
		seen++
		if text != strconv.Itoa(seen) {
			return fail(fmt.Sprintf("event %s where %d was due", text, seen))
		}
		if seen == 1 {
			end.first = time.Now()
		}
	}
	if err := lines.Err(); err != nil {
		return fail(fmt.Sprintf("broken off after event %d: %v", seen, err))
	}
	if seen != events {
		return fail(fmt.Sprintf("ended as complete after event %d of %d", seen, events))
	}
	return end
}

// retryAfter is what a refusal says of the time to come back.
func retryAfter(header http.Header) time.Duration {
	wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(wait > 0) {
		return 0
	}
	return time.Duration(wait * float64(time.Second))
}
