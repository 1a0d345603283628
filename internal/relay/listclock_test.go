package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wallflow/policy"
)

// Whatever the fleet's size, and however its lists come, the longest way of a change stays under what the platform allows.
func TestTheLongestWayOfAChangeIsUnderTheBound(t *testing.T) {
	for _, ask := range []bool{false, true} {
		for senders := 1; senders <= 1000; senders++ {
			if worst := clockOf(policy.Settings{Senders: senders, AskList: ask}).worst(); worst >= toldAfter {
				t.Fatalf("asked %v, %d senders: %v", ask, senders, worst)
			}
			if moved := clockOf(policy.Settings{Senders: senders, AskList: ask}).moved(); moved >= movedIn {
				t.Fatalf("moved, asked %v, %d senders: %v", ask, senders, moved)
			}
		}
	}
}

// shown is one call for the list, as a discovery of the test's own answers it.
type shown func(conn net.Conn, index string)

// head is an answer's head, and what follows it as one chunk each.
func head(chunks ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range chunks {
		s += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	return s
}

func (s shown) serve(conn net.Conn) {
	defer conn.Close()
	line := make([]byte, 0, 512)
	for b := make([]byte, 1); !bytes.HasSuffix(line, []byte("\r\n\r\n")); {
		if _, err := conn.Read(b); err != nil {
			return
		}
		line = append(line, b...)
	}
	_, index, _ := strings.Cut(string(line[:bytes.IndexByte(line, '\r')]), "index=")
	s(conn, strings.Fields(index)[0])
}

const (
	oldList = `{"version":3,"full":true,"servers":[]}` + "\n"
	change  = `{"version":9,"full":true,"servers":[{"id":"s-9"}]}` + "\n"
)

// says writes and then says nothing until the peer has gone.
func says(text string) shown {
	return func(conn net.Conn, _ string) {
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
	}
}

func refuses(conn net.Conn, _ string) { conn.Close() }

// A change at discovery is told here in time, whatever meets the calls that come before the one that is answered: a cut that
// nothing tells of, at every place of an answer; a list that goes on and on; one that is half of one; versions that go back.
func TestAChangeIsToldInTimeWhateverMeetsTheCallsBefore(t *testing.T) {
	drip := func(text, drop string) shown {
		return func(conn net.Conn, _ string) {
			io.WriteString(conn, text)
			for {
				time.Sleep(time.Second)
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(drop), drop); err != nil {
					return
				}
			}
		}
	}
	unavailable := says("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	for name, c := range map[string]struct {
		before []shown       // the calls before; the change is there from the first one's last line on
		since  time.Duration // or so long after the first call
	}{
		"nothing":                        {},
		"silence behind a list":          {before: []shown{says(head(oldList))}},
		"silence behind a line":          {before: []shown{says(head(oldList, "\n"))}},
		"silence behind the head":        {before: []shown{says(head())}},
		"no head":                        {before: []shown{says("")}},
		"half a head":                    {before: []shown{says("HTTP/1.1 200 OK\r\nTransf")}},
		"half a line":                    {before: []shown{says(head(oldList, `{"version":9,"fu`))}},
		"half a chunk":                   {before: []shown{says(head(oldList) + "40\r\n{\"version\":9")}},
		"half a list, in drops":          {before: []shown{drip(head(oldList, `{"version":9,"servers":[`), " ")}},
		"a list in drops":                {before: []shown{drip(head(oldList), "[")}},
		"refused":                        {before: []shown{refuses}},
		"unavailable":                    {before: []shown{unavailable}},
		"silence, then refused":          {before: []shown{says(head(oldList)), refuses}},
		"silence, then no head":          {before: []shown{says(head(oldList)), says("")}},
		"silence, then no head twice":    {before: []shown{says(head(oldList)), says(""), says("")}},
		"silence, then unavailable":      {before: []shown{says(head(oldList)), unavailable}},
		"silence, then behind the head":  {before: []shown{says(head(oldList)), says(head())}},
		"silence, then behind an object": {before: []shown{says(head(oldList)), says(head(`{"version":3,"full":false,"servers":[]}`))}},
		"rubbish":                        {before: []shown{says(head("rubbish\n"))}},
		"a list of no servers' list":     {before: []shown{says(head(`{"version":2,"full":true}` + "\n"))}},
		"a version that goes back":       {before: []shown{says(head(oldList, `{"version":2,"full":false,"servers":[{"id":"s-1"}]}`+"\n"))}},
		"away, and back as a call hangs": {
			before: []shown{says(""), says(""), says(""), says(""), says(""), says(""), says(""), says(""), says("")}, since: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					l := newPipeListener()
					ctx, cancel := context.WithCancel(t.Context())
					began, had := time.Now(), time.Now().Add(c.since)
					var served sync.WaitGroup
					served.Go(func() {
						for n := 0; ; n++ {
							conn, err := l.Accept()
							if err != nil {
								return
							}
							s := says(head(change))
							if n < len(c.before) && (c.since == 0 || time.Now().Before(had)) {
								s = c.before[n]
							}
							served.Go(func() { s.serve(conn) })
						}
					})
					told := make(chan List, 100)
					client := newAgentClient()
					client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return l.dial(), nil }
					w := watcher{log: quiet(), client: client, addr: "discovery", clock: clockOf(policy.Settings{}),
						told: func(l List) { told <- l }, rng: rand.New(rand.NewPCG(seed, 0))}
					ran := make(chan struct{})
					go func() { defer close(ran); w.run(ctx, 1) }()
					for got := (List{}); got.Version != 9; {
						select {
						case got = <-told:
							if got.Version == 2 {
								t.Error("took on what makes no sense")
							}
						case <-time.After(time.Minute):
							t.Fatal("never told")
						}
					}
					if took := time.Since(had); took > toldAfter-actWithin {
						t.Errorf("told after %v, %v after the start", took, time.Since(began))
					}
					cancel()
					<-ran
					client.CloseIdleConnections()
					l.Close()
					served.Wait()
				})
			}
		})
	}
}

