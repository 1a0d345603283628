package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The tests run the relay as a separate process, so that signals and restarts are real. The process is this test binary with an
// environment variable set.
func TestMain(m *testing.M) {
	if os.Getenv("CHERRYTRESTLE_TEST_RELAY") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const waitTimeout = 15 * time.Second // longer than any condition takes to become true

// waitUntil polls until the condition ok is true.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// member is an entry of the list of endpoints.
type member map[string]any

func newMember(id, addr, zone, kind string, state string) member {
	return member{"id": id, "addr": addr, "zone": zone, "kind": kind, "cell": 7, "state": state, "weight": 500.0}
}

// fakeDiscovery is a fake discovery agent. It serves the list of endpoints to watches and accepts notices.
type fakeDiscovery struct {
	*httptest.Server
	mu           sync.Mutex
	version      int
	watchLines   chan string // lines to send to the current watch
	watchIndexes []string    // index parameters of the watch requests
	notices      []map[string]any
	failNotices  int // number of requests with notices to fail first
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	discovery := &fakeDiscovery{version: 1, watchLines: make(chan string, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		discovery.mu.Lock()
		discovery.watchIndexes = append(discovery.watchIndexes, r.URL.Query().Get("index"))
		discovery.mu.Unlock()
		for {
			select {
			case line := <-discovery.watchLines:
				fmt.Fprintln(w, line)
			case <-time.After(500 * time.Millisecond):
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	})
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		if discovery.failNotices > 0 {
			discovery.failNotices--
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		for lines := json.NewDecoder(r.Body); ; {
			var f map[string]any
			if err := lines.Decode(&f); err == io.EOF {
				break
			} else if err != nil {
				t.Errorf("notice: %v", err)
				break
			}
			discovery.notices = append(discovery.notices, f)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	discovery.Server = httptest.NewServer(mux)
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	return discovery
}

// sendList sends a change of the list, or a full list, to the watch.
func (d *fakeDiscovery) sendList(full bool, members ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	line, _ := json.Marshal(map[string]any{"version": d.version, "full": full, "servers": members})
	d.watchLines <- string(line)
}

// noticeFor returns the notice for a message, or nil.
func (d *fakeDiscovery) noticeFor(id string) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.notices {
		if f["id"] == id {
			return f
		}
	}
	return nil
}

// fakeHost is a fake endpoint that records the messages it receives.
type fakeHost struct {
	*httptest.Server
	mu          sync.Mutex
	receivedIDs []string    // message IDs in the order of arrival
	receivedAt  []time.Time // arrival time of each
	calls       int
	answer      func(w http.ResponseWriter, r *http.Request, ids []string)
}

func newFakeHost(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, ids []string)) *fakeHost {
	h := &fakeHost{answer: answer}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		ids := []string{r.Header.Get("X-Trace-Id")}
		if strings.HasSuffix(r.URL.Path, "/bundle") {
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil {
				t.Errorf("bundle: %s", body)
			}
			ids = ids[:0]
			for _, x := range items {
				ids = append(ids, x.ID)
			}
		}
		h.mu.Lock()
		h.calls++
		for _, id := range ids {
			h.receivedIDs, h.receivedAt = append(h.receivedIDs, id), append(h.receivedAt, time.Now())
		}
		h.mu.Unlock()
		if h.answer != nil {
			h.answer(w, r, ids)
		}
	}))
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return h
}

func (h *fakeHost) addr() string { return h.Listener.Addr().String() }

func (h *fakeHost) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, x := range h.receivedIDs {
		if x == id {
			n++
		}
	}
	return n
}

// relayProcess is a relay with a fixed configuration and address, which can be restarted.
type relayProcess struct {
	t      *testing.T
	dir    string
	addr   string
	mgmt   string
	cmd    *exec.Cmd
	client *http.Client
}

