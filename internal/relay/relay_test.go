package relay

import (
	"bytes"
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
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"wallflow/internal/wal"
	"wallflow/internal/wire"
	"wallflow/policy"
)

const settingsJSON = `{"bounds":{"cancel":true,"connect_timeout_ms":1500.0,"keepalive_ms":15000.0,"max_retry_after_ms":3000.0,
	"may_duplicate":true,"open_cap":438,"retry_after":true,"send_cap":8},
	"extra":{"call_slots":38,"carriage":[0.0,0.03],"per_call":[10,1,1],"separate_routes":[false,true,false]},
	"fleet_size":2,"kinds":["platform","gateway","store"],"membership_mode":"push",
	"realms":[{"name":"acme","quota_per_s":52.5,"share":0.66},{"name":"bolt","quota_per_s":15.0,"share":0.34}],
	"rules":{"cold_from":0.18,"fall_ms":3000.0,"overload_factor":2.0,"warm_within_ms":14000.0},
	"services":[{"name":"order","semantics":"idempotency_key","group":"zone","goal_time_ms":3000.0,"give_up_ms":16000.0,
	"repeat_window_ms":10000.0,"value":1.0,"by_arrival":true}],
	"stats":{"fields":[],"how":"none"},"tick_ms":5.0,"weight_kind":"nominal","zones":["a","b"],"zone":0,"novel":[[1,2],null]}`

const configureLine = "bounds.cancel=true bounds.connect_timeout_ms=1500.0 bounds.max_retry_after_ms=3000.0 bounds.open_cap=438 " +
	"bounds.retry_after=true bounds.send_cap=8 extra.call_slots=38 extra.carriage=0.0,0.03 extra.per_call=10,1,1 " +
	"extra.separate_routes=false,true,false fleet_size=2 kinds=platform,gateway,store membership_mode=push realms.count=2 " +
	"realms.0.name=acme realms.0.quota_per_s=52.5 realms.0.share=0.66 realms.1.name=bolt realms.1.quota_per_s=15.0 " +
	"realms.1.share=0.34 rules.cold_from=0.18 rules.fall_ms=3000.0 rules.overload_factor=2.0 rules.warm_within_ms=14000.0 " +
	"services.count=1 services.0.name=order services.0.semantics=idempotency_key services.0.group=zone " +
	"services.0.goal_time_ms=3000.0 services.0.give_up_ms=16000.0 services.0.repeat_window_ms=10000.0 services.0.value=1.0 " +
	"services.0.by_arrival=true weight_kind=nominal"

// The relay's configuration file and the simulator's wire format give the decision module the same settings.
func TestConfigMatchesWireSettings(t *testing.T) {
	c, err := parseConfig([]byte(`{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","settings":` + settingsJSON + `}`))
	if err != nil {
		t.Fatal(err)
	}
	var b wire.Batch
	in := "MARK 1.0 1\nCONFIGURE 0 7 " + configureLine + "\nGO\n"
	if err := wire.NewReader(strings.NewReader(in)).Next(&b); err != nil {
		t.Fatal(err)
	}
	if want := b.Items[0].Settings; !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("from JSON\n%+v\non the wire\n%+v", c.Settings, want)
	}
	if c.ConnectTimeout != 1500*time.Millisecond || c.KeepAlive != 15*time.Second || c.Tick != 5*time.Millisecond ||
		c.Seed != 0x8c1f30d27a5be964 || !reflect.DeepEqual(c.Customers, []string{"acme", "bolt"}) {
		t.Errorf("the relay's own settings: %+v", c)
	}
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// newTestRelay returns a relay whose loop is not running: the test handles its events.
func newTestRelay(t *testing.T) *Relay {
	t.Helper()
	c, err := parseConfig([]byte(`{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON +
		`,"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	c.StateDir = t.TempDir()
	r, err := New(c, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.hosts.close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); r.runningCalls.Wait() })
	r.callCtx = ctx
	r.resume()
	return r
}

