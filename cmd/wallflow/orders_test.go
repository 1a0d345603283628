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

const validConfig = `{"generation":3,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","kind":"safe","timeoutMs":1000,"backend":"b"}],"backends":[{"name":"b"}]}`

// fakeControl is a fake control process. It records the orders that it receives and answers as configured.
type fakeControl struct {
	*httptest.Server
	mu           sync.Mutex
	orders       []string
	status       operator.Status
	config       string
	refuseStatus int // HTTP status of its answers to orders; 0: it accepts them
}

func newFakeControl(t *testing.T) *fakeControl {
	t.Helper()
	c := &fakeControl{config: validConfig, status: healthyStatus()}
	c.Server = httptest.NewServer(c)
	t.Cleanup(c.Close)
	return c
}

// healthyStatus returns the status of a system without problems.
func healthyStatus() operator.Status {
	return operator.Status{
		Node: "core-1", Identity: "0123456789abcdef", Role: "head", Fresh: true, Generation: 3, Position: 5, Committed: 5,
		View: operator.View{Epoch: 2, Voters: []string{"core-1", "core-2"}, Chain: []string{"core-2", "core-1"}},
		Members: []operator.Member{
			{Name: "core-2", Role: "control", Status: "alive", Serving: true},
			{Name: "core-1", Role: "control", Status: "alive", Serving: true},
			{Name: "relay-1", Role: "proxy", Zone: "z", Status: "alive", Serving: true, ClientAddress: "10.0.0.1:1"},
		},
		Services: []operator.Service{{Name: "b", Ready: 4, Cold: 1, Draining: 2}},
	}
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	c.orders = append(c.orders, fmt.Sprintf("%s %s match=%s %s", r.Method, r.URL.Path, r.Header.Get("If-Match"), body))
	if c.refuseStatus != 0 {
		w.WriteHeader(c.refuseStatus)
		io.WriteString(w, `{"error":"/generation: 3: must be above 3"}`)
		return
	}
	io.WriteString(w, "{}")
}

// takeOrders returns the orders received since the last call.
func (c *fakeControl) takeOrders() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := c.orders
	c.orders = nil
	return orders
}

// update changes the fake's answers while no request is being handled.
func (c *fakeControl) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// runInProcess runs a command that sends its requests to the fake.
func (c *fakeControl) runInProcess(args ...string) (out, errOut string, code int) {
	var o, e strings.Builder
	code = run(append(args, "--control", strings.TrimPrefix(c.URL, "http://")), nil, &o, &e)
	return o.String(), e.String(), code
}

// writeTempFile writes a file in a new temporary folder and returns its path.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestOperatorOrders(t *testing.T) {
	api := newFakeControl(t)
	next := strings.Replace(validConfig, `"generation":3`, `"generation":4`, 1)
	nextFile, sameFile, patchFile := writeTempFile(t, "next.json", next), writeTempFile(t, "same.json", validConfig),
		writeTempFile(t, "patch.json", `{"generation":5}`)
	for _, c := range []struct {
		args []string
		want string   // part of the output
		call []string // orders sent
	}{
		{[]string{"config", "get"}, validConfig, nil},
		{[]string{"config", "put", nextFile}, "version 4 is in force, on top of 3", []string{"PUT /config match=3 " + next}},
		{[]string{"config", "put", nextFile, "--match", "0"}, "version 4 is in force, on top of 0", []string{"PUT /config match=0 " + next}},
		{[]string{"config", "put", sameFile}, "version 3 is in force already", nil},
		{[]string{"config", "put", sameFile, "--match", "2"}, "version 3 is in force, on top of 2",
			[]string{"PUT /config match=2 " + validConfig}},
		{[]string{"config", "patch", patchFile}, "the change of version 3 is in force", []string{`PATCH /config match=3 {"generation":5}`}},
		{[]string{"config", "patch", patchFile, "--match", "9"}, "the change of version 9 is in force",
			[]string{`PATCH /config match=9 {"generation":5}`}},
		{[]string{"evacuate", "hall-a"}, "hall-a is evacuated", []string{"POST /drain/hall-a match= "}},
		{[]string{"restore", "hall-a"}, "hall-a is taken back", []string{"DELETE /drain/hall-a match= "}},
	} {
		out, errOut, code := api.runInProcess(c.args...)
		assert.Equal(t, code, exitOK, "%v: %s", c.args, errOut)
		assert.Assert(t, strings.Contains(out, c.want), "%v: %s", c.args, out)
		assert.DeepEqual(t, api.takeOrders(), c.call)
	}
}