// freeAddr returns a loopback address that nothing listens on. It uses a random host: on 127.0.0.1 the port might be assigned to
// a connection of another process before the relay binds it.
func freeAddr(t *testing.T) string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	must(t, err)
	defer l.Close()
	return l.Addr().String()
}

// newRelay writes the configuration, with settings altered by change, and starts the relay.
func newRelay(t *testing.T, discovery *fakeDiscovery, known []member, change func(settings map[string]any)) *relayProcess {
	settings := map[string]any{
		"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1000, "keepalive_ms": 15000, "max_retry_after_ms": 3000,
			"may_duplicate": true, "open_cap": 50, "retry_after": true, "send_cap": 8},
		"extra":      map[string]any{"call_slots": 8, "per_call": []int{10, 1}, "separate_routes": []bool{false, true}},
		"fleet_size": 1, "kinds": []string{"platform", "gateway"}, "tick_ms": 5, "zones": []string{"a", "b"},
		"rules": map[string]any{"cold_from": 0.2, "fall_ms": 3000, "overload_factor": 2, "warm_within_ms": 14000},
		"services": []map[string]any{{"name": "order", "semantics": "idempotency_key", "group": "zone",
			"goal_time_ms": 3000, "give_up_ms": 16000, "repeat_window_ms": 10000, "value": 1}},
		"realms": []map[string]any{{"name": "acme", "share": 1}},
		"stats":  map[string]any{"how": "none"},
	}
	if change != nil {
		change(settings)
	}
	r := &relayProcess{t: t, dir: t.TempDir(), addr: freeAddr(t), mgmt: freeAddr(t), client: &http.Client{Timeout: 2 * time.Second}}
	must(t, os.Mkdir(filepath.Join(r.dir, "state"), 0o700))
	config, err := json.Marshal(map[string]any{
		"name": "n0", "seed": "8c1f30d27a5be964", "settings": settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
		"known":  map[string]any{"version": 1, "full": true, "servers": known},
	})
	must(t, err)
	must(t, os.WriteFile(filepath.Join(r.dir, "config.json"), config, 0o600))
	t.Cleanup(func() {
		if r.cmd != nil {
			r.kill()
		}
		if t.Failed() {
			log, _ := os.ReadFile(filepath.Join(r.dir, "log"))
			t.Logf("the relay's log:\n%s", log)
		}
	})
	r.start(discovery)
	return r
}

// start starts the process and waits until it is ready.
func (r *relayProcess) start(discovery *fakeDiscovery) {
	r.t.Helper()
	r.spawn(discovery)
	waitUntil(r.t, "ready", func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		if err == nil {
			res.Body.Close()
		}
		return err == nil && res.StatusCode == http.StatusOK
	})
}

// spawn starts the process without waiting for it.
func (r *relayProcess) spawn(discovery *fakeDiscovery) {
	r.t.Helper()
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(r.t, err)
	defer log.Close()
	r.cmd = exec.Command(os.Args[0])
	r.cmd.Stderr = log
	r.cmd.Env = append(os.Environ(), "CHERRYTRESTLE_TEST_RELAY=1", "ROUTER_LISTEN="+r.addr, "ROUTER_MGMT="+r.mgmt,
		"ROUTER_DISCOVERY="+discovery.Listener.Addr().String(), "ROUTER_STATE="+filepath.Join(r.dir, "state"),
		"ROUTER_CONFIG="+filepath.Join(r.dir, "config.json"))
	must(r.t, r.cmd.Start())
}

func (r *relayProcess) kill() {
	r.cmd.Process.Kill()
	r.cmd.Wait()
	r.cmd = nil
	r.client.CloseIdleConnections()
}

