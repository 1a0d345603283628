package agent_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/agent"
	"wallflow/internal/catalog"
	"wallflow/internal/invariant"
	"wallflow/internal/listsvc"
	"wallflow/internal/listsvc/client"
	"wallflow/internal/relay"
)

// listenAddressHandler reads a relay's listen address from its log.
type listenAddressHandler struct {
	slog.Handler
	address chan string
}

func (l listenAddressHandler) Enabled(context.Context, slog.Level) bool { return true }

func (l listenAddressHandler) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if r.Message == "serving" && a.Key == "listen" {
			l.address <- a.Value.String()
		}
		return true
	})
	return nil
}

// machine is an agent and the relay beside it, both running in this process.
type machine struct {
	t         *testing.T
	name      string
	dir       string
	agentAddr string

	mu        sync.Mutex
	relayAddr string // listen address of the relay; empty while it is stopped
	stop      context.CancelFunc
	done      chan error
}

const relaySettings = `{"bounds":{"cancel":true,"connect_timeout_ms":1000,"keepalive_ms":15000,"max_retry_after_ms":2000,"may_duplicate":false,"open_cap":200,
	"retry_after":true,"send_cap":8},"extra":{"call_slots":20,"per_call":[1],"separate_routes":[false]},"fleet_size":3,"kinds":["k"],"membership_mode":"push",
	"realms":[{"name":"a","share":1}],"rules":{"cold_from":0.2,"fall_ms":3000,"overload_factor":2,"warm_within_ms":9000},"services":[{"name":"order",
	"semantics":"read_like","goal_time_ms":2000,"give_up_ms":5000,"value":1}],"stats":{"how":"none"},"tick_ms":1,"weight_kind":"nominal","zones":["z"]}`

