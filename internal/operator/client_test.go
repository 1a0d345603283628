package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/operator"
)

// fakeControl is a fake control process that records the requests that it receives.
type fakeControl struct {
	*httptest.Server
	mu       sync.Mutex
	received []string
}

func newFakeControl(t *testing.T, handler http.HandlerFunc) *fakeControl {
	t.Helper()
	p := &fakeControl{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		p.mu.Lock()
		p.received = append(p.received, fmt.Sprintf("%s %s match=%s %s", r.Method, r.URL.Path, r.Header.Get("If-Match"), body))
		p.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(p.Close)
	return p
}

func (p *fakeControl) receivedRequests() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received
}

// respondWith returns a handler that always sends the same response.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func newClient(t *testing.T, processes ...*fakeControl) *operator.Client {
	t.Helper()
	var addresses []string
	for _, process := range processes {
		addresses = append(addresses, strings.TrimPrefix(process.URL, "http://"))
	}
	client, err := operator.New(addresses, nil)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return client
}

func TestOrderIsResentUnchangedToNextProcess(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests,
		http.StatusInternalServerError} {
		first := newFakeControl(t, respondWith(status, `{"error":"not now"}`))
		second := newFakeControl(t, respondWith(http.StatusOK, "{}"))
		client := newClient(t, first, second)
		assert.NilError(t, client.PutConfig(t.Context(), []byte(`{"generation":7}`), 5))
		want := []string{`PUT /config match=5 {"generation":7}`}
		assert.DeepEqual(t, first.receivedRequests(), want)
		assert.DeepEqual(t, second.receivedRequests(), want)
	}
}

func TestUnreachableProcessIsSkipped(t *testing.T) {
	closed := newFakeControl(t, respondWith(http.StatusOK, "{}"))
	running := newFakeControl(t, respondWith(http.StatusOK, "{}"))
	client := newClient(t, closed, running)
	closed.Close()
	assert.NilError(t, client.Evacuate(t.Context(), "hall a"))
	assert.DeepEqual(t, running.receivedRequests(), []string{"POST /drain/hall a match= "})
	assert.NilError(t, client.Restore(t.Context(), "hall-a"))
	assert.DeepEqual(t, running.receivedRequests()[1:], []string{"DELETE /drain/hall-a match= "})
}

func TestClientErrorIsFinal(t *testing.T) {
	for _, status := range []int{400, 404, 409, 412, 413, 422} {
		first := newFakeControl(t, respondWith(status, `{"error":"/generation: 1: must be above 2"}`))
		second := newFakeControl(t, respondWith(http.StatusOK, "{}"))
		err := newClient(t, first, second).PatchConfig(t.Context(), []byte("{}"), 0)
		var refused *operator.RefusedError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Status, status)
		assert.Equal(t, refused.Reason, "/generation: 1: must be above 2")
		assert.DeepEqual(t, first.receivedRequests(), []string{"PATCH /config match=0 {}"})
		assert.Equal(t, len(second.receivedRequests()), 0)
	}
}

func TestUnansweredOrderIsInconclusive(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	unavailable := newFakeControl(t, func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	err := newClient(t, unavailable).Evacuate(ctx, "z")
	var inconclusive *operator.InconclusiveError
	assert.Assert(t, errors.As(err, &inconclusive), "%v", err)
	assert.Assert(t, inconclusive.IsOrder)
	assert.ErrorContains(t, err, "may have been taken")
}

func TestRedirectKeepsBody(t *testing.T) {
	var target *fakeControl
	first := newFakeControl(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, target.URL+r.URL.Path, http.StatusTemporaryRedirect)
	})
	target = newFakeControl(t, respondWith(http.StatusOK, "{}"))
	assert.NilError(t, newClient(t, first).PutConfig(t.Context(), []byte("body"), 3))
	assert.DeepEqual(t, target.receivedRequests(), []string{"PUT /config match=3 body"})
}

func TestGenerationIsReadFromFreshProcess(t *testing.T) {
	status := func(fresh bool, generation uint64) http.HandlerFunc {
		text, err := json.Marshal(operator.Status{Fresh: fresh, Generation: generation})
		assert.NilError(t, err)
		return respondWith(http.StatusOK, string(text))
	}
	isolated := newFakeControl(t, status(false, 4))
	connected := newFakeControl(t, status(true, 9))
	generation, err := newClient(t, isolated, connected).Generation(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, generation, uint64(9))
}

func TestNewRequiresAddress(t *testing.T) {
	_, err := operator.New([]string{""}, nil)
	assert.Assert(t, errors.Is(err, operator.ErrNoAddress))
}

func ExampleClient_Config() {
	server := httptest.NewServer(respondWith(http.StatusOK, `{"generation":7}`))
	defer server.Close()
	client, err := operator.New([]string{strings.TrimPrefix(server.URL, "http://")}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	document, err := client.Config(context.Background())
	fmt.Println(string(document), err)
	// Output: {"generation":7} <nil>
}