// request returns a request that submits a message, altered by edit.
func (r *relayProcess) request(id string, expires time.Duration, edit func(*http.Request)) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+"/order", strings.NewReader("body"))
	must(r.t, err)
	for k, v := range map[string]string{
		"X-Trace-Id": id, "X-Qos": "order", "X-Customer": "acme", "Idempotency-Key": "key-" + id, "Envelope": "dest=7",
		"X-Expires-In-Ms": strconv.FormatInt(expires.Milliseconds(), 10),
	} {
		req.Header.Set(k, v)
	}
	if edit != nil {
		edit(req)
	}
	return req
}

// submit submits a message and returns the status and the Retry-After header of the response.
func (r *relayProcess) submit(id string, expires time.Duration, edit func(*http.Request)) (int, string) {
	r.t.Helper()
	res, err := r.client.Do(r.request(id, expires, edit))
	must(r.t, err)
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return res.StatusCode, res.Header.Get("Retry-After")
}

// submitAccepted submits a message and requires that it is accepted.
func (r *relayProcess) submitAccepted(id string, expires time.Duration) {
	r.t.Helper()
	if status, _ := r.submit(id, expires, nil); status != http.StatusAccepted {
		r.t.Fatalf("%s: status %d", id, status)
	}
}

func TestAcceptsAndDelivers(t *testing.T) {
	discovery, h := newFakeDiscovery(t), newFakeHost(t, nil)
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m1", 10*time.Second)
	r.submitAccepted("m2", 10*time.Second)
	waitUntil(t, "both delivered", func() bool { return h.count("m1") == 1 && h.count("m2") == 1 })
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	discovery, h := newFakeDiscovery(t), newFakeHost(t, nil)
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	set := func(k, v string) func(*http.Request) { return func(q *http.Request) { q.Header.Set(k, v) } }
	for i, c := range []struct {
		edit func(*http.Request)
		want int
	}{
		{set("X-Trace-Id", ""), 400},
		{set("X-Trace-Id", strings.Repeat("x", 300)), 400},
		{set("X-Qos", "other"), 400},
		{set("X-Customer", "nobody"), 400},
		{set("Idempotency-Key", ""), 400},
		{set("Envelope", ""), 400},
		{set("Envelope", "dest=x"), 400},
		{set("Envelope", "dest=-1"), 400},
		{set("X-Expires-In-Ms", ""), 400},
		{set("X-Expires-In-Ms", "-5"), 400},
		{set("X-Expires-In-Ms", "1e3"), 400},
		{set("X-Expires-In-Ms", "99999999999999999999"), 400},
		{func(q *http.Request) { q.URL.Path = "/unknown"; q.Header.Set("X-Qos", "unknown") }, 400},
		{func(q *http.Request) {
			q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10+1)))
			q.ContentLength = 64<<10 + 1
		}, 413},
		{func(q *http.Request) {
			q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10+1)))
			q.ContentLength = -1
		}, 413},
		{func(q *http.Request) { q.Method = http.MethodPut }, 405},
	} {
		id := fmt.Sprint("bad", i)
		if status, _ := r.submit(id, 10*time.Second, c.edit); status != c.want {
			t.Errorf("request %d: status %d, want %d", i, status, c.want)
		}
	}
	big := func(q *http.Request) {
		q.Body = io.NopCloser(bytes.NewReader(make([]byte, 64<<10)))
		q.ContentLength = 64 << 10
	}
	if status, _ := r.submit("big", 10*time.Second, big); status != http.StatusAccepted {
		t.Errorf("64 KiB: status %d", status)
	}
	waitUntil(t, "the valid message delivered", func() bool { return h.count("big") == 1 })
	if h.calls != 1 {
		t.Errorf("%d calls", h.calls)
	}
}

