package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// managementCall sends a command to a management address and returns the response, or "" if there is none.
func managementCall(t *testing.T, addr, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintln(conn, call)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return ""
	}
	return string(answer)
}

// statistic returns the value of one of the statistics, or "" if there is none of this name.
func statistic(t *testing.T, addr, name string) string {
	t.Helper()
	for line := range strings.Lines(managementCall(t, addr, "stats")) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+"="); ok {
			return value
		}
	}
	return ""
}

// answerDelivered responds that all messages of a call were delivered.
func answerDelivered(w http.ResponseWriter, ids []string) {
	states := []map[string]string{}
	for _, id := range ids {
		states = append(states, map[string]string{"id": id, "state": "ok"})
	}
	json.NewEncoder(w).Encode(states)
}

// The command standby drains the relay: it reports that it is not ready and closes client connections, but still accepts
// messages. The command active ends the drain.
func TestStandbyAndActive(t *testing.T) {
	discovery, h := newFakeDiscovery(t), newFakeHost(t, nil)
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	if got := managementCall(t, r.mgmt, "status"); got != "YES\n" {
		t.Fatalf("status: %q", got)
	}
	r.submitAccepted("m1", 10*time.Second)
	waitUntil(t, "the delivery counted", func() bool {
		return statistic(t, r.mgmt, "relay.ok.order") == "1" && statistic(t, r.mgmt, "relay.tries.order") == "1" &&
			statistic(t, r.mgmt, "relay.active") == "0" && statistic(t, r.mgmt, "relay.pool_size") == "1"
	})
	healthy := func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		must(t, err)
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	for range 2 {
		if got := managementCall(t, r.mgmt, "standby"); got != "YES\n" {
			t.Fatalf("standby: %q", got)
		}
	}
	waitUntil(t, "the health check to fail", func() bool { return !healthy() })
	if got := managementCall(t, r.mgmt, "status"); got != "NO\n" {
		t.Errorf("status while draining: %q", got)
	}
	res, err := r.client.Do(r.request("m2", 10*time.Second, nil))
	must(t, err)
	res.Body.Close()
	if res.StatusCode != http.StatusAccepted || !res.Close {
		t.Errorf("a message while draining: status %s, connection closed %v", res.Status, res.Close)
	}
	waitUntil(t, "delivery while draining", func() bool { return h.count("m2") == 1 })
	for range 2 {
		if got := managementCall(t, r.mgmt, "active"); got != "YES\n" {
			t.Fatalf("active: %q", got)
		}
	}
	waitUntil(t, "the health check to succeed", healthy)
	r.submitAccepted("m3", 10*time.Second)
	waitUntil(t, "delivery after the drain", func() bool { return h.count("m3") == 1 })
	if !strings.HasSuffix(managementCall(t, r.mgmt, "stats"), "\nEND\n") {
		t.Error("the statistics do not end with END")
	}
}

// SIGHUP replaces one class by another. Messages of the new class are accepted and those of the old one are not, but accepted
// messages of the old class keep their terms, also in the next process. An invalid file changes nothing and is counted.
func TestSIGHUPChangesClasses(t *testing.T) {
	discovery := newFakeDiscovery(t)
	var accepting atomic.Bool
	h := newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if accepting.Load() {
			answerDelivered(w, ids)
			return
		}
		w.Header().Set("Retry-After", "5")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	r := newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.submitAccepted("m1", 12*time.Second)
	waitUntil(t, "the host ejected, so that no call is in flight", func() bool { return statistic(t, r.mgmt, "relay.pool_ejected") == "1" })
	path := filepath.Join(r.dir, "config.json")
	text, err := os.ReadFile(path)
	must(t, err)
	var config map[string]any
	must(t, json.Unmarshal(text, &config))
	config["discovery"] = discovery.Listener.Addr().String()
	services := config["settings"].(map[string]any)["services"].([]any)
	service := services[0].(map[string]any)
	service["name"], service["semantics"] = "parcel", "non_idempotent"
	changed, err := json.Marshal(config)
	must(t, err)
	r.reconfigure(changed[:len(changed)/2])
	waitUntil(t, "the invalid file rejected", func() bool { return statistic(t, r.mgmt, "relay.config_rejected") == "1" })
	r.submitAccepted("m2", 12*time.Second)
	r.reconfigure(changed)
	waitUntil(t, "the new configuration applied", func() bool { return statistic(t, r.mgmt, "relay.config_applied") == "1" })
	parcel := func(q *http.Request) { q.URL.Path = "/parcel"; q.Header.Set("X-Qos", "parcel") }
	if status, _ := r.submit("m3", 12*time.Second, parcel); status != http.StatusAccepted {
		t.Errorf("the new class: status %d", status)
	}
	if status, _ := r.submit("m4", 12*time.Second, nil); status != http.StatusBadRequest {
		t.Errorf("the removed class: status %d", status)
	}
	accepting.Store(true)
	r.kill()
	r.start(discovery)
	waitUntil(t, "all messages delivered and counted for their classes", func() bool {
		return statistic(t, r.mgmt, "relay.ok.order") == "2" && statistic(t, r.mgmt, "relay.ok.parcel") == "1"
	})
}