// submissionRequest returns a valid request that submits a message.
func submissionRequest(ctx context.Context, id string) *http.Request {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/order", strings.NewReader("body"))
	for k, v := range map[string]string{
		"X-Trace-Id": id, "X-Qos": "order", "X-Customer": "bolt", "Idempotency-Key": "k", "Envelope": "dest=7",
		"X-Expires-In-Ms": "5000",
	} {
		req.Header.Set(k, v)
	}
	return req
}

// stepNextEvent handles the loop's next event and returns it.
func (r *Relay) stepNextEvent() any {
	e := <-r.events
	r.step([]any{e})
	return e
}

// A client that stops waiting for the answer submits its message again under another id: the first submission must be
// withdrawn, so that the message is not sent twice.
func TestDisconnectBeforeAnswerWithdrawsMessage(t *testing.T) {
	r := newTestRelay(t)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.newServer().Handler.ServeHTTP(httptest.NewRecorder(), submissionRequest(ctx, "m1"))
	}()
	e := <-r.events
	leave()
	r.step([]any{e})
	for {
		if _, ok := r.stepNextEvent().(withdrawal); ok {
			break
		}
	}
	<-done
	eventually(t, "the message is forgotten", func() bool { // its call may still be in flight
		select {
		case e := <-r.events:
			r.step([]any{e})
		default:
		}
		return len(r.msgs) == 0 && r.held == 0
	})
}

// A write-ahead log that is not the relay's own or is damaged does not keep the relay from serving. It is logged once.
func TestUnreadableLogIsReportedOnce(t *testing.T) {
	cfg := newTestRelay(t).cfg
	cfg.StateDir = t.TempDir()
	foreign := bytes.Repeat([]byte("not a log of ours\n"), 1000)
	if err := os.WriteFile(filepath.Join(cfg.StateDir, "wal.log"), foreign, 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() (r *Relay, logged string) {
		var out bytes.Buffer
		r, err := New(cfg, slog.New(slog.NewTextHandler(&out, nil)))
		if err != nil {
			t.Fatal(err)
		}
		r.callCtx = t.Context()
		r.resume()
		return r, out.String()
	}
	r, logged := start()
	if n := strings.Count(logged, "write-ahead log was unreadable"); n != 1 ||
		!strings.Contains(logged, fmt.Sprintf("bytes=%d", len(foreign))) {
		t.Errorf("logged %d times: %s", n, logged)
	}
	sub := &submission{msg: &wal.Message{Trace: "m1", Dest: 7, Deadline: time.Now().Add(testTimeout)}, class: r.names.Load().classes["order"],
		reply: make(chan answer, 1)}
	r.step([]any{sub})
	if a := <-sub.reply; a.status != http.StatusAccepted {
		t.Errorf("a message was answered %d", a.status)
	}
	r.runningCalls.Wait()
	if err := r.closeLog(); err != nil {
		t.Fatal(err)
	}
	again, logged := start()
	if strings.Contains(logged, "unreadable") || len(again.msgs) != 1 {
		t.Errorf("%d messages found at the next start, and logged: %s", len(again.msgs), logged)
	}
	again.runningCalls.Wait()
}

// The loop clears a call that was held up message by message.
func TestClearancePerMessage(t *testing.T) {
	r := newTestRelay(t)
	c := &call{route: "s-1"}
	for _, id := range []string{"m1", "m2"} {
		sub := &submission{msg: &wal.Message{Trace: id, Dest: 7, Deadline: time.Now().Add(testTimeout)}, class: r.names.Load().classes["order"],
			reply: make(chan answer, 1)}
		r.step([]any{sub})
		c.attempts = append(c.attempts, &attempt{call: c, msg: r.msgs[sub.msg.ID]})
	}
	first := c.attempts[0].msg
	r.step([]any{withdrawal{first.ID}})
	request := clearanceRequest{c, make(chan []*attempt, 1)}
	r.step([]any{request})
	if cleared := <-request.reply; len(cleared) != 1 || cleared[0] != c.attempts[1] {
		t.Errorf("%d may be sent, want the one that was not withdrawn", len(cleared))
	}
}

// A message that is submitted again under its id, because its connection closed before the answer, is accepted once.
func TestResubmittedMessageIsAcceptedOnce(t *testing.T) {
	r := newTestRelay(t)
	for range 2 {
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.newServer().Handler.ServeHTTP(w, submissionRequest(t.Context(), "m1"))
		}()
		for {
			if _, ok := r.stepNextEvent().(*submission); ok {
				break
			}
		}
		<-done
		if w.Code != http.StatusAccepted {
			t.Errorf("status %d", w.Code)
		}
	}
	if len(r.msgs) != 1 {
		t.Errorf("%d messages held", len(r.msgs))
	}
}