func TestAcceptedMessagesAreLimited(t *testing.T) {
	const capacity = 5
	release := make(chan struct{})
	discovery, h := newFakeDiscovery(t), newFakeHost(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "gateway", "ready")}, func(s map[string]any) {
		s["bounds"].(map[string]any)["open_cap"] = capacity
		s["extra"].(map[string]any)["call_slots"] = 0 // unlimited calls: no message waits that could be refused in favor of another
	})
	defer close(release)
	accepted := 0
	for i := range 3 * capacity {
		status, retryAfter := r.submit(fmt.Sprint("m", i), 10*time.Second, nil)
		switch {
		case status == http.StatusAccepted:
			accepted++
		case status != http.StatusServiceUnavailable || retryAfter == "":
			t.Errorf("status %d, Retry-After %q", status, retryAfter)
		}
	}
	if accepted < capacity-1 || accepted > capacity { // the policy refuses messages shortly before the limit
		t.Errorf("%d accepted, the limit is %d", accepted, capacity)
	}
}

// A message that the relay gives up on ends with a notice, which is sent again until it is accepted.
func TestNoticesAreRetriedUntilAccepted(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.failNotices = 3
	h := newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, _ []string) { w.WriteHeader(http.StatusServiceUnavailable) })
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m1", 700*time.Millisecond)
	waitUntil(t, "a notice", func() bool { return discovery.noticeFor("m1") != nil })
	if f := discovery.noticeFor("m1"); f["status"] != "deferred" || f["again_ms"] == nil {
		t.Errorf("notice %v", f)
	}
}

// A call that was in flight when the process was killed may have taken effect. The next process sends the message again, but only
// in the same zone, where duplicates are dropped.
func TestKillWithCallInFlight(t *testing.T) {
	discovery := newFakeDiscovery(t)
	first := true
	var firstHost *fakeHost
	firstHost = newFakeHost(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		firstHost.mu.Lock()
		hang := first
		first = false
		firstHost.mu.Unlock()
		if hang {
			<-r.Context().Done()
		}
	})
	otherHost := newFakeHost(t, nil)
	r := newRelay(t, discovery, []member{newMember("s-1", firstHost.addr(), "a", "gateway", "ready")}, nil)
	r.submitAccepted("m1", 10*time.Second)
	r.submitAccepted("late", 600*time.Millisecond)
	waitUntil(t, "the call", func() bool { return firstHost.count("m1") == 1 })
	r.kill()
	time.Sleep(700 * time.Millisecond) // the second message expires while no relay is running

	// After the restart the list has a host of higher weight in the other zone.
	heavierMember := newMember("s-0", otherHost.addr(), "b", "gateway", "ready")
	heavierMember["weight"] = 900.0
	r.start(discovery)
	discovery.sendList(false, heavierMember)
	waitUntil(t, "delivered again", func() bool { return firstHost.count("m1") == 2 })
	r.submitAccepted("m2", 10*time.Second)
	waitUntil(t, "a new message at the host of higher weight", func() bool { return otherHost.count("m2") == 1 })
	if otherHost.count("m1") != 0 {
		t.Error("m1 was sent again in another zone")
	}
	if firstHost.count("late") == 0 { // it may have been delivered before the kill
		waitUntil(t, "a notice for the expired message", func() bool { return discovery.noticeFor("late") != nil })
	}

	// Messages that were delivered or ended are not sent again.
	waitUntil(t, "a graceful shutdown", func() bool { return r.terminate() == nil })
	r.start(discovery)
	r.submitAccepted("m3", 10*time.Second)
	waitUntil(t, "m3", func() bool { return firstHost.count("m3")+otherHost.count("m3") == 1 })
	if firstHost.count("m1") != 2 {
		t.Errorf("m1 was sent %d times", firstHost.count("m1"))
	}
}

// terminate sends SIGTERM and returns how the process ended.
func (r *relayProcess) terminate() error {
	r.cmd.Process.Signal(syscall.SIGTERM)
	err := r.cmd.Wait()
	r.cmd = nil
	r.client.CloseIdleConnections()
	return err
}

