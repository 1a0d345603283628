package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wallflow/internal/trial/check"
)

// Each scenario in its short form, on real processes. What is checked are the invariants, not the time that anything
// takes.
func TestEachScenarioHolds(t *testing.T) {
	relay := relayProgram(t, "relay")
	for _, sc := range Scenarios() {
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			res := mustPlay(t, sc.Name, options(t, relay, "small", 5, 5*time.Second))
			for _, v := range res.Verdict.Violations {
				t.Error(v)
			}
			if n := res.Verdict.Judged[check.TakenIsEnded]; n < 50 {
				t.Errorf("judged on %d messages alone", n)
			}
			if sc.Name != "calm" && len(res.Figures.Faults) == 0 {
				t.Error("nothing was done to anybody")
			}
		})
	}
}

// Seeds that found a fault, in relays or in the ground, as they found it: docs/findings/trials.md.
func TestSeedsThatFoundAFault(t *testing.T) {
	relay := relayProgram(t, "relay")
	for _, c := range []struct {
		scenario, load string
		seed           uint64
		lasting        time.Duration
	}{
		{"partner-outage", "berth", 102, 20 * time.Second}, // calls from before a cut came out after it
		{"partner-outage", "berth", 302, 20 * time.Second}, // a wait was told in an answer that its relay had given up on
		{"relay-freeze", "small", 5, 5 * time.Second},      // a message lay before a frozen relay
	} {
		t.Run(fmt.Sprintf("%s-%d", c.scenario, c.seed), func(t *testing.T) {
			t.Parallel()
			for _, v := range mustPlay(t, c.scenario, options(t, relay, c.load, c.seed, c.lasting)).Verdict.Violations {
				t.Error(v)
			}
		})
	}
}

// One seed, one plan: what is done to whom, and when, does not change from play to play; and a plan that is read back
// is the one that was written.
func TestOneSeedOnePlan(t *testing.T) {
	relay := relayProgram(t, "relay")
	plans := map[uint64][]Step{}
	for _, seed := range []uint64{3, 3, 4} {
		opts := options(t, relay, "small", seed, 2*time.Second)
		res := mustPlay(t, "relay-kill", opts)
		if was, ok := plans[seed]; ok && !equalSteps(was, res.Plan.Steps) {
			t.Errorf("seed %d:\n%v\nthen\n%v", seed, was, res.Plan.Steps)
		}
		plans[seed] = res.Plan.Steps
		back, err := ReadPlan(filepath.Join(opts.Dir, "plan.toml"))
		if err != nil || !equalSteps(back.Steps, res.Plan.Steps) || back.Seed != seed || back.Scenario != "relay-kill" {
			t.Errorf("read back %+v, %v", back, err)
		}
	}
	if equalSteps(plans[3], plans[4]) {
		t.Error("two seeds, one plan")
	}
	opts := options(t, relay, "small", 9, 2*time.Second)
	opts.Plan = &Plan{Steps: plans[3]}
	if res := mustPlay(t, "relay-kill", opts); !equalSteps(res.Plan.Steps, plans[3]) {
		t.Errorf("a given plan was not the one that was played: %v", res.Plan.Steps)
	}
}

func equalSteps(a, b []Step) bool {
	return slices.EqualFunc(a, b, func(x, y Step) bool {
		return x.At == y.At && x.Do == y.Do && slices.Equal(x.On, y.On) && x.For == y.For && x.Size == y.Size && x.Note == y.Note
	})
}

func TestAPlanThatCannotBePlayedIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		"[[step]]\nat='1s'\ndo='explode'\non=['n0']\n":                   `step 1: do: "explode" is unknown`,
		"[[step]]\nat='1s'\ndo='kill'\non=['n0']\n":                      "step 1: for: kill wants a time above 0",
		"[[step]]\nat='1s'\ndo='kill'\nfor='1s'\non=[]\n":                "step 1: on: it names nobody",
		"[[step]]\nat='1s'\ndo='slow'\nfor='1s'\non=['s-00a']\n":         "step 1: size: slow wants a figure above 0",
		"[[step]]\nat='1s'\ndo='succeed'\nfor='1s'\nnote='x'\non=['n0']": `step 1: note: "x" is none of`,
		"[[step]]\nat=1\n": "plan.toml:2: step.at: ",
		"[[step]]\nat='1s'\ndo='kill'\nfor='1s'\non=['n0']\nwhat='x'\n":        "plan.toml:6: step.what: no such key",
		"[[step]]\nat='1s'\ndo='kill'\nfor='1s'\non=['n0']\n[[step]]\nat='1s'": "step 2: do: ",
	} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadPlan(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	opts := options(t, relayProgram(t, "relay"), "small", 1, time.Second)
	opts.Plan = &Plan{Steps: []Step{{Do: "kill", On: []string{"n7"}, For: span(time.Second)}}}
	sc, _ := Find("calm")
	if _, err := Run(context.Background(), sc, opts); !errors.Is(err, ErrNotPlayed) || !strings.Contains(err.Error(), `the fleet has no "n7"`) {
		t.Errorf("a relay that is not there: %v", err)
	}
}

