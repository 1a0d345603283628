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

// manage makes a call on a management address; "" if nobody answers there.
func manage(t *testing.T, addr, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprintln(conn, call)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return ""
	}
	return string(answer)
}

// figure is one of the figures, "" if it is not among them.
func figure(t *testing.T, addr, name string) string {
	t.Helper()
	for line := range strings.Lines(manage(t, addr, "stats")) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+"="); ok {
			return value
		}
	}
	return ""
}

// deliver answers a call, of one message or several, as delivered.
func deliver(w http.ResponseWriter, ids []string) {
	states := []map[string]string{}
	for _, id := range ids {
		states = append(states, map[string]string{"id": id, "state": "ok"})
	}
	json.NewEncoder(w).Encode(states)
}

// A drain sends clients away and loses nobody; the process goes on, and clients come back when it is undone.
func TestStandbyAndActive(t *testing.T) {
	p, h := newPlatform(t), newHost(t, nil)
	r := newRelay(t, p, []member{listed("s-1", h.addr(), "a", "platform", "ready")}, nil)
	if got := manage(t, r.mgmt, "status"); got != "YES\n" {
		t.Fatalf("status: %q", got)
	}
	r.take("m1", 10*time.Second)
	eventually(t, "counted", func() bool {
		return figure(t, r.mgmt, "relay.ok.order") == "1" && figure(t, r.mgmt, "relay.tries.order") == "1" &&
			figure(t, r.mgmt, "relay.active") == "0" && figure(t, r.mgmt, "relay.pool_size") == "1"
	})
	healthy := func() bool {
		res, err := r.client.Get("http://" + r.addr + "/_health")
		must(t, err)
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	for range 2 {
		if got := manage(t, r.mgmt, "standby"); got != "YES\n" {
			t.Fatalf("standby: %q", got)
		}
	}
	eventually(t, "health says no", func() bool { return !healthy() })
	if got := manage(t, r.mgmt, "status"); got != "NO\n" {
		t.Errorf("status in a drain: %q", got)
	}
	res, err := r.client.Do(r.request("m2", 10*time.Second, nil))
	must(t, err)
	res.Body.Close()
	if res.StatusCode != http.StatusAccepted || !res.Close {
		t.Errorf("a message in a drain: %s, closes %v", res.Status, res.Close)
	}
	eventually(t, "delivered in a drain", func() bool { return h.count("m2") == 1 })
	for range 2 {
		if got := manage(t, r.mgmt, "active"); got != "YES\n" {
			t.Fatalf("active: %q", got)
		}
	}
	eventually(t, "health says yes", healthy)
	r.take("m3", 10*time.Second)
	eventually(t, "delivered after it", func() bool { return h.count("m3") == 1 })
	if !strings.HasSuffix(manage(t, r.mgmt, "stats"), "\nEND\n") {
		t.Error("the figures have no end")
	}
}

// A class that SIGHUP adds is taken; one that it drops is not, but what is open of it keeps its terms, also in the
// next process. A bad file changes nothing and is counted.
func TestSIGHUPChangesClasses(t *testing.T) {
	p := newPlatform(t)
	var open atomic.Bool
	h := newHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if open.Load() {
			deliver(w, ids)
			return
		}
		w.Header().Set("Retry-After", "5")
		w.WriteHeader(http.StatusTooManyRequests)
	})
	r := newRelay(t, p, []member{listed("s-1", h.addr(), "a", "platform", "ready")}, nil)
	r.take("m1", 12*time.Second)
	eventually(t, "the host shut, so that no call is out", func() bool { return figure(t, r.mgmt, "relay.pool_ejected") == "1" })
	path := filepath.Join(r.dir, "config.json")
	text, err := os.ReadFile(path)
	must(t, err)
	var config map[string]any
	must(t, json.Unmarshal(text, &config))
	config["discovery"] = p.Listener.Addr().String()
	services := config["settings"].(map[string]any)["services"].([]any)
	service := services[0].(map[string]any)
	service["name"], service["semantics"] = "parcel", "non_idempotent"
	changed, err := json.Marshal(config)
	must(t, err)
	r.reconfigure(changed[:len(changed)/2])
	eventually(t, "turned down", func() bool { return figure(t, r.mgmt, "relay.config_rejected") == "1" })
	r.take("m2", 12*time.Second)
	r.reconfigure(changed)
	eventually(t, "taken on", func() bool { return figure(t, r.mgmt, "relay.config_applied") == "1" })
	parcel := func(q *http.Request) { q.URL.Path = "/parcel"; q.Header.Set("X-Qos", "parcel") }
	if status, _ := r.handIn("m3", 12*time.Second, parcel); status != http.StatusAccepted {
		t.Errorf("the new class: status %d", status)
	}
	if status, _ := r.handIn("m4", 12*time.Second, nil); status != http.StatusBadRequest {
		t.Errorf("the class that is gone: status %d", status)
	}
	open.Store(true)
	r.kill()
	r.start(p)
	eventually(t, "all delivered and counted for their classes", func() bool {
		return figure(t, r.mgmt, "relay.ok.order") == "2" && figure(t, r.mgmt, "relay.ok.parcel") == "1"
	})
}