// A list may come indented, in pieces of any size, between empty lines, and two in one piece.
func TestAListMayComeInAnyForm(t *testing.T) {
	lists := []string{`{"version":3,"full":true,"servers":[{"id":"a\n{"}]}`, `{"version":4,"full":false,"servers":[]}`}
	var indented bytes.Buffer
	for _, l := range lists {
		if err := json.Indent(&indented, []byte(l), " ", "\t"); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range map[string]string{
		"lines":     lists[0] + "\n\n" + lists[1] + "\n",
		"indented":  "\n" + strings.ReplaceAll(indented.String(), "\n", "\r\n"),
		"one piece": lists[0] + lists[1],
	} {
		for size := range 7 {
			alive := 0
			r := newListReader(pieces{strings.NewReader(text), size + 1}, func() { alive++ })
			for _, want := range []int64{3, 4} {
				if l, err := r.next(); err != nil || l.Version != want || l.Full != (want == 3) {
					t.Fatalf("%s in pieces of %d: %+v, %v", name, size+1, l, err)
				}
			}
			if alive < 2 {
				t.Errorf("%s in pieces of %d: %d signs of life", name, size+1, alive)
			}
		}
	}
}

// pieces reads no more than so many bytes at once.
type pieces struct {
	r    io.Reader
	most int
}

func (p pieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.most)]) }

// A list that never ends holds no more than one may.
func TestAnEndlessListIsBounded(t *testing.T) {
	r := newListReader(io.MultiReader(strings.NewReader(`{"version":3,"servers":[`), endless{}), func() {})
	if _, err := r.next(); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("%v", err)
	}
}

type endless struct{}

func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = "7,"[i%2]
	}
	return len(b), nil
}

// Where discovery moves under a relay that asks for its lists, the next watch is not put off as at a start, when hundreds ask.
func TestAMoveIsFollowedInTime(t *testing.T) {
	set := policy.Settings{Senders: 300, AskList: true}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			asked := make(chan string, 100)
			f := follower{watcher: watcher{log: quiet(), clock: clockOf(set), told: func(List) {}, rng: rand.New(rand.NewPCG(seed, 0))}}
			f.before = f.clock.start
			f.client = &http.Client{Transport: tripper(func(req *http.Request) (*http.Response, error) {
				asked <- req.URL.Host
				<-req.Context().Done()
				return nil, req.Context().Err()
			})}
			f.move(ctx, "old")
			time.Sleep(10 * time.Second)
			moved := time.Now()
			f.move(ctx, "new")
			for host := ""; host != "new"; {
				host = <-asked
			}
			if took := time.Since(moved); took > f.clock.first {
				t.Errorf("asked after %v", took)
			}
			cancel()
			f.end()
		})
	}
}
