package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/logfile"
	"wallflow/internal/operator"
)

const wholeConfig = `{"generation":3,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"safe","timeoutMs":1000,"backend":"b"}],"backends":[{"name":"b"}]}`

// controlAPI stands in for a control process: it keeps what it was told and answers as it is set.
type controlAPI struct {
	*httptest.Server
	mu     sync.Mutex
	calls  []string
	status operator.Status
	config string
	refuse int // status of its answers to orders; 0: it takes them
}

func newControlAPI(t *testing.T) *controlAPI {
	t.Helper()
	c := &controlAPI{config: wholeConfig, status: wellStatus()}
	c.Server = httptest.NewServer(c)
	t.Cleanup(c.Close)
	return c
}

// wellStatus is the status of a system with which all is well.
func wellStatus() operator.Status {
	return operator.Status{
		Node: "core-1", Identity: "0123456789abcdef", Role: "head", Fresh: true, Generation: 3, Position: 5, Committed: 5,
		View: operator.View{Epoch: 2, Voters: []string{"core-1", "core-2"}, Chain: []string{"core-2", "core-1"}},
		Members: []operator.Member{
			{Name: "core-2", Role: "control", Status: "alive", Serving: true},
			{Name: "core-1", Role: "control", Status: "alive", Serving: true},
			{Name: "relay-1", Role: "proxy", Zone: "z", Status: "alive", Serving: true, Front: "10.0.0.1:1"},
		},
		Services: []operator.Service{{Name: "b", Ready: 4, Cold: 1, Draining: 2}},
	}
}

func (c *controlAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/status":
		json.NewEncoder(w).Encode(c.status)
		return
	case r.Method == http.MethodGet && r.URL.Path == "/config":
		io.WriteString(w, c.config)
		return
	}
	c.calls = append(c.calls, fmt.Sprintf("%s %s match=%s %s", r.Method, r.URL.Path, r.Header.Get("If-Match"), body))
	if c.refuse != 0 {
		w.WriteHeader(c.refuse)
		io.WriteString(w, `{"error":"/generation: 3: must be above 3"}`)
		return
	}
	io.WriteString(w, "{}")
}

// took returns and forgets the orders that it got.
func (c *controlAPI) took() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	c.calls = nil
	return calls
}

func (c *controlAPI) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// say runs a command against the stand-in.
func (c *controlAPI) say(args ...string) (out, errOut string, code int) {
	var o, e strings.Builder
	code = run(append(args, "--control", strings.TrimPrefix(c.URL, "http://")), nil, &o, &e)
	return o.String(), e.String(), code
}

func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestOrdersOfTheOperator(t *testing.T) {
	api := newControlAPI(t)
	next := strings.Replace(wholeConfig, `"generation":3`, `"generation":4`, 1)
	nextFile, sameFile, patchFile := file(t, "next.json", next), file(t, "same.json", wholeConfig), file(t, "patch.json", `{"generation":5}`)
	for _, c := range []struct {
		args []string
		want string   // in what it says
		call []string // that it made
	}{
		{[]string{"config", "get"}, wholeConfig, nil},
		{[]string{"config", "put", nextFile}, "version 4 is in force, on top of 3", []string{"PUT /config match=3 " + next}},
		{[]string{"config", "put", nextFile, "--match", "0"}, "version 4 is in force, on top of 0", []string{"PUT /config match=0 " + next}},
		{[]string{"config", "put", sameFile}, "version 3 is in force already", nil},
		{[]string{"config", "put", sameFile, "--match", "2"}, "version 3 is in force, on top of 2", []string{"PUT /config match=2 " + wholeConfig}},
		{[]string{"config", "patch", patchFile}, "the change of version 3 is in force", []string{`PATCH /config match=3 {"generation":5}`}},
		{[]string{"config", "patch", patchFile, "--match", "9"}, "the change of version 9 is in force", []string{`PATCH /config match=9 {"generation":5}`}},
		{[]string{"evacuate", "hall-a"}, "hall-a is evacuated", []string{"POST /drain/hall-a match= "}},
		{[]string{"restore", "hall-a"}, "hall-a is taken back", []string{"DELETE /drain/hall-a match= "}},
	} {
		out, errOut, code := api.say(c.args...)
		assert.Equal(t, code, exitHeld, "%v: %s", c.args, errOut)
		assert.Assert(t, strings.Contains(out, c.want), "%v: %s", c.args, out)
		assert.DeepEqual(t, api.took(), c.call)
	}
}

func TestARefusedOrderIsTold(t *testing.T) {
	api := newControlAPI(t)
	api.set(func() { api.refuse = http.StatusPreconditionFailed })
	next := file(t, "next.json", strings.Replace(wholeConfig, `"generation":3`, `"generation":4`, 1))
	for _, args := range [][]string{{"config", "put", next}, {"config", "patch", next}, {"evacuate", "z"}, {"restore", "z"}} {
		out, errOut, code := api.say(args...)
		assert.Equal(t, code, exitWrong, "%v", args)
		assert.Equal(t, out, "", "%v", args)
		assert.Assert(t, strings.Contains(errOut, "412 Precondition Failed: /generation: 3: must be above 3"), "%v: %s", args, errOut)
		assert.Equal(t, len(api.took()), 1, "%v", args)
	}
}