func TestGracefulShutdown(t *testing.T) {
	discovery := newFakeDiscovery(t)
	callStarted := make(chan struct{}, 10)
	h := newFakeHost(t, func(http.ResponseWriter, *http.Request, []string) {
		callStarted <- struct{}{}
		time.Sleep(time.Second) // a slow call
	})
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "gateway", "ready")}, nil)
	r.submitAccepted("running", 10*time.Second)
	<-callStarted
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	start := time.Now()
	waitUntil(t, "not ready", func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		if err == nil {
			res.Body.Close()
		}
		return err == nil && res.StatusCode == http.StatusServiceUnavailable
	})
	if time.Since(start) < 200*time.Millisecond { // otherwise the machine is too slow for this check
		r.submitAccepted("after", 10*time.Second) // new messages are still accepted
	}
	err := r.terminate()
	if took := time.Since(start); err != nil || took > 3700*time.Millisecond {
		t.Errorf("the process ended after %v: %v", took, err)
	}
	if h.count("running") != 1 {
		t.Errorf("the message whose call was in flight was sent %d times", h.count("running"))
	}
	r.start(discovery)
	r.submitAccepted("next", 10*time.Second)
	waitUntil(t, "the next message", func() bool { return h.count("next") == 1 })
	if h.count("running") != 1 {
		t.Error("a delivered message was sent again")
	}
}

// Clients keep sending during a graceful shutdown and during a kill. No accepted message is lost.
func TestRestartsUnderLoadLoseNothing(t *testing.T) {
	discovery := newFakeDiscovery(t)
	h := newFakeHost(t, func(http.ResponseWriter, *http.Request, []string) { time.Sleep(30 * time.Millisecond) })
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "gateway", "ready")}, nil)
	var mu sync.Mutex
	var accepted []string
	var unanswered int
	sendLoad := func(round string, stop <-chan struct{}) {
		var clients sync.WaitGroup
		for c := range 3 {
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
				defer client.CloseIdleConnections()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%d-%d", round, c, i)
					res, err := client.Do(r.request(id, 30*time.Second, nil)) // the client retries if the connection closes at the same time
					mu.Lock()
					if err != nil {
						unanswered++
					} else if res.StatusCode == http.StatusAccepted {
						accepted = append(accepted, id)
					}
					mu.Unlock()
					if err == nil {
						io.Copy(io.Discard, res.Body)
						res.Body.Close()
					}
				}
			})
		}
		clients.Wait()
	}

	// As with a load balancer, no requests are sent from some tenths of a second after SIGTERM on.
	stop := make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		r.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		close(stop)
	}()
	sendLoad("term", stop)
	if unanswered > 0 {
		t.Errorf("%d requests had no response during the graceful shutdown", unanswered)
	}
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("graceful shutdown: %v", err)
	}
	r.start(discovery)

	stop = make(chan struct{})
	go func() {
		time.Sleep(200 * time.Millisecond)
		r.cmd.Process.Kill()
		close(stop)
	}()
	sendLoad("kill", stop)
	r.cmd.Wait()
	r.start(discovery)
	for _, id := range accepted {
		waitUntil(t, id+" delivered or ended", func() bool { return h.count(id) > 0 || discovery.noticeFor(id) != nil })
	}
	if len(accepted) < 20 {
		t.Errorf("only %d messages accepted, too few for this test", len(accepted))
	}
	for _, id := range accepted {
		if n := h.count(id); strings.HasPrefix(id, "term") && n > 1 {
			t.Errorf("%s was sent %d times although its calls could finish", id, n)
		}
	}
}