// startSecond starts a second process of the same relay with its own management address and waits until it serves.
func (r *relayProcess) startSecond(discovery *fakeDiscovery) *relayProcess {
	r.t.Helper()
	next := &relayProcess{t: r.t, dir: r.dir, addr: r.addr, mgmt: freeAddr(r.t), client: &http.Client{Timeout: 2 * time.Second}}
	r.t.Cleanup(func() {
		if next.cmd != nil {
			next.kill()
		}
	})
	next.spawn(discovery)
	waitUntil(r.t, "the second process serves", func() bool { return managementCall(r.t, next.mgmt, "status") == "YES\n" })
	return next
}

// newRelayForTakeover returns a relay with one call slot and two messages: the call of m1 is in flight until answer is closed,
// and m2 waits.
func newRelayForTakeover(t *testing.T) (r *relayProcess, discovery *fakeDiscovery, h *fakeHost, answer chan struct{}) {
	discovery = newFakeDiscovery(t)
	answer = make(chan struct{})
	h = newFakeHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "m1" {
			<-answer
		}
		answerDelivered(w, ids)
	})
	t.Cleanup(sync.OnceFunc(func() {
		select {
		case <-answer:
		default:
			close(answer)
		}
	}))
	r = newRelay(t, discovery, []member{newMember("s-1", h.addr(), "a", "gateway", "ready")}, func(settings map[string]any) {
		settings["extra"].(map[string]any)["call_slots"] = 1
		settings["services"].([]map[string]any)[0]["semantics"] = "non_idempotent"
	})
	r.submitAccepted("m1", 12*time.Second)
	waitUntil(t, "the call of m1", func() bool { return h.count("m1") == 1 })
	r.submitAccepted("m2", 12*time.Second)
	return r, discovery, h, answer
}

// A second process takes over the unfinished messages. A call in flight in the first process keeps its slot, is not repeated, and
// its result counts. Client connections to the first process still work.
func TestSecondProcessTakesOver(t *testing.T) {
	r, discovery, h, answer := newRelayForTakeover(t)
	next := r.startSecond(discovery)
	// The new process serves slightly before the old one has processed the handover.
	waitUntil(t, "the old process to be not ready", func() bool { return managementCall(t, r.mgmt, "status") == "NO\n" })
	r.submitAccepted("m3", 12*time.Second) // on the kept connection to the old process
	next.submitAccepted("m4", 12*time.Second)
	if got := statistic(t, next.mgmt, "relay.active"); got != "4" {
		t.Errorf("%s unfinished messages", got)
	}
	if n := h.count("m2") + h.count("m3") + h.count("m4"); n != 0 {
		t.Errorf("%d calls in addition to the one that uses the slot", n)
	}
	if got := managementCall(t, r.mgmt, "status"); got != "NO\n" {
		t.Errorf("later status of the old process: %q", got)
	}
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	close(answer)
	waitUntil(t, "all delivered, and counted by the new process", func() bool {
		return statistic(t, next.mgmt, "relay.ok.order") == "4" && statistic(t, next.mgmt, "relay.active") == "0"
	})
	must(t, r.cmd.Wait())
	r.cmd = nil
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		if n := h.count(id); n != 1 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	next.submitAccepted("m5", 5*time.Second)
	third := next.startSecond(discovery) // a third process takes over from the second
	third.submitAccepted("m6", 5*time.Second)
	waitUntil(t, "delivery by the third process", func() bool { return h.count("m6") == 1 })
}

// If the old process dies after the takeover, its call in flight may have taken effect. That message fails instead of being sent
// twice, and the others are delivered.
func TestOldProcessDiesAfterTakeover(t *testing.T) {
	r, discovery, h, _ := newRelayForTakeover(t)
	next := r.startSecond(discovery)
	r.kill()
	waitUntil(t, "the other message delivered", func() bool { return statistic(t, next.mgmt, "relay.ok.order") == "1" })
	waitUntil(t, "m1 ended", func() bool { return discovery.noticeFor("m1") != nil })
	if h.count("m1") != 1 || discovery.noticeFor("m1")["status"] != "undeliverable" {
		t.Errorf("m1 was sent %d times, notice %v", h.count("m1"), discovery.noticeFor("m1"))
	}
}

// If the new process dies after the takeover, the old one resumes from the journal.
func TestNewProcessDiesAfterTakeover(t *testing.T) {
	r, discovery, h, _ := newRelayForTakeover(t)
	next := r.startSecond(discovery)
	next.submitAccepted("m3", 12*time.Second)
	next.kill()
	waitUntil(t, "the old process serves again", func() bool { return managementCall(t, r.mgmt, "status") == "YES\n" })
	waitUntil(t, "the other messages delivered", func() bool { return h.count("m2") == 1 && h.count("m3") == 1 })
	waitUntil(t, "m1 ended", func() bool { return discovery.noticeFor("m1") != nil })
	if n := h.count("m1"); n != 1 {
		t.Errorf("m1 was sent %d times", n)
	}
	again := r.startSecond(discovery)
	again.submitAccepted("m4", 5*time.Second)
	waitUntil(t, "delivery by another process", func() bool { return h.count("m4") == 1 })
}