// If the write-ahead log cannot be written, as with a full disk, new messages are refused and nothing is sent unrecorded.
func TestFullDiskRefusesNewMessages(t *testing.T) {
	r := newTestRelay(t)
	if err := r.wal.Close(); err != nil { // every write fails from here on
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.newServer().Handler.ServeHTTP(w, submissionRequest(t.Context(), "m1"))
	}()
	r.stepNextEvent()
	<-done
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if len(r.msgs) != 0 || r.held != 0 || r.callsInFlight != 0 {
		t.Errorf("%d held, %d in flight", r.held, r.callsInFlight)
	}
}

func TestUnreadableListEntryDoesNotAffectOthers(t *testing.T) {
	r := newTestRelay(t)
	l, err := parseList([]byte(`{"version":2,"full":true,"servers":[7,{"id":"s-1","state":"asleep"},{"id":"s-8","zone":"x"},
		{"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"store","cell":3,"state":"ready","weight":5}]}`))
	if err != nil {
		t.Fatal(err)
	}
	e := r.applyList(l)
	if len(r.routes) != 2 || r.routes["s-1"].addr != "127.0.0.1:1" || r.routes["s-2"].Zone != 1 || len(e.List) != 2 {
		t.Errorf("routes %+v", r.routes)
	}
}

// A watch whose connection was cut is detected by its silence alone, and the next one resumes where it ended.
func TestSilentWatchIsRestarted(t *testing.T) {
	indexes := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		indexes <- req.URL.Query().Get("index")
		fmt.Fprintln(w, `{"version":9,"full":true,"servers":[]}`)
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	}))
	defer s.Close()
	lists := make(chan HostList, 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	timing := watchTimingFor(policy.Settings{})
	timing.silenceTimeout = 50 * time.Millisecond
	w := watcher{log: discardLogger(), client: newAgentClient(), addr: addrOf(s), timing: timing,
		onList: func(l HostList) { lists <- l }, rng: rand.New(rand.NewPCG(1, 0))}
	go w.run(ctx, 4)
	for _, want := range []string{"4", "9"} {
		select {
		case got := <-indexes:
			if l := <-lists; got != want || l.Version != 9 || !l.Full {
				t.Errorf("watch from %s, want %s; list %+v", got, want, l)
			}
		case <-time.After(testTimeout):
			t.Fatalf("no watch from %s", want)
		}
	}
}