func TestDrainingHostIsAvoidedAndWatchResumes(t *testing.T) {
	discovery, firstHost, secondHost := newFakeDiscovery(t), newFakeHost(t, nil), newFakeHost(t, nil)
	firstMember := newMember("s-1", firstHost.addr(), "a", "gateway", "ready")
	firstMember["weight"] = 900.0
	r := newRelay(t, discovery, []member{firstMember, newMember("s-2", secondHost.addr(), "a", "gateway", "ready")}, nil)
	r.submitAccepted("m1", 10*time.Second)
	waitUntil(t, "m1 at the host of higher weight", func() bool { return firstHost.count("m1") == 1 })
	firstMember["state"] = "draining"
	discovery.sendList(false, firstMember, member{"id": 17}, member{"id": "s-9", "state": "asleep"}) // the other two entries are invalid
	waitUntil(t, "a message to the other host", func() bool {
		id := fmt.Sprint("m", time.Now().UnixNano())
		r.submitAccepted(id, 10*time.Second)
		waitUntil(t, id, func() bool { return firstHost.count(id)+secondHost.count(id) == 1 })
		return secondHost.count(id) == 1
	})
	r.submitAccepted("m2", 10*time.Second)
	waitUntil(t, "m2", func() bool { return secondHost.count("m2") == 1 })

	discovery.CloseClientConnections()
	waitUntil(t, "a second watch", func() bool { discovery.mu.Lock(); defer discovery.mu.Unlock(); return len(discovery.watchIndexes) > 1 })
	if discovery.watchIndexes[0] != "1" || discovery.watchIndexes[1] != "2" {
		t.Errorf("index parameters of the watches: %v", discovery.watchIndexes)
	}
	firstMember["state"] = "ready"
	discovery.sendList(true, firstMember) // a full list: the other host is removed
	waitUntil(t, "back at the first host", func() bool {
		id := fmt.Sprint("n", time.Now().UnixNano())
		r.submitAccepted(id, 10*time.Second)
		waitUntil(t, id, func() bool { return firstHost.count(id)+secondHost.count(id) == 1 })
		return firstHost.count(id) == 1
	})
}

func TestRetryAfterIsHonored(t *testing.T) {
	const wait = 600 * time.Millisecond
	discovery := newFakeDiscovery(t)
	var mu sync.Mutex
	var advisedAt time.Time
	h := newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, _ []string) {
		mu.Lock()
		defer mu.Unlock()
		if advisedAt.IsZero() {
			advisedAt = time.Now()
			w.Header().Set("Retry-After", "0.600")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m1", 10*time.Second)
	waitUntil(t, "the response with Retry-After", func() bool { return h.count("m1") == 1 })
	for i := range 5 {
		r.submitAccepted(fmt.Sprint("w", i), 10*time.Second)
	}
	waitUntil(t, "all delivered", func() bool { return h.count("m1") == 2 && h.count("w4") == 1 })
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, id := range h.receivedIDs {
		if since := h.receivedAt[i].Sub(advisedAt); i > 0 && since < wait && since > 100*time.Millisecond {
			t.Errorf("%s arrived %v after Retry-After was sent", id, since)
		}
	}
}

// Messages that wait for a route are sent together in one call when it becomes available.
func TestWaitingMessagesAreBundled(t *testing.T) {
	discovery := newFakeDiscovery(t)
	var mu sync.Mutex
	var largestBundle, calls int
	h := newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls == 1 {
			w.Header().Set("Retry-After", "0.4")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if largestBundle = max(largestBundle, len(ids)); len(ids) > 1 {
			var states []string
			for i, id := range ids {
				states = append(states, fmt.Sprintf(`{"id":%q,"state":%q}`, id, []string{"ok", "later"}[i%2]))
			}
			fmt.Fprintf(w, "[%s]", strings.Join(states, ","))
		}
	})
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m0", 10*time.Second)
	waitUntil(t, "the response with Retry-After", func() bool { return h.count("m0") == 1 })
	for i := range 8 {
		r.submitAccepted(fmt.Sprint("b", i), 10*time.Second)
	}
	waitUntil(t, "a bundle", func() bool { mu.Lock(); defer mu.Unlock(); return largestBundle > 1 })
	if largestBundle > 10 {
		t.Errorf("%d messages in one call", largestBundle)
	}
}