func TestAnInvalidConfigurationIsNotSent(t *testing.T) {
	api := newControlAPI(t)
	for _, c := range []struct{ text, want string }{
		{strings.Replace(wholeConfig, `"timeoutMs":1000`, `"timeoutMs":0`, 1), "/routes/0/timeoutMs: 0"},
		{strings.Replace(wholeConfig, `"backend":"b"`, `"backend":"c"`, 1), "/routes/0/backend"},
		{wholeConfig[:40], "configuration"},
	} {
		path := file(t, "bad.json", c.text)
		for _, args := range [][]string{{"config", "put", path}, {"config", "check", path}} {
			var out, errOut string
			var code int
			if args[1] == "put" {
				out, errOut, code = api.say(args...)
			} else {
				out, errOut, code = say(args...)
			}
			assert.Equal(t, code, exitWrong, "%v: %s", args, out)
			assert.Assert(t, strings.Contains(errOut, path) && strings.Contains(errOut, c.want), "%v: %s", args, errOut)
		}
	}
	assert.Equal(t, len(api.took()), 0)
}

// say runs a command that asks nobody.
func say(args ...string) (out, errOut string, code int) {
	var o, e strings.Builder
	code = run(args, nil, &o, &e)
	return o.String(), e.String(), code
}

func TestACheckOfAConfigurationAndOfAChange(t *testing.T) {
	whole := file(t, "whole.json", wholeConfig)
	out, _, code := say("config", "check", whole)
	assert.Equal(t, code, exitHeld)
	assert.Assert(t, strings.HasSuffix(out, "whole.json: sound: version 3, 1 routes, 1 services\n"), out)
	good := file(t, "good.json", `{"generation":4,"upsert":{"backends":[{"name":"c"}]}}`)
	out, errOut, code := say("config", "check", good, "--on", whole)
	assert.Equal(t, code, exitHeld, errOut)
	assert.Assert(t, strings.Contains(out, "version 4, 1 routes, 2 services"), out)
	bad := file(t, "bad.json", `{"generation":4,"delete":{"backends":["b"]}}`)
	_, errOut, code = say("config", "check", bad, "--on", whole)
	assert.Equal(t, code, exitWrong)
	assert.Assert(t, strings.Contains(errOut, "/routes/0/backend"), errOut)
	old := file(t, "old.json", `{"generation":3}`)
	_, errOut, code = say("config", "check", old, "--on", whole)
	assert.Equal(t, code, exitWrong)
	assert.Assert(t, strings.Contains(errOut, "/generation: 3: must be above 3"), errOut)
}

func TestAStatusShowsTheSystem(t *testing.T) {
	api := newControlAPI(t)
	out, errOut, code := api.say("status")
	assert.Equal(t, code, exitHeld, errOut)
	for _, want := range []string{"version 3; evacuated: no zone", "view 2: core-2 > core-1; voters core-1, core-2", "relay-1  proxy", "10.0.0.1:1", "b        4      1     2"} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in:\n%s", want, out)
	}
	out, _, code = api.say("status", "--json")
	assert.Equal(t, code, exitHeld)
	var system systemStatus
	assert.NilError(t, json.Unmarshal([]byte(out), &system))
	assert.DeepEqual(t, *system.Control[0].Status, wellStatus())
}

func TestAStatusNamesWhatIsNotAsItShouldBe(t *testing.T) {
	for want, spoil := range map[string]func(*operator.Status){
		"core-1 is out of touch":             func(s *operator.Status) { s.Fresh = false },
		"can't write to its disk":            func(s *operator.Status) { s.Failed = true },
		"a disk that does not keep up":       func(s *operator.Status) { s.Impaired = true },
		"the chain has 1 members":            func(s *operator.Status) { s.View.Chain = s.View.Chain[:1] },
		"no configuration has been taken":    func(s *operator.Status) { s.Generation = 0 },
		"voter core-3 is gone":               func(s *operator.Status) { s.View.Voters = append(s.View.Voters, "core-3") },
		"relay-1 is suspect":                 func(s *operator.Status) { s.Members[2].Status = "suspect" },
		"relay relay-1 is not ready":         func(s *operator.Status) { s.Members[2].Serving = false },
		"service b has no endpoint":          func(s *operator.Status) { s.Services[0].Ready = 0 },
		"127.0.0.1:1 does not answer: 127.0": func(s *operator.Status) { s.Members[2].Control = "127.0.0.1:1" },
	} {
		api := newControlAPI(t)
		api.set(func() { spoil(&api.status) })
		out, errOut, code := api.say("status")
		assert.Equal(t, code, exitBroken, "%s: %s", want, errOut)
		assert.Assert(t, strings.Contains(out, want), "%q is missing in:\n%s", want, out)
	}
	_, errOut, code := say("status", "--control", "127.0.0.1:1")
	assert.Equal(t, code, exitWrong)
	assert.Assert(t, strings.Contains(errOut, "no control process answers"), errOut)
	_, errOut, code = say("status", "--control", "")
	assert.Equal(t, code, exitWrong)
	assert.Assert(t, strings.Contains(errOut, "no control process is named"), errOut)
}