func TestRefusedOrderIsReported(t *testing.T) {
	api := newFakeControl(t)
	api.update(func() { api.refuseStatus = http.StatusPreconditionFailed })
	next := writeTempFile(t, "next.json", strings.Replace(validConfig, `"generation":3`, `"generation":4`, 1))
	for _, args := range [][]string{{"config", "put", next}, {"config", "patch", next}, {"evacuate", "z"}, {"restore", "z"}} {
		out, errOut, code := api.runInProcess(args...)
		assert.Equal(t, code, exitError, "%v", args)
		assert.Equal(t, out, "", "%v", args)
		assert.Assert(t, strings.Contains(errOut, "412 Precondition Failed: /generation: 3: must be above 3"), "%v: %s", args, errOut)
		assert.Equal(t, len(api.takeOrders()), 1, "%v", args)
	}
}

func TestInvalidConfigurationIsNotSent(t *testing.T) {
	api := newFakeControl(t)
	for _, c := range []struct{ text, want string }{
		{strings.Replace(validConfig, `"timeoutMs":1000`, `"timeoutMs":0`, 1), "/routes/0/timeoutMs: 0"},
		{strings.Replace(validConfig, `"backend":"b"`, `"backend":"c"`, 1), "/routes/0/backend"},
		{validConfig[:40], "configuration"},
	} {
		path := writeTempFile(t, "bad.json", c.text)
		for _, args := range [][]string{{"config", "put", path}, {"config", "check", path}} {
			var out, errOut string
			var code int
			if args[1] == "put" {
				out, errOut, code = api.runInProcess(args...)
			} else {
				out, errOut, code = runInProcess(args...)
			}
			assert.Equal(t, code, exitError, "%v: %s", args, out)
			assert.Assert(t, strings.Contains(errOut, path) && strings.Contains(errOut, c.want), "%v: %s", args, errOut)
		}
	}
	assert.Equal(t, len(api.takeOrders()), 0)
}

// runInProcess runs a command in this process.
func runInProcess(args ...string) (out, errOut string, code int) {
	var o, e strings.Builder
	code = run(args, nil, &o, &e)
	return o.String(), e.String(), code
}

func TestConfigCheck(t *testing.T) {
	wholeFile := writeTempFile(t, "whole.json", validConfig)
	out, _, code := runInProcess("config", "check", wholeFile)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.HasSuffix(out, "whole.json: sound: version 3, 1 routes, 1 services\n"), out)
	validPatch := writeTempFile(t, "good.json", `{"generation":4,"upsert":{"backends":[{"name":"c"}]}}`)
	out, errOut, code := runInProcess("config", "check", validPatch, "--on", wholeFile)
	assert.Equal(t, code, exitOK, errOut)
	assert.Assert(t, strings.Contains(out, "version 4, 1 routes, 2 services"), out)
	invalidPatch := writeTempFile(t, "bad.json", `{"generation":4,"delete":{"backends":["b"]}}`)
	_, errOut, code = runInProcess("config", "check", invalidPatch, "--on", wholeFile)
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(errOut, "/routes/0/backend"), errOut)
	stalePatch := writeTempFile(t, "old.json", `{"generation":3}`)
	_, errOut, code = runInProcess("config", "check", stalePatch, "--on", wholeFile)
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(errOut, "/generation: 3: must be above 3"), errOut)
}

func TestStatusShowsSystem(t *testing.T) {
	api := newFakeControl(t)
	out, errOut, code := api.runInProcess("status")
	assert.Equal(t, code, exitOK, errOut)
	for _, want := range []string{"version 3; evacuated: no zone", "view 2: core-2 > core-1; voters core-1, core-2", "relay-1  proxy",
		"10.0.0.1:1", "b        4      1     2"} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in:\n%s", want, out)
	}
	out, _, code = api.runInProcess("status", "--json")
	assert.Equal(t, code, exitOK)
	var system systemStatus
	assert.NilError(t, json.Unmarshal([]byte(out), &system))
	assert.DeepEqual(t, *system.Control[0].Status, healthyStatus())
}