// Incomplete requests and silent connections block neither other clients nor the shutdown.
func TestIncompleteRequestsBlockNobody(t *testing.T) {
	discovery, h := newFakeDiscovery(t), newFakeHost(t, nil)
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	for _, part := range []string{"", "POST /ord", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"} {
		conn, err := net.Dial("tcp", r.addr)
		must(t, err)
		defer conn.Close()
		fmt.Fprint(conn, part)
	}
	bad, err := net.Dial("tcp", r.addr)
	must(t, err)
	defer bad.Close()
	fmt.Fprint(bad, "NONSENSE\r\n\r\n")
	if line, err := bufio.NewReader(bad).ReadString('\n'); err != nil || !strings.Contains(line, "400") {
		t.Errorf("response to an invalid request: %q, %v", line, err)
	}
	r.submitAccepted("m1", 10*time.Second)
	waitUntil(t, "delivered", func() bool { return h.count("m1") == 1 })
	if err := r.terminate(); err != nil {
		t.Errorf("shutdown with incomplete requests: %v", err)
	}
}

// reconfigure replaces the configuration file and sends SIGHUP to the relay.
func (r *relayProcess) reconfigure(text []byte) {
	r.t.Helper()
	next := filepath.Join(r.dir, "config.next")
	must(r.t, os.WriteFile(next, text, 0o600))
	must(r.t, os.Rename(next, filepath.Join(r.dir, "config.json")))
	must(r.t, r.cmd.Process.Signal(syscall.SIGHUP))
}

// After SIGHUP with a new discovery address the relay watches the list there and sends its notices there, including those that the
// old address never accepted. Accepted messages are kept, and an invalid file changes nothing.
func TestSIGHUPChangesDiscoveryAddress(t *testing.T) {
	oldDiscovery, newDiscovery := newFakeDiscovery(t), newFakeDiscovery(t)
	oldDiscovery.failNotices = 1 << 30
	oldHost, newHost := newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "lost" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), newFakeHost(t, nil)
	r := newRelay(t, oldDiscovery, []member{newMember("s-1", oldHost.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m1", 10*time.Second)
	waitUntil(t, "delivery to the host from the configuration", func() bool { return oldHost.count("m1") == 1 })
	r.submitAccepted("lost", 300*time.Millisecond)
	waitUntil(t, "a notice that the old address rejects", func() bool {
		oldDiscovery.mu.Lock()
		defer oldDiscovery.mu.Unlock()
		return oldDiscovery.failNotices < 1<<30
	})

	text, err := os.ReadFile(filepath.Join(r.dir, "config.json"))
	must(t, err)
	r.reconfigure([]byte("{"))
	var config map[string]any
	must(t, json.Unmarshal(text, &config))
	config["discovery"] = newDiscovery.Listener.Addr().String()
	text, err = json.Marshal(config)
	must(t, err)
	r.reconfigure(text)
	waitUntil(t, "the notice at the new address", func() bool { return newDiscovery.noticeFor("lost") != nil })
	waitUntil(t, "a watch at the new address", func() bool {
		newDiscovery.mu.Lock()
		defer newDiscovery.mu.Unlock()
		return len(newDiscovery.watchIndexes) > 0
	})
	oldDiscovery.CloseClientConnections()
	oldDiscovery.Close()
	newDiscovery.sendList(true, newMember("s-2", newHost.addr(), "a", "platform", "ready"))
	for i := 0; newHost.count(fmt.Sprint("n", i)) == 0; i++ {
		if i == 500 {
			t.Fatal("the list at the new address is not used")
		}
		r.submitAccepted(fmt.Sprint("n", i+1), 10*time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	r.reconfigure(text) // the same configuration again
	r.submitAccepted("m2", 10*time.Second)
	waitUntil(t, "delivery to the new host", func() bool { return newHost.count("m2") == 1 })
	if err := r.terminate(); err != nil {
		t.Errorf("graceful shutdown: %v", err)
	}
}
