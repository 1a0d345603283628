package relay

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wallflow/policy"
)

// configText returns a complete configuration file, changed by edit.
func configText(t *testing.T, edit func(file, settings map[string]any)) string {
	t.Helper()
	var file map[string]any
	text := `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","limits":{"cores":1,"memory_mb":64,
		"sockets":384,"disk_mb":3},"known":{"version":1,"full":true,"servers":[]},"settings":` + settingsJSON + `}`
	if err := json.Unmarshal([]byte(text), &file); err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(file, file["settings"].(map[string]any))
	}
	out, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// firstService returns the first message class of the settings.
func firstService(settings map[string]any) map[string]any {
	return settings["services"].([]any)[0].(map[string]any)
}

// A new configuration file is applied or rejected as a whole, and either is counted.
func TestConfigurationIsAppliedOrRejectedAsAWhole(t *testing.T) {
	good := configText(t, nil)
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"the same":    {good, true},
		"empty":       {"", false},
		"blank":       {" \n", false},
		"null":        {"null", false},
		"no object":   {"[]", false},
		"cut short":   {good[:len(good)*2/3], false},
		"two of them": {good + good, false},
		"a class added and more attempts": {configText(t, func(_, s map[string]any) {
			added := map[string]any{"name": "added"}
			for k, v := range firstService(s) {
				if k != "name" {
					added[k] = v
				}
			}
			s["services"] = append(s["services"].([]any), added)
			s["bounds"].(map[string]any)["send_cap"] = 9
		}), true},
		"a new key":         {configText(t, func(f, s map[string]any) { f["new"], s["new"] = 1, "x" }), true},
		"other hosts known": {configText(t, func(f, _ map[string]any) { f["known"] = map[string]any{} }), true},
		"no settings":       {configText(t, func(f, _ map[string]any) { delete(f, "settings") }), false},
		"no name":           {configText(t, func(f, _ map[string]any) { delete(f, "name") }), false},
		"no limit":          {configText(t, func(f, _ map[string]any) { delete(f["limits"].(map[string]any), "disk_mb") }), false},
		"no bounds":         {configText(t, func(_, s map[string]any) { delete(s, "bounds") }), false},
		"bounds of no kind": {configText(t, func(_, s map[string]any) { s["bounds"] = 3 }), false},
		"no classes":        {configText(t, func(_, s map[string]any) { s["services"] = []any{} }), false},
		"no effect":         {configText(t, func(_, s map[string]any) { delete(firstService(s), "semantics") }), false},
		"no window":         {configText(t, func(_, s map[string]any) { delete(firstService(s), "repeat_window_ms") }), false},
		"no deadline":       {configText(t, func(_, s map[string]any) { delete(firstService(s), "give_up_ms") }), false},
		"a deadline of 0":   {configText(t, func(_, s map[string]any) { firstService(s)["give_up_ms"] = 0 }), false},
		"a negative one":    {configText(t, func(_, s map[string]any) { firstService(s)["give_up_ms"] = -1 }), false},
		"one in words":      {configText(t, func(_, s map[string]any) { firstService(s)["give_up_ms"] = "16000" }), false},
		"none":              {configText(t, func(_, s map[string]any) { firstService(s)["goal_time_ms"] = nil }), false},
		"no attempts":       {configText(t, func(_, s map[string]any) { s["bounds"].(map[string]any)["send_cap"] = 0 }), false},
		"attempts in words": {configText(t, func(_, s map[string]any) { s["bounds"].(map[string]any)["send_cap"] = "many" }), false},
		"the same class two times": {configText(t, func(_, s map[string]any) {
			s["services"] = append(s["services"].([]any), firstService(s))
		}), false},
		"other zones": {configText(t, func(_, s map[string]any) { s["zones"] = []any{"b", "a"} }), false},
		"a zone more": {configText(t, func(_, s map[string]any) { s["zones"] = []any{"a", "b", "c"} }), true},
		"a quota in words": {configText(t, func(_, s map[string]any) {
			s["realms"].([]any)[0].(map[string]any)["quota_per_s"] = "x"
		}), false},
		"a negative slot count": {configText(t, func(_, s map[string]any) { s["extra"].(map[string]any)["call_slots"] = -2 }), false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "config.json")
			env := map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": dir}
			write := func(text string) {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write(good)
			cfg, err := LoadConfig(func(k string) string { return env[k] })
			if err != nil {
				t.Fatal(err)
			}
			r, err := New(cfg, discardLogger())
			if err != nil {
				t.Fatal(err)
			}
			defer r.hosts.close()
			before := r.names.Load()
			write(c.text)
			r.Reload(func(k string) string { return env[k] })
			if c.ok {
				r.stepNextEvent()
			}
			applied, rejected := r.metrics.applied.Load(), r.metrics.rejected.Load()
			if c.ok != (applied == 1) || c.ok != (rejected == 0) || applied+rejected != 1 {
				t.Errorf("applied %d, rejected %d", applied, rejected)
			}
			if !c.ok && (len(r.events) > 0 || len(r.discoveryMoves) > 0 || r.names.Load() != before) {
				t.Error("a rejected file changed something")
			}
		})
	}
}

// A submission that was read before the settings changed is accepted under the new ones. If its class no longer exists, it is
// refused.
func TestSubmissionDuringReconfiguration(t *testing.T) {
	r := newTestRelay(t)
	cfg := r.cfg
	cfg.Settings.Classes = []policy.Class{r.cfg.Settings.Classes[0]}
	cfg.Settings.Classes[0].Effect = policy.Unsafe
	submit := func(id string, cfg Config) (int, *message) {
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.newServer().Handler.ServeHTTP(w, submissionRequest(t.Context(), id))
		}()
		event := <-r.events
		for { // the end of the previous call may come first
			if _, ok := event.(*submission); ok {
				break
			}
			r.step([]any{event})
			event = <-r.events
		}
		r.step([]any{reconfigured{cfg}, event})
		<-done
		return w.Code, r.byTrace[id]
	}
	if code, m := submit("m1", cfg); code != http.StatusAccepted || m.class.terms.Effect != policy.Unsafe {
		t.Errorf("status %d, accepted under %+v", code, m.class.terms)
	}
	open := r.byTrace["m1"].class
	changed := cfg
	changed.Classes = []string{"another"}
	if code, m := submit("m2", changed); code != http.StatusServiceUnavailable || m != nil {
		t.Errorf("of a class that no longer exists: status %d", code)
	}
	if r.byTrace["m1"].class != open {
		t.Error("an unfinished message lost its terms")
	}
	if got := metricsText(r); !strings.Contains(got, "relay.shed.order=1\n") || !strings.Contains(got, "relay.ok.another=0\n") {
		t.Errorf("metrics:\n%s", got)
	}
}
