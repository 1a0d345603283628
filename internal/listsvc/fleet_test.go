package listsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"wallflow/internal/accord"
)

// testAgent is an agent that follows every change of the policy at once.
type testAgent struct {
	report SessionReport
	http   *http.Client
	server string
}

// reportOnce sends a report and adopts the state in the response.
func (s *testAgent) reportOnce(ctx context.Context) error {
	body, err := json.Marshal(s.report)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.server+"/fleet/sessions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := s.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	var t SessionResponse
	if res.StatusCode != http.StatusOK || json.Unmarshal(text, &t) != nil {
		return fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	s.report.Epoch, s.report.Decided, s.report.Change, s.report.Phase = t.Epoch, t.Decided, 0, ""
	s.report.KnownPolicy, s.report.ActivePolicy = t.InForce.Number, t.InForce.Number
	if c := t.Change; c != nil {
		s.report.Change, s.report.Phase, s.report.Staged = c.Number, c.Phase, c.Number
		if c.Phase == accord.Armed {
			s.report.Promised = c.Number
		}
	}
	return nil
}

// Reports that only renew a session add no log entries. A change of the policy, to which every agent responds, adds only a few
// entries per second, however many agents there are.
func TestAgentReportsAddFewLogEntries(t *testing.T) {
	const agents = 300
	s, err := Open(Options{Name: "l0", Dir: t.TempDir(), Listen: "127.0.0.1:0", Raft: "127.0.0.1:0", HeartbeatTimeout: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	eventually(t, "it is the leader", s.isReadyLeader)
	transport := &http.Transport{MaxIdleConnsPerHost: agents}
	defer transport.CloseIdleConnections()
	reporting, stopReporting := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stopReporting()
	for i := range agents {
		x := &testAgent{http: &http.Client{Transport: transport}, server: s.Addr(),
			report: SessionReport{Session: accord.Session{ID: fmt.Sprint("id-", i), Name: fmt.Sprint("n", i), Boot: 1}, WaitMS: 300}}
		wg.Go(func() {
			for reporting.Err() == nil {
				if err := x.reportOnce(reporting); err != nil && reporting.Err() == nil {
					t.Error(err)
					return
				}
			}
		})
	}
	waitFor := func(what string, is func(v FleetView) bool) {
		t.Helper()
		eventually(t, what, func() bool {
			v, ok := s.machine.Fleet()
			return ok && is(v)
		})
	}
	waitFor("all are registered", func(v FleetView) bool { return len(v.Sessions) == agents })
	time.Sleep(200 * time.Millisecond)
	before := s.raft.LastIndex()
	time.Sleep(2 * time.Second) // six renewals of each
	if n := s.raft.LastIndex() - before; n > 4 {
		t.Errorf("%d log entries for renewals only", n)
	}
	doc, err := (&accord.Document{Form: 1}).Canonical()
	if err != nil {
		t.Fatal(err)
	}
	before = s.raft.LastIndex()
	start := time.Now()
	if _, err := s.submitFleetOp(ctx, accord.Op{Propose: &accord.Propose{Document: doc, HoldMS: 5000, WithinMS: 20000}}); err != nil {
		t.Fatal(err)
	}
	waitFor("the change is sealed", func(v FleetView) bool { return v.InForce.Number == 1 })
	elapsed, n := time.Since(start), s.raft.LastIndex()-before
	waitFor("all agents know the policy", func(v FleetView) bool {
		for _, x := range v.Sessions {
			if x.KnownPolicy != 1 {
				return false
			}
		}
		return true
	})
	t.Logf("%d agents: sealed %v after the proposal, with %d log entries", agents, elapsed, n)
	if limit := uint64(elapsed/batchInterval) + 4; n > limit {
		t.Errorf("%d log entries in %v, want at most %d", n, elapsed, limit)
	}
}