// store writes a store of three batches, and returns its folder and the path of its file.
func store(t *testing.T) (dir, path string) {
	t.Helper()
	dir = t.TempDir()
	log, _, report, err := logfile.Open(dir, logfile.Limits{})
	assert.NilError(t, err)
	for range 3 {
		assert.NilError(t, log.Append([]logfile.Record{{Type: 1, Payload: []byte("payload")}}))
	}
	assert.NilError(t, log.Close())
	return dir, report.Path
}

func TestAStoreIsVerified(t *testing.T) {
	dir, path := store(t)
	out, errOut, code := say("verify", dir)
	assert.Equal(t, code, exitHeld, errOut)
	assert.Assert(t, strings.Contains(out, "sound, 3 records"), out)

	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, whole[:len(whole)-2], 0o600))
	out, _, code = say("verify", dir)
	assert.Equal(t, code, exitHeld)
	assert.Assert(t, strings.Contains(out, "sound, 2 records") && strings.Contains(out, "a torn tail begins"), out)

	spoilt := append([]byte(nil), whole...)
	spoilt[len(spoilt)/3] ^= 1
	assert.NilError(t, os.WriteFile(path, spoilt, 0o600))
	out, _, code = say("verify", dir, "--json")
	assert.Equal(t, code, exitBroken)
	var report storeReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Assert(t, !report.Sound && report.Damage != "", out)
	left, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, left, spoilt)

	_, errOut, code = say("verify", filepath.Join(dir, "none"))
	assert.Equal(t, code, exitWrong)
	assert.Assert(t, strings.Contains(errOut, "no such store"), errOut)
}

func TestWrongUseOfOrdersIsNamed(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"evacuate"}, "the zone's name"},
		{[]string{"restore", "a", "b"}, "the zone's name, and 2 arguments were given"},
		{[]string{"config", "put"}, "the configuration's file"},
		{[]string{"config", "pull"}, `"pull" is no command of it`},
		{[]string{"config", "put", "none.json"}, "none.json: no such file"},
		{[]string{"config", "put", "none.json", "--match", "x"}, `"--match" flag: `},
		{[]string{"config", "get", "x"}, `no arguments, and "x" was given`},
		{[]string{"status", "--jason"}, "unknown flag: --jason; see `wallflow status --help`"},
		{[]string{"status", "--within", "soon"}, `"--within" flag: `},
		{[]string{"verify"}, "the store's folder"},
		{[]string{"up", "--relays", "0"}, "--relays: 0: wanted is 1 to 9"},
		{[]string{"up", "--rate", "0"}, "--rate: 0: wanted is 1 to 1000"},
		{[]string{"up", "--for", "1"}, `"--for" flag: "1" is no time`},
		{[]string{"up", "--programs", "none"}, "--programs: "},
	} {
		out, errOut, code := say(c.args...)
		assert.Equal(t, code, exitWrong, "%v: %s%s", c.args, out, errOut)
		assert.Assert(t, strings.Contains(errOut, c.want), "%v: %q is missing in %q", c.args, c.want, errOut)
	}
}

func TestHelpOfTheOrdersShowsExamplesAndExitCodes(t *testing.T) {
	for _, args := range [][]string{{"up"}, {"status"}, {"config", "get"}, {"config", "put"}, {"config", "patch"}, {"config", "check"}, {"evacuate"}, {"restore"}, {"verify"}} {
		out, errOut, code := say(append(args, "--help")...)
		assert.Equal(t, code, exitHeld, errOut)
		assert.Assert(t, strings.Contains(out, "Examples:\n     wallflow "+strings.Join(args, " ")), out)
		assert.Assert(t, strings.Contains(out, "Exit codes: 0 "), out)
	}
	out, errOut, code := say("help", "config")
	assert.Equal(t, code, exitHeld, errOut)
	assert.Assert(t, strings.Contains(out, "wallflow config put config.json --match 5"), out)
	for _, shell := range []string{"bash", "zsh", "fish", "pwsh"} {
		out, errOut, code := say("completion", shell)
		assert.Equal(t, code, exitHeld, errOut)
		assert.Assert(t, out != "", shell)
	}
	out, errOut, code = say("config", "--generate-shell-completion")
	assert.Equal(t, code, exitHeld, errOut)
	assert.Assert(t, strings.Contains(out, "patch"), out)
}
