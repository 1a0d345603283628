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
	"sync/atomic"
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