func (m *machine) startRelay() {
	m.t.Helper()
	config := filepath.Join(m.dir, "relay.json")
	text := fmt.Sprintf(`{"name":%q,"seed":"01","listen":"127.0.0.1:0","discovery":%q,"fleet":{"agent":%q},"settings":%s}`,
		m.name, m.agentAddr, m.agentAddr, relaySettings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	state := filepath.Join(m.dir, "relay")
	if err := os.MkdirAll(state, 0o700); err != nil {
		m.t.Fatal(err)
	}
	cfg, err := relay.LoadConfig(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": config, "ROUTER_STATE": state}[name]
	})
	if err != nil {
		m.t.Fatal(err)
	}
	handler := listenAddressHandler{slog.DiscardHandler, make(chan string, 1)}
	ctx, stop := context.WithCancel(context.Background())
	r, err := relay.Start(ctx, cfg, slog.New(handler))
	if err != nil {
		m.t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	relayAddr := <-handler.address
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayAddr, m.stop, m.done = relayAddr, stop, done
}

func (m *machine) stopRelay() {
	m.mu.Lock()
	stop, done := m.stop, m.done
	m.relayAddr = ""
	m.mu.Unlock()
	stop()
	if err := <-done; err != nil {
		m.t.Error(err)
	}
}

// acceptedMessages records the answers so far. A message is accepted under a policy at some time between its request and its answer.
type acceptedMessages struct {
	mu     sync.Mutex
	first  map[int64]time.Time // time of the first answer under a policy
	counts map[int64]int
}

// add records an answer. It fails the test if a message was sent after another was accepted under a later policy.
func (k *acceptedMessages) add(t *testing.T, relay string, number int64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, at := range k.first {
		if n > number && at.Before(sent) {
			t.Errorf("%s accepted a message under policy %d, sent %v after one was accepted under %d", relay, number, sent.Sub(at), n)
		}
	}
	if _, ok := k.first[number]; !ok {
		k.first[number] = time.Now()
	}
	k.counts[number]++
}

// A list server, three agents and three relays run in one process under load, while relays restart at random times. Every invariant
// check in the code must be executed at least once, and none may fail.
func TestEveryInvariantIsCheckedUnderLoad(t *testing.T) {
	const seed = 1
	rng := rand.New(rand.NewPCG(seed, 0))
	t.Logf("seed %d", seed)
	server, err := listsvc.Open(listsvc.Options{Name: "l0", Dir: t.TempDir(), Listen: "127.0.0.1:0",
		Raft: "127.0.0.1:0", HeartbeatTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() {
		if err := server.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
	defer endpoint.Close()
	cl := client.New(server.Addr())
	defer cl.Close()
	if _, err := cl.Write(ctx, nil, catalog.Change{Entry: catalog.Entry{ID: "s-1",
		Addr: endpoint.Listener.Addr().String(), Zone: "z", Kind: "k", Cell: 7, State: catalog.Ready, Weight: 500}}); err != nil {
		t.Fatal(err)
	}
	var all []*machine
	for i := range 3 {
		m := &machine{t: t, name: fmt.Sprintf("n%d", i), dir: t.TempDir()}
		a, err := agent.Open(agent.Options{Dir: filepath.Join(m.dir, "agent"), Listen: "127.0.0.1:0",
			Servers: []string{server.Addr()}, Name: m.name, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		m.agentAddr = a.Addr()
		parts.Go(func() {
			if err := a.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		m.startRelay()
		all = append(all, m)
	}
	k := &acceptedMessages{first: map[int64]time.Time{}, counts: map[int64]int{}}
	loading, stopLoad := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i, m := range all {
		clients.Go(func() { load(loading, t, m, k, i) })
	}
	for i := range 4 {
		doc := &accord.Document{Form: 1, Title: fmt.Sprint(i), Classes: map[string]accord.Class{"order": {Attempts: 3 + i}}}
		data, err := doc.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		p, err := cl.Propose(ctx, listsvc.Proposal{Document: data, HoldMS: 600, WithinMS: 3000})
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 { // a relay restarts at a random time during the change
			time.Sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
			m := all[rng.IntN(len(all))]
			m.stopRelay()
			m.startRelay()
		}
		waitUntilSettled(t, cl, p.Number)
	}
	time.Sleep(200 * time.Millisecond)
	stopLoad()
	clients.Wait()
	for _, m := range all {
		m.stopRelay()
	}
	t.Log("accepted messages by policy:", k.counts)
	counts := invariant.Counts()
	table, err := json.MarshalIndent(counts, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("checks %s", table)
	for name, c := range counts {
		if c.Checked == 0 || c.Broken > 0 {
			t.Errorf("%s: checked %d times, broken %d times", name, c.Checked, c.Broken)
		}
	}
	if len(k.counts) < 3 {
		t.Errorf("messages were accepted under only %d policies", len(k.counts))
	}
}

// waitUntilSettled waits until a change has ended and every relay applies the policy in force.
func waitUntilSettled(t *testing.T, cl *client.Client, number int64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r, err := cl.Policy(context.Background())
		is := err == nil && r.Change == nil && len(r.Outcomes) > 0 && r.Outcomes[len(r.Outcomes)-1].Number == number
		for _, s := range r.Sessions {
			is = is && s.ActivePolicy == r.InForce.Number
		}
		if is {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("change %d has not settled: %+v, %v", number, r, err)
		}
	}
}

// load sends messages to a machine's relay, one after the other.
func load(ctx context.Context, t *testing.T, m *machine, k *acceptedMessages, n int) {
	c := &http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		relayAddr := m.relayAddr
		m.mu.Unlock()
		if relayAddr == "" {
			continue
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+relayAddr+"/order", strings.NewReader("x"))
		if err != nil {
			t.Error(err)
			return
		}
		for name, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("%d-%d", n, i),
			"X-Qos": "order", "X-Customer": "a", "X-Expires-In-Ms": "4000", "Envelope": "dest=7"} {
			req.Header.Set(name, v)
		}
		sent := time.Now()
		res, err := c.Do(req)
		if err != nil {
			var op *net.OpError
			if !errors.As(err, &op) && !errors.Is(err, io.EOF) {
				t.Log(err)
			}
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusAccepted {
			number, _ := strconv.ParseInt(res.Header.Get("X-Policy"), 10, 64) // 0 without the header
			k.add(t, m.name, number, sent)
		}
	}
}
