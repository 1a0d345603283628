package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wallflow/policy"
)

// roundTripperFunc is an http.RoundTripper that answers without a socket.
type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// recordWatchCalls runs set.Senders watchers that start together against a fake discovery, in a synctest bubble, and returns
// when each of them called, from the start.
func recordWatchCalls(t *testing.T, settings policy.Settings, duration time.Duration, answer roundTripperFunc) [][]time.Duration {
	t.Helper()
	calls := make([][]time.Duration, settings.Senders)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		var all sync.WaitGroup
		for i := range calls {
			w := watcher{log: discardLogger(), addr: "discovery", timing: watchTimingFor(settings), onList: func(HostList) {}}
			w.maxStartPause = w.timing.startPause
			w.rng = rand.New(rand.NewPCG(uint64(i), 0))
			w.client = &http.Client{Transport: roundTripperFunc(func(req *http.Request) (*http.Response, error) {
				calls[i] = append(calls[i], time.Since(start))
				return answer(req)
			})}
			all.Go(func() { w.run(ctx, 0) })
		}
		all.Wait()
	})
	return calls
}

func newResponse(req *http.Request, status int, body io.Reader) (*http.Response, error) {
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(body), Request: req}, nil
}

// maxCallsPerSecond returns the largest number of calls in any full second.
func maxCallsPerSecond(calls [][]time.Duration) int {
	seconds := map[time.Duration]int{}
	highest := 0
	for _, each := range calls {
		for _, at := range each {
			seconds[at/time.Second]++
			highest = max(highest, seconds[at/time.Second])
		}
	}
	return highest
}

// 80 relays that start together must not call discovery together. Without a spread, calls that timed out were repeated
// together, and an overloaded discovery answered none of them for 20 s. The spread is limited by the time within which a
// change must arrive.
func TestManyRelaysSpreadTheirWatches(t *testing.T) {
	refuse := func(req *http.Request) (*http.Response, error) {
		select { // discovery keeps working on a call that has timed out
		case <-time.After(2 * time.Second):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
		return newResponse(req, http.StatusServiceUnavailable, strings.NewReader(""))
	}
	calls := recordWatchCalls(t, policy.Settings{Senders: 80, AskList: true}, time.Minute, refuse)
	if highest := maxCallsPerSecond(calls); highest > 40 { // 80 without any spread; 60 with pauses of up to 2 s
		t.Errorf("%d calls in one second", highest)
	}
	timing := watchTimingFor(policy.Settings{Senders: 80, AskList: true})
	for i, each := range calls {
		for n, at := range each {
			if n == 0 && at > timing.startPause || n > 0 && at-each[n-1] > timing.maxPause+timing.maxAnswerTimeout {
				t.Fatalf("relay %d called at %v: too late to learn of a drain", i, each)
			}
		}
		if len(each) < 12 {
			t.Errorf("relay %d called %d times in a minute", i, len(each))
		}
	}
}

// A small fleet, or relays whose local agent pushes the list, start watching without a long pause.
func TestFewRelaysWatchSoon(t *testing.T) {
	for name, set := range map[string]policy.Settings{
		"requested by 3": {Senders: 3, AskList: true}, "pushed to 80": {Senders: 80},
	} {
		calls := recordWatchCalls(t, set, 5*time.Second, func(req *http.Request) (*http.Response, error) {
			return newResponse(req, http.StatusServiceUnavailable, strings.NewReader(""))
		})
		for i, each := range calls {
			if len(each) == 0 || each[0] > 250*time.Millisecond {
				t.Errorf("%s: relay %d called at %v", name, i, each)
			}
		}
	}
}

// If discovery sends unreadable lists, the pauses between watches grow, even if each watch starts with a valid list.
func TestPausesGrowAfterUnreadableLists(t *testing.T) {
	body := `{"version":3,"full":true,"servers":[]}` + "\ninvalid\n"
	calls := recordWatchCalls(t, policy.Settings{Senders: 1}, time.Minute, func(req *http.Request) (*http.Response, error) {
		return newResponse(req, http.StatusOK, strings.NewReader(body))
	})
	if n := len(calls[0]); n < 60 || n > 250 {
		t.Errorf("%d calls in a minute", n)
	}
}

// After a watch that received data, the next one starts after a short pause, however many calls failed before.
func TestPausesResetAfterSuccessfulWatch(t *testing.T) {
	n := 0
	calls := recordWatchCalls(t, policy.Settings{Senders: 1}, time.Minute, func(req *http.Request) (*http.Response, error) {
		if n++; n != 20 {
			return newResponse(req, http.StatusServiceUnavailable, strings.NewReader(""))
		}
		r, w := io.Pipe()
		go func() {
			w.Write([]byte("\n"))
			time.Sleep(3 * time.Second)
			w.Close()
		}()
		return newResponse(req, http.StatusOK, r)
	})
	if after := calls[0][20] - calls[0][19]; after > 3*time.Second+watchTimingFor(policy.Settings{}).firstPause {
		t.Errorf("called again after %v", after)
	}
}