// What cannot be played is no verdict: no program, one that ends at once, a trial that is called off.
func TestWhatCannotBePlayedIsNoVerdict(t *testing.T) {
	sc, _ := Find("calm")
	play := func(ctx context.Context, relay string) error {
		_, err := Run(ctx, sc, options(t, relay, "small", 1, time.Minute))
		return err
	}
	if err := play(context.Background(), filepath.Join(t.TempDir(), "none")); !errors.Is(err, ErrNotPlayed) {
		t.Errorf("no program: %v", err)
	}
	if err := play(context.Background(), "/bin/false"); !errors.Is(err, ErrNotPlayed) || !strings.Contains(err.Error(), "ended before it was ready") {
		t.Errorf("a program that ends: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := play(ctx, relayProgram(t, "relay")); !errors.Is(err, ErrNotPlayed) {
		t.Errorf("called off: %v", err)
	}
}

// A port that somebody else took between its choice and the relay's start costs a try, not the trial.
func TestAPortThatIsTakenIsLeftToItsHolder(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	opts := options(t, relayProgram(t, "relay"), "small", 1, time.Second)
	var mu sync.Mutex
	asked := 0
	opts.free = func(host string) (string, error) {
		mu.Lock()
		defer mu.Unlock()
		if asked++; asked <= 2 {
			return holder.Addr().String(), nil
		}
		return freeAddr(host)
	}
	res := mustPlay(t, "calm", opts)
	if !res.Verdict.Held() || asked < 5 {
		t.Errorf("%v after %d choices, 3 relays and 2 ports that were taken", res.Verdict.Violations, asked)
	}
}

// A relay that is broken on purpose, in a build of this test alone, is found out: each invariant by its name.
func TestEachInvariantFailsOnARelayThatBreaksIt(t *testing.T) {
	busiest := []string{"s-00a", "s-00b", "s-01a", "s-01b"} // two partners that take payments, with two endpoints at least
	const events, send = "internal/relay/events.go", "internal/relay/send.go"
	const hosts, config, wal = "internal/relay/hosts.go", "internal/relay/config.go", "internal/wal/wal.go"
	for _, c := range []struct {
		name, scenario string
		changes        []change
		steps          []Step // in place of the scenario's own
	}{
		{check.TakenIsEnded, "partner-outage", []change{{send, "\tr.notices.add(n)\n}", "\t_ = n // the notice is forgotten\n}"}}, nil},
		{check.NoSecondEffect, "calm", []change{{hosts, "\treturn policy.Reset\n}", "\treturn policy.ConnectFailed // what may have run is taken for what never did\n}"}},
			[]Step{{At: span(time.Second), Do: "break", On: busiest, For: span(2 * time.Second)}}},
		{check.OwnEndpoints, "calm", []change{{config, "\tl.Destination = *m.Cell\n", "\tl.Destination = *m.Cell ^ 1 // two partners are taken for each other\n"}}, nil},
		{check.DrainKept, "agent-silent", []change{{config, "\tcase \"draining\":\n", "\tcase \"draining\":\n\t\tl.InService = true // a drain is passed over\n"}}, nil},
		{check.WaitHeeded, "calm", []change{{hosts, "\tr := result{retryAfter: wait, report:", "\twait = 0 // what a partner tells is passed over\n\tr := result{retryAfter: wait, report:"}},
			[]Step{{At: span(time.Second), Do: "shut", On: busiest, For: span(2500 * time.Millisecond)}}},
		{check.MemoryFlat, "calm", []change{{send, "func (r *Relay) queueNotice(m *message) {",
			"var kept [][]byte\n\nfunc (r *Relay) queueNotice(m *message) {"},
			{events, "func (r *Relay) forgetIfFinished(m *message) {", "func (r *Relay) forgetIfFinished(m *message) {\n\tkept = append(kept, make([]byte, 256<<10)) // never let go\n\tfor i := range kept[len(kept)-1] {\n\t\tkept[len(kept)-1][i] = 1\n\t}"}}, nil},
		{check.DiskBound, "calm", []change{{wal, "\tif l.size+int64(len(data)) > l.fractionOfLimit(compactionFraction) {", "\tif l.size+int64(len(data)) > 1<<40 {"},
			{wal, "\tif l.size+int64(len(data)) > l.limit-2*blockSize {", "\tif l.size+int64(len(data)) > 1<<40 {"}}, nil},
		{check.StaysUp, "calm", []change{{events, "func (r *Relay) forgetIfFinished(m *message) {", "func (r *Relay) forgetIfFinished(m *message) {\n\tif r.lastID > 30 {\n\t\tpanic(\"broken on purpose\")\n\t}"}}, nil},
		{check.NoLeak, "calm", []change{{events, "func (r *Relay) forgetIfFinished(m *message) {", "func (r *Relay) forgetIfFinished(m *message) {\n\tif f, err := os.Open(os.DevNull); err == nil && len(kept) < 100 {\n\t\tkept = append(kept, f)\n\t}"},
			{events, "func (r *Relay) markEnded(m *message) {", "var kept []*os.File\n\nfunc (r *Relay) markEnded(m *message) {"},
			{events, "\t\"net/http\"\n", "\t\"net/http\"\n\t\"os\"\n"}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			opts := options(t, relayProgram(t, "broken-"+c.name, c.changes...), "small", 2, 5*time.Second)
			if c.name == check.DiskBound {
				opts.Load.Relay.Disk.N = 256 << 10 // reached within the trial, by bodies that are long
				opts.Load.Traffic.Body.Low, opts.Load.Traffic.Body.High = 8000, 16000
			}
			if c.steps != nil {
				opts.Plan = &Plan{Steps: c.steps}
			}
			res := mustPlay(t, c.scenario, opts)
			found := map[string]int{}
			for _, v := range res.Verdict.Violations {
				found[v.Name]++
				if v.ID == "" || len(v.Lines) == 0 {
					t.Errorf("%v names nobody or shows nothing", v)
				}
			}
			if found[c.name] == 0 {
				t.Errorf("it was not found; found was %v", found)
			}
		})
	}
}

// A list server that is broken on purpose, in a build of this test alone, is found out: each invariant by its name.
func TestEachInvariantFailsOnAListServerThatBreaksIt(t *testing.T) {
	relay := relayProgram(t, "relay")
	const server, cat, agent = "internal/listsvc/server.go", "internal/catalog/catalog.go", "internal/agent/agent.go"
	for _, c := range []struct {
		name, scenario string
		changes        []change
	}{
		{check.AcknowledgedIsKept, "list-minority", []change{{server, "func (s *Server) Confirm(ctx context.Context) error {\n",
			"func (s *Server) Confirm(ctx context.Context) error {\n\tif s.m.Status().Cluster != \"\" {\n\t\treturn nil // whoever leads now\n\t}\n"}}},
		{check.VersionsRise, "list-leader-kill", []change{{cat, "\tfor _, s := range c.history[from:] {\n", "\tif from+3 < len(c.history) {\n\t\tfrom += 2 // who is far behind misses some\n\t}\n\tfor _, s := range c.history[from:] {\n"}}},
		{check.WatchIsWhole, "list-leader-kill", []change{{cat, "\tif version == c.version && version > 0 {\n", "\tif version > 0 && c.version-version < 9 { // a few changes are not worth a line\n"}}},
		{check.ListOutlives, "list-rolling-replace", []change{{agent, "\t\ta.log.Warn(\"watch ended\"", "\t\ta.mu.Lock()\n\t\ta.mirror.Take(a.mirror.List(), " +
			"catalog.List{Version: a.mirror.Version() + 1, Full: true}, \"\") // what nobody tells is gone\n\t\tclose(a.changed)\n\t\ta.changed = make(chan struct{})\n" +
			"\t\ta.mu.Unlock()\n\t\ta.log.Warn(\"watch ended\""}}},
		{check.NoticesPassOn, "list-all-dead", []change{{agent, "\tfor a.over.Err() == nil {\n\t\tall := a.spool.next(handMost)\n", "\tfor a.over.Err() == nil {\n\t\tall := a.spool.next(handMost)\n" +
			"\t\tif len(all) > 0 {\n\t\t\ta.spool.done(len(all)) // lost\n\t\t\tcontinue\n\t\t}\n"}}},
		{check.StaysUp, "list-leader-kill", []change{{server, "\ts.log.Info(\"leads\", ", "\tif term > 2 {\n\t\tpanic(\"broken on purpose\")\n\t}\n\ts.log.Info(\"leads\", "}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			opts := options(t, relay, "small", 2, 6*time.Second)
			opts.Program = listProgram(t, "broken-list-"+c.name, c.changes...)
			found := map[string]int{}
			for _, v := range mustPlay(t, c.scenario, opts).Verdict.Violations {
				found[v.Name]++
				if v.ID == "" || len(v.Lines) == 0 {
					t.Errorf("%v names nobody or shows nothing", v)
				}
			}
			if found[c.name] == 0 {
				t.Errorf("it was not found; found was %v", found)
			}
		})
	}
}

// The same for relays and list servers that do not keep to what the fleet agreed on. A seal without all is found by the check
// beside it in the code, which ends the server.
func TestEachInvariantFailsOnAFleetThatBreaksIt(t *testing.T) {
	const gate, state, relay = "internal/accord/gate.go", "internal/accord/accord.go", "internal/relay/fleet.go"
	for _, c := range []struct {
		what, name, scenario string
		seed                 uint64
		changes              []change
		steps                []Step // in place of the scenario's own
	}{
		{"a relay in doubt goes on", check.OnePolicy, "policy-in-doubt", 2, []change{{gate, "if !now.Before(p.stop) {", "if p.number < 0 {"}}, nil},
		{"a seal without all", check.StaysUp, "policy-calm", 4, []change{
			{state, "if missing := s.Missing(); len(missing) > 0 {\n\t\t\treturn 0, fmt.Errorf(\"%w: %s has not promised it\"", "if missing := s.Missing(); len(missing) > 9 {\n\t\t\treturn 0, fmt.Errorf(\"%w: %s has not promised it\""},
			{"internal/listsvc/fleet.go", "case len(missing) == 0:\n", "case c.Phase == accord.Armed:\n"}}, nil},
		{"a dropped policy is followed", check.OnePolicy, "policy-agent-kill", 4, []change{{relay, "\t\t\tf.status.Can = c.Number\n", "\t\t\tf.status.Can = c.Number\n\t\t\tf.gate.Follow(c.Number, receivedAt)\n"}},
			// An agent that is away for longer than a change may take: the change can only be dropped.
			[]Step{{At: span(800 * time.Millisecond), Do: "agent-kill", On: []string{"n0"}, For: span(policyWithin + 1500*time.Millisecond)},
				{At: span(time.Second), Do: "policy-propose", On: []string{fleetName}}}},
		{"a relay does not take hold", check.PolicySettles, "policy-calm", 2, []change{{relay, "if !changed {", "if !changed || number > 1 {"}}, nil},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			name := strings.ReplaceAll(c.what, " ", "-")
			opts := options(t, relayProgram(t, "relay-"+name, c.changes...), "small", c.seed, 6*time.Second)
			opts.Program = listProgram(t, "list-"+name, c.changes...)
			if c.steps != nil {
				opts.Plan = &Plan{Steps: c.steps}
			}
			found := map[string]int{}
			for _, v := range mustPlay(t, c.scenario, opts).Verdict.Violations {
				found[v.Name]++
			}
			if found[c.name] == 0 {
				t.Errorf("it was not found; found was %v", found)
			}
		})
	}
}
