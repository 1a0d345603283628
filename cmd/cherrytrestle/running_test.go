package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