// beside starts a second process of the same relay, with a management address of its own, and returns once it serves.
func (r *relayProcess) beside(p *platform) *relayProcess {
	r.t.Helper()
	next := &relayProcess{t: r.t, dir: r.dir, addr: r.addr, mgmt: freeAddr(r.t), client: &http.Client{Timeout: 2 * time.Second}}
	r.t.Cleanup(func() {
		if next.cmd != nil {
			next.kill()
		}
	})
	next.spawn(p)
	eventually(r.t, "the second process serves", func() bool { return manage(r.t, next.mgmt, "status") == "YES\n" })
	return next
}

// replaced is a relay with a message of each kind of standing: m1's call is out, m2 waits.
func replaced(t *testing.T) (r *relayProcess, p *platform, h *host, answer chan struct{}) {
	p = newPlatform(t)
	answer = make(chan struct{})
	h = newHost(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "m1" {
			<-answer
		}
		deliver(w, ids)
	})
	t.Cleanup(sync.OnceFunc(func() {
		select {
		case <-answer:
		default:
			close(answer)
		}
	}))
	r = newRelay(t, p, []member{listed("s-1", h.addr(), "a", "gateway", "ready")}, func(settings map[string]any) {
		settings["extra"].(map[string]any)["call_slots"] = 1
		settings["services"].([]map[string]any)[0]["semantics"] = "non_idempotent"
	})
	r.take("m1", 12*time.Second)
	eventually(t, "m1 out", func() bool { return h.count("m1") == 1 })
	r.take("m2", 12*time.Second)
	return r, p, h, answer
}

// A second process takes over what is open: a call that is out in the first holds its slot and is not repeated, its
// end counts, and a connection that a client keeps serves on.
func TestASecondProcessTakesOver(t *testing.T) {
	r, p, h, answer := replaced(t)
	next := r.beside(p)
	// The new one serves a moment before the old one has taken the step in which it hands over.
	eventually(t, "the old process not ready", func() bool { return manage(t, r.mgmt, "status") == "NO\n" })
	r.take("m3", 12*time.Second) // on the connection kept to the old one
	next.take("m4", 12*time.Second)
	if got := figure(t, next.mgmt, "relay.active"); got != "4" {
		t.Errorf("%s messages open", got)
	}
	if n := h.count("m2") + h.count("m3") + h.count("m4"); n != 0 {
		t.Errorf("%d calls beside the one that holds the slot", n)
	}
	if got := manage(t, r.mgmt, "status"); got != "NO\n" {
		t.Errorf("later the old process says %q", got)
	}
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	close(answer)
	eventually(t, "all delivered, and counted by the new process", func() bool {
		return figure(t, next.mgmt, "relay.ok.order") == "4" && figure(t, next.mgmt, "relay.active") == "0"
	})
	must(t, r.cmd.Wait())
	r.cmd = nil
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		if n := h.count(id); n != 1 {
			t.Errorf("%s sent %d times", id, n)
		}
	}
	next.take("m5", 5*time.Second)
	third := next.beside(p) // and so on
	third.take("m6", 5*time.Second)
	eventually(t, "delivered by the third", func() bool { return h.count("m6") == 1 })
}

// If the old process dies first, its call may have run: the message fails rather than go twice, and the rest goes on.
func TestTheOldProcessDiesAfterIt(t *testing.T) {
	r, p, h, _ := replaced(t)
	next := r.beside(p)
	r.kill()
	eventually(t, "the rest delivered", func() bool { return figure(t, next.mgmt, "relay.ok.order") == "1" })
	eventually(t, "m1 ended", func() bool { return p.final("m1") != nil })
	if h.count("m1") != 1 || p.final("m1")["status"] != "undeliverable" {
		t.Errorf("m1 sent %d times, ended %v", h.count("m1"), p.final("m1"))
	}
}

// If the new process dies, the old one has the relay again, from the journal.
func TestTheNewProcessDies(t *testing.T) {
	r, p, h, _ := replaced(t)
	next := r.beside(p)
	next.take("m3", 12*time.Second)
	next.kill()
	eventually(t, "the old process serves again", func() bool { return manage(t, r.mgmt, "status") == "YES\n" })
	eventually(t, "the rest delivered", func() bool { return h.count("m2") == 1 && h.count("m3") == 1 })
	eventually(t, "m1 ended", func() bool { return p.final("m1") != nil })
	if n := h.count("m1"); n != 1 {
		t.Errorf("m1 sent %d times", n)
	}
	again := r.beside(p)
	again.take("m4", 5*time.Second)
	eventually(t, "delivered by yet another", func() bool { return h.count("m4") == 1 })
}