func TestStatusReportsProblems(t *testing.T) {
	for want, breakStatus := range map[string]func(*operator.Status){
		"core-1 is out of touch":             func(s *operator.Status) { s.Fresh = false },
		"can't write to its disk":            func(s *operator.Status) { s.WriteFailed = true },
		"a disk that does not keep up":       func(s *operator.Status) { s.DiskTooSlow = true },
		"the chain has 1 members":            func(s *operator.Status) { s.View.Chain = s.View.Chain[:1] },
		"no configuration has been taken":    func(s *operator.Status) { s.Generation = 0 },
		"voter core-3 is gone":               func(s *operator.Status) { s.View.Voters = append(s.View.Voters, "core-3") },
		"relay-1 is suspect":                 func(s *operator.Status) { s.Members[2].Status = "suspect" },
		"relay relay-1 is not ready":         func(s *operator.Status) { s.Members[2].Serving = false },
		"service b has no endpoint":          func(s *operator.Status) { s.Services[0].Ready = 0 },
		"127.0.0.1:1 does not answer: 127.0": func(s *operator.Status) { s.Members[2].APIAddress = "127.0.0.1:1" },
	} {
		api := newFakeControl(t)
		api.update(func() { breakStatus(&api.status) })
		out, errOut, code := api.runInProcess("status")
		assert.Equal(t, code, exitCheckFailed, "%s: %s", want, errOut)
		assert.Assert(t, strings.Contains(out, want), "%q is missing in:\n%s", want, out)
	}
	_, errOut, code := runInProcess("status", "--control", "127.0.0.1:1")
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(errOut, "no control process answers"), errOut)
	_, errOut, code = runInProcess("status", "--control", "")
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(errOut, "no control process is named"), errOut)
}

// writeStore creates a store with three batches, and returns its folder and the path of its file.
func writeStore(t *testing.T) (dir, path string) {
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

func TestVerifyStore(t *testing.T) {
	dir, path := writeStore(t)
	out, errOut, code := runInProcess("verify", dir)
	assert.Equal(t, code, exitOK, errOut)
	assert.Assert(t, strings.Contains(out, "sound, 3 records"), out)

	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, whole[:len(whole)-2], 0o600))
	out, _, code = runInProcess("verify", dir)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "sound, 2 records") && strings.Contains(out, "a torn tail begins"), out)

	corrupted := append([]byte(nil), whole...)
	corrupted[len(corrupted)/3] ^= 1
	assert.NilError(t, os.WriteFile(path, corrupted, 0o600))
	out, _, code = runInProcess("verify", dir, "--json")
	assert.Equal(t, code, exitCheckFailed)
	var report storeReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Assert(t, !report.Sound && report.Damage != "", out)
	remaining, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, remaining, corrupted)

	_, errOut, code = runInProcess("verify", filepath.Join(dir, "none"))
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(errOut, "no such store"), errOut)
}

func TestOperatorCommandUsageErrors(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"evacuate"}, "the zone's name"},
		{[]string{"restore", "a", "b"}, "the zone's name, but got 2 arguments"},
		{[]string{"config", "put"}, "the configuration's file"},
		{[]string{"config", "pull"}, `unknown command "pull"`},
		{[]string{"config", "put", "none.json"}, "none.json: no such file"},
		{[]string{"config", "put", "none.json", "--match", "x"}, `"--match" flag: `},
		{[]string{"config", "get", "x"}, `no arguments, but got "x"`},
		{[]string{"status", "--jason"}, "unknown flag: --jason; see `wallflow status --help`"},
		{[]string{"status", "--within", "soon"}, `"--within" flag: `},
		{[]string{"verify"}, "the store's folder"},
		{[]string{"up", "--relays", "0"}, "--relays: 0: must be 1 to 9"},
		{[]string{"up", "--rate", "0"}, "--rate: 0: must be 1 to 1000"},
		{[]string{"up", "--for", "1"}, `"--for" flag: "1" is not a duration`},
		{[]string{"up", "--programs", "none"}, "--programs: "},
	} {
		out, errOut, code := runInProcess(c.args...)
		assert.Equal(t, code, exitError, "%v: %s%s", c.args, out, errOut)
		assert.Assert(t, strings.Contains(errOut, c.want), "%v: %q is missing in %q", c.args, c.want, errOut)
	}
}

func TestOperatorCommandHelp(t *testing.T) {
	for _, args := range [][]string{{"up"}, {"status"}, {"config", "get"}, {"config", "put"}, {"config", "patch"}, {"config", "check"},
		{"evacuate"}, {"restore"}, {"verify"}} {
		out, errOut, code := runInProcess(append(args, "--help")...)
		assert.Equal(t, code, exitOK, errOut)
		assert.Assert(t, strings.Contains(out, "Examples:\n     wallflow "+strings.Join(args, " ")), out)
		assert.Assert(t, strings.Contains(out, "Exit codes: 0 "), out)
	}
	out, errOut, code := runInProcess("help", "config")
	assert.Equal(t, code, exitOK, errOut)
	assert.Assert(t, strings.Contains(out, "wallflow config put config.json --match 5"), out)
	for _, shell := range []string{"bash", "zsh", "fish", "pwsh"} {
		out, errOut, code := runInProcess("completion", shell)
		assert.Equal(t, code, exitOK, errOut)
		assert.Assert(t, out != "", shell)
	}
	out, errOut, code = runInProcess("config", "--generate-shell-completion")
	assert.Equal(t, code, exitOK, errOut)
	assert.Assert(t, strings.Contains(out, "patch"), out)
}