func TestNoticesAreRepeatedUntilAccepted(t *testing.T) {
	var mu sync.Mutex
	var posts, lines int
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		mu.Lock()
		defer mu.Unlock()
		if posts++; posts < 3 {
			w.WriteHeader([]int{500, 200}[posts-1]) // neither is 204
			return
		}
		for line := range strings.Lines(string(body)) {
			var n map[string]any
			if json.Unmarshal([]byte(line), &n) != nil || n["id"] == nil {
				t.Errorf("line %q", line)
			}
			lines++
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	accepted := make(chan []uint32, 10)
	f := newNoticeSender(discardLogger(), newAgentClient(), addrOf(s), func(ids []uint32) { accepted <- ids })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.add(notice{messageID: 1, ID: "a", Status: "undeliverable"}, notice{messageID: 2, ID: "b", Status: "deferred", AgainMS: 500})
	go f.run(ctx)
	select {
	case ids := <-accepted:
		if len(ids) != 2 || lines != 2 || posts != 3 {
			t.Errorf("accepted %v after %d requests, %d lines", ids, posts, lines)
		}
	case <-time.After(testTimeout):
		t.Fatal("never accepted")
	}
}

// Messages share a call only as long as its body stays within the size limit.
func TestBundleSizeLimit(t *testing.T) {
	r := newTestRelay(t)
	r.routes["s-1"] = listedHost{Listing: policy.Listing{Route: "s-1", Kind: 0, InService: true}, addr: "127.0.0.1:1"}
	var calls []*call
	for i, size := range []int{20_000, 20_000, 20_000, 0, 64 << 10, 5} {
		m := &message{Message: &wal.Message{Trace: fmt.Sprint("<", i, ">"), Key: "&&&&", Body: make([]byte, size)}}
		calls = r.addToCall(calls, m, policy.Action{Kind: policy.Send, Route: "s-1", TimeoutAt: time.Minute})
	}
	sent := 0
	for _, c := range calls {
		sent += len(c.attempts)
		if body := encodeBundle(c); len(c.attempts) > 1 && (len(body) > maxBodyBytes || len(body) > c.size) {
			t.Errorf("%d messages in %d bytes, %d counted", len(c.attempts), len(body), c.size)
		}
	}
	if sent != 6 || len(calls) != 3 {
		t.Errorf("%d messages in %d calls", sent, len(calls))
	}
}

// Attempts may be missing from a damaged log, so its messages are ended instead of being sent again.
func TestDamagedLogRepeatsNothing(t *testing.T) {
	r := newTestRelay(t)
	for _, id := range []string{"m1", "m2", "m3"} {
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.newServer().Handler.ServeHTTP(w, submissionRequest(t.Context(), id))
		}()
		for {
			if _, ok := r.stepNextEvent().(*submission); ok {
				break
			}
		}
		<-done
	}
	path := filepath.Join(r.cfg.StateDir, "wal.log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[strings.Index(string(data), "m2")] ^= 0x55
	cfg := r.cfg
	cfg.StateDir = t.TempDir()
	if err := os.WriteFile(filepath.Join(cfg.StateDir, "wal.log"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	again.callCtx = t.Context()
	again.resume()
	if again.callsInFlight != 0 || again.held != 0 || len(again.notices.queue) != 2 || again.notices.queue[0].Status != "undeliverable" {
		t.Errorf("%d calls out, %d held, notices %+v", again.callsInFlight, again.held, again.notices.queue)
	}
}

// submitToHandler submits a message through the server's handler, calls beforeStep once the submission has reached the
// loop, handles it and returns the answer.
func (r *Relay) submitToHandler(ctx context.Context, id string, beforeStep func()) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.newServer().Handler.ServeHTTP(w, submissionRequest(ctx, id))
	}()
	e := <-r.events
	for ; ; e = <-r.events {
		if _, ok := e.(*submission); ok {
			break
		}
		r.step([]any{e})
	}
	beforeStep()
	r.step([]any{e})
	<-done
	return w
}

// A connection closes while its request is handled, and the client submits the message again. The disconnect of the first
// connection must not withdraw the message, which the second connection was told is accepted.
func TestWithdrawalAfterResubmissionIsIgnored(t *testing.T) {
	r := newTestRelay(t)
	r.routes, r.sender = nil, newSender(t, r.cfg) // without a host the message is held
	ctx, leave := context.WithCancel(t.Context())
	first := r.submitToHandler(ctx, "m1", leave)
	if first.Code != http.StatusInternalServerError {
		t.Errorf("the submission whose client has disconnected: status %d", first.Code)
	}
	gone := <-r.events // the first submission's withdrawal is handled after the second submission
	second := r.submitToHandler(t.Context(), "m1", func() {})
	if second.Code != http.StatusAccepted {
		t.Fatalf("the second submission: status %d", second.Code)
	}
	r.step([]any{gone})
	if len(r.msgs) != 1 || r.held != 1 {
		t.Errorf("%d messages, %d held: the accepted message is gone", len(r.msgs), r.held)
	}
}

// A message that was withdrawn while an attempt is in flight is not accepted again under its id: it would never be sent.
func TestWithdrawnIDIsNotAcceptedAgain(t *testing.T) {
	r := newTestRelay(t)
	m := &message{Message: &wal.Message{ID: 9, Trace: "m1"}, inFlight: 1}
	r.msgs[9], r.byTrace["m1"], r.held = m, m, 1
	r.step([]any{withdrawal{9}})
	if w := r.submitToHandler(t.Context(), "m1", func() {}); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
}

func newSender(t *testing.T, cfg Config) *policy.Sender {
	t.Helper()
	s, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A process that is killed while a destination is in an outage or is warming up leaves what it knows to the next process,
// whether or not that one's initial list has the route.
func TestSuspicionSurvivesRestart(t *testing.T) {
	for _, listed := range []bool{true, false} {
		r := newTestRelay(t)
		r.callCtx = t.Context()
		for id := range uint32(3) { // refused connections in a row
			sub := &submission{msg: &wal.Message{Trace: fmt.Sprint(id), Key: "k", Dest: 7, Deadline: time.Now().Add(testTimeout)},
				class: r.names.Load().classes["order"], reply: make(chan answer, 1)}
			r.step([]any{sub})
		}
		for end := time.Now().Add(testTimeout); len(r.sender.Suspicions()) == 0 && time.Now().Before(end); {
			select {
			case e := <-r.events:
				r.step([]any{e})
			case <-time.After(10 * time.Millisecond):
				r.step(nil)
			}
		}
		want := fmt.Sprint(r.sender.Suspicions())
		if want == "[]" {
			t.Fatal("refused connections raised no suspicion")
		}
		cfg := r.cfg
		if err := r.lock.Release(); err != nil { // as if killed: nothing more is written
			t.Fatal(err)
		}
		known := cfg.KnownHosts
		if !listed {
			cfg.KnownHosts = HostList{}
		}
		next, err := New(cfg, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		next.callCtx = t.Context()
		next.resume()
		if !listed {
			next.step([]any{known})
		}
		if got := fmt.Sprint(next.sender.Suspicions()); got != want {
			t.Errorf("listed at the start %v: %s, wanted %s", listed, got, want)
		}
		next.runningCalls.Wait()
		r.runningCalls.Wait()
		if err := next.closeLog(); err != nil {
			t.Fatal(err)
		}
		next.hosts.close()
	}
}

// Recovered messages are counted by how they end.
func TestRecoveredMessagesAreCounted(t *testing.T) {
	r := newTestRelay(t)
	class := r.names.Load().classes["order"]
	ms := make([]*wal.Message, 4)
	for i, timeLeft := range []time.Duration{testTimeout, -time.Second, testTimeout, testTimeout} {
		ms[i] = &wal.Message{ID: uint32(i + 1), Trace: fmt.Sprint(i), Key: "k", Dest: 7, Terms: class.termsNumber,
			Deadline: time.Now().Add(timeLeft)}
	}
	if err := r.wal.Accept(ms...); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{2, 3} { // long ago: the deduplication window has ended
		if err := r.wal.RecordSends(wal.Send{Message: ms[i], Attempt: wal.Attempt{Host: "s-1", At: time.Now().Add(-time.Hour)}}); err != nil {
			t.Fatal(err)
		}
	}
	r.wal.RecordNeverRan(ms[3], 0)
	if err := errors.Join(r.wal.Flush(), r.lock.Release()); err != nil {
		t.Fatal(err)
	}
	addr, _ := newRawHost(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	cfg := r.cfg
	cfg.KnownHosts.Entries = []json.RawMessage{bytes.ReplaceAll(cfg.KnownHosts.Entries[0], []byte("127.0.0.1:1"), []byte(addr))}
	next, err := New(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer next.hosts.close()
	next.callCtx = t.Context()
	next.resume()
	if got := next.recoveryCounts; got.found != 4 || got.unsent != 3 || got.mayHaveRun != 1 || got.expired != 1 {
		t.Errorf("at the start %+v", got)
	}
	for end := time.Now().Add(2 * testTimeout); next.recoveryCounts.remaining() > 0 && time.Now().Before(end); {
		select {
		case e := <-next.events:
			next.step([]any{e})
		case <-time.After(10 * time.Millisecond):
			next.step(nil)
		}
	}
	if got := next.recoveryCounts; got.attempted != 2 || got.endedEarly != 0 || got.remaining() != 0 {
		t.Errorf("at the end %+v", got)
	}
	next.runningCalls.Wait()
}

// If a process is killed while it waits for a connection, its log shows that the message has not run, so that it may be sent
// again. Before the first byte of a call can be written, the attempt is in the log.
func TestAttemptIsLoggedBeforeFirstByte(t *testing.T) {
	r := newTestRelay(t)
	defer close(r.loopDone) // unblocks calls that wait for the loop at the end
	dir := r.cfg.StateDir
	recoverable := func() string {
		copied := t.TempDir()
		data, err := os.ReadFile(filepath.Join(dir, "wal.log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(copied, "wal.log"), data, 0o600)
		}
		if err != nil {
			t.Error(err)
			return ""
		}
		l, rec, err := wal.Open(copied, 3e6)
		if err != nil {
			t.Error(err)
			return ""
		}
		defer l.Close()
		text := ""
		for _, m := range rec.Messages {
			text += fmt.Sprint(m.Trace, " ", len(m.MayRun), " ")
		}
		return text
	}
	seen := make(chan string, 2)
	addr, _ := newRawHost(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n <= 2 { // later ones may arrive after the test's end
			seen <- recoverable()
		}
		io.WriteString(conn, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r.routes["s-1"] = listedHost{r.routes["s-1"].Listing, addr}
	dialing, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	r.hosts.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		once.Do(func() { close(dialing) })
		<-proceed
		return dialHost(ctx, network, addr)
	}
	submit := func(id string) {
		sub := &submission{msg: &wal.Message{Trace: id, Key: "k", Dest: 7, Deadline: time.Now().Add(testTimeout)},
			class: r.names.Load().classes["order"], reply: make(chan answer, 1)}
		r.step([]any{sub})
		if a := <-sub.reply; a.status != http.StatusAccepted {
			t.Fatalf("answered %d", a.status)
		}
	}
	submit("a")
	<-dialing
	if got := recoverable(); got != "a 0 " {
		t.Errorf("killed while connecting: %q", got)
	}
	close(proceed)
	r.stepNextEvent() // the clearance request
	if got := <-seen; got != "a 1 " {
		t.Errorf("killed while the host handles the call: %q", got)
	}
	r.stepNextEvent() // the end of the call: a second attempt starts on the pooled connection, or waits
	submit("b")
	for len(seen) == 0 {
		select {
		case e := <-r.events:
			r.step([]any{e})
		case <-time.After(10 * time.Millisecond):
			r.step(nil)
		}
	}
	if got := <-seen; strings.Contains(got, "a 1 b 0") || got == "" {
		t.Errorf("on a pooled connection: %q", got)
	}
}
