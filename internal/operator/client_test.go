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

// process stands in for a control process.
type process struct {
	*httptest.Server
	mu    sync.Mutex
	calls []string
}

func newProcess(t *testing.T, answer http.HandlerFunc) *process {
	t.Helper()
	p := &process{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		p.mu.Lock()
		p.calls = append(p.calls, fmt.Sprintf("%s %s match=%s %s", r.Method, r.URL.Path, r.Header.Get("If-Match"), body))
		p.mu.Unlock()
		answer(w, r)
	}))
	t.Cleanup(p.Close)
	return p
}

func (p *process) seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func answering(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

func clientOf(t *testing.T, processes ...*process) *operator.Client {
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

func TestAnOrderGoesToTheNextProcessUnchanged(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError} {
		first := newProcess(t, answering(status, `{"error":"not now"}`))
		second := newProcess(t, answering(http.StatusOK, "{}"))
		client := clientOf(t, first, second)
		assert.NilError(t, client.PutConfig(t.Context(), []byte(`{"generation":7}`), 5))
		want := []string{`PUT /config match=5 {"generation":7}`}
		assert.DeepEqual(t, first.seen(), want)
		assert.DeepEqual(t, second.seen(), want)
	}
}

func TestAProcessThatIsGoneIsPassedOver(t *testing.T) {
	gone := newProcess(t, answering(http.StatusOK, "{}"))
	there := newProcess(t, answering(http.StatusOK, "{}"))
	client := clientOf(t, gone, there)
	gone.Close()
	assert.NilError(t, client.Evacuate(t.Context(), "hall a"))
	assert.DeepEqual(t, there.seen(), []string{"POST /drain/hall a match= "})
	assert.NilError(t, client.Restore(t.Context(), "hall-a"))
	assert.DeepEqual(t, there.seen()[1:], []string{"DELETE /drain/hall-a match= "})
}

func TestARefusalIsFinal(t *testing.T) {
	for _, status := range []int{400, 404, 409, 412, 413, 422} {
		first := newProcess(t, answering(status, `{"error":"/generation: 1: must be above 2"}`))
		second := newProcess(t, answering(http.StatusOK, "{}"))
		err := clientOf(t, first, second).PatchConfig(t.Context(), []byte("{}"), 0)
		var refused *operator.RefusedError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Status, status)
		assert.Equal(t, refused.Reason, "/generation: 1: must be above 2")
		assert.DeepEqual(t, first.seen(), []string{"PATCH /config match=0 {}"})
		assert.Equal(t, len(second.seen()), 0)
	}
}

func TestAnOrderWithoutAnAnswerIsSaidToBeUnclear(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	silent := newProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	err := clientOf(t, silent).Evacuate(ctx, "z")
	var unclear *operator.UnclearError
	assert.Assert(t, errors.As(err, &unclear), "%v", err)
	assert.Assert(t, unclear.Order)
	assert.ErrorContains(t, err, "may have been taken")
}

func TestARedirectIsFollowedWithTheBody(t *testing.T) {
	var target *process
	first := newProcess(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, target.URL+r.URL.Path, http.StatusTemporaryRedirect)
	})
	target = newProcess(t, answering(http.StatusOK, "{}"))
	assert.NilError(t, clientOf(t, first).PutConfig(t.Context(), []byte("body"), 3))
	assert.DeepEqual(t, target.seen(), []string{"PUT /config match=3 body"})
}

func TestTheNewestVersionIsAskedOfOneInTouch(t *testing.T) {
	status := func(fresh bool, generation uint64) http.HandlerFunc {
		text, err := json.Marshal(operator.Status{Fresh: fresh, Generation: generation})
		assert.NilError(t, err)
		return answering(http.StatusOK, string(text))
	}
	alone := newProcess(t, status(false, 4))
	inTouch := newProcess(t, status(true, 9))
	generation, err := clientOf(t, alone, inTouch).Generation(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, generation, uint64(9))
}

func TestAClientWantsAnAddress(t *testing.T) {
	_, err := operator.New([]string{""}, nil)
	assert.Assert(t, errors.Is(err, operator.ErrNoAddress))
}

func ExampleClient_Config() {
	server := httptest.NewServer(answering(http.StatusOK, `{"generation":7}`))
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
