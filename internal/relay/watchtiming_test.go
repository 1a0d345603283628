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

// For any fleet size, with pushed or requested lists, the worst delay of a change stays below what the platform allows.
func TestWorstListDelayIsWithinLimit(t *testing.T) {
	for _, requested := range []bool{false, true} {
		for senders := 1; senders <= 1000; senders++ {
			if worst := watchTimingFor(policy.Settings{Senders: senders, AskList: requested}).worstListDelay(); worst >= maxListDelay {
				t.Fatalf("asked %v, %d senders: %v", requested, senders, worst)
			}
			if moved := watchTimingFor(policy.Settings{Senders: senders, AskList: requested}).worstMoveDelay(); moved >= maxMoveDelay {
				t.Fatalf("moved, asked %v, %d senders: %v", requested, senders, moved)
			}
		}
	}
}

// watchHandler answers one watch request of a fake discovery. index is the version from which the relay wants to resume.
type watchHandler func(conn net.Conn, index string)

// chunkedResponse returns a response header followed by the given chunks, without an end.
func chunkedResponse(chunks ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range chunks {
		s += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	return s
}

// handle reads the request on a connection and answers it.
func (s watchHandler) handle(conn net.Conn) {
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
	oldListJSON = `{"version":3,"full":true,"servers":[]}` + "\n"
	changeJSON  = `{"version":9,"full":true,"servers":[{"id":"s-9"}]}` + "\n"
)

// sendAndHang writes a text and then stays silent until the peer disconnects.
func sendAndHang(text string) watchHandler {
	return func(conn net.Conn, _ string) {
		io.WriteString(conn, text)
		io.Copy(io.Discard, conn)
	}
}

// closeAtOnce closes the connection without an answer.
func closeAtOnce(conn net.Conn, _ string) { conn.Close() }

// A change at discovery arrives in time whatever happens to the calls before the one that succeeds: connections that are cut
// silently at any point of an answer, endless or incomplete lists, or versions that go back.
func TestChangeArrivesInTimeDespiteFailedWatches(t *testing.T) {
	drip := func(text, piece string) watchHandler {
		return func(conn net.Conn, _ string) {
			io.WriteString(conn, text)
			for {
				time.Sleep(time.Second)
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
					return
				}
			}
		}
	}
	unavailable := sendAndHang("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	for name, c := range map[string]struct {
		before []watchHandler // handlers of the first calls; the change exists from the first call on
		since  time.Duration  // if set, the change exists, and discovery answers, only after this time
	}{
		"nothing":                        {},
		"silence after a list":           {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON))}},
		"silence after a line":           {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON, "\n"))}},
		"silence after the header":       {before: []watchHandler{sendAndHang(chunkedResponse())}},
		"no header":                      {before: []watchHandler{sendAndHang("")}},
		"half a header":                  {before: []watchHandler{sendAndHang("HTTP/1.1 200 OK\r\nTransf")}},
		"half a line":                    {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON, `{"version":9,"fu`))}},
		"half a chunk":                   {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON) + "40\r\n{\"version\":9")}},
		"half a list, slowly":            {before: []watchHandler{drip(chunkedResponse(oldListJSON, `{"version":9,"servers":[`), " ")}},
		"an endless list":                {before: []watchHandler{drip(chunkedResponse(oldListJSON), "[")}},
		"refused":                        {before: []watchHandler{closeAtOnce}},
		"unavailable":                    {before: []watchHandler{unavailable}},
		"silence, then refused":          {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)), closeAtOnce}},
		"silence, then no header":        {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)), sendAndHang("")}},
		"silence, then no header twice":  {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)), sendAndHang(""), sendAndHang("")}},
		"silence, then unavailable":      {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)), unavailable}},
		"silence, then after the header": {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)), sendAndHang(chunkedResponse())}},
		"silence, then after an object": {before: []watchHandler{sendAndHang(chunkedResponse(oldListJSON)),
			sendAndHang(chunkedResponse(`{"version":3,"full":false,"servers":[]}`))}},
		"not JSON":               {before: []watchHandler{sendAndHang(chunkedResponse("rubbish\n"))}},
		"a list without servers": {before: []watchHandler{sendAndHang(chunkedResponse(`{"version":2,"full":true}` + "\n"))}},
		"a version that goes back": {before: []watchHandler{
			sendAndHang(chunkedResponse(oldListJSON, `{"version":2,"full":false,"servers":[{"id":"s-1"}]}`+"\n"))}},
		"unreachable, then back while a call hangs": {
			before: []watchHandler{sendAndHang(""), sendAndHang(""), sendAndHang(""), sendAndHang(""), sendAndHang(""),
				sendAndHang(""), sendAndHang(""), sendAndHang(""), sendAndHang("")}, since: 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				synctest.Test(t, func(t *testing.T) {
					l := newPipeListener()
					ctx, cancel := context.WithCancel(t.Context())
					began, changedAt := time.Now(), time.Now().Add(c.since)
					var served sync.WaitGroup
					served.Go(func() {
						for n := 0; ; n++ {
							conn, err := l.Accept()
							if err != nil {
								return
							}
							handler := sendAndHang(chunkedResponse(changeJSON))
							if n < len(c.before) && (c.since == 0 || time.Now().Before(changedAt)) {
								handler = c.before[n]
							}
							served.Go(func() { handler.handle(conn) })
						}
					})
					lists := make(chan HostList, 100)
					client := newAgentClient()
					client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return l.dial(), nil }
					w := watcher{log: discardLogger(), client: client, addr: "discovery", timing: watchTimingFor(policy.Settings{}),
						onList: func(l HostList) { lists <- l }, rng: rand.New(rand.NewPCG(seed, 0))}
					done := make(chan struct{})
					go func() { defer close(done); w.run(ctx, 1) }()
					for got := (HostList{}); got.Version != 9; {
						select {
						case got = <-lists:
							if got.Version == 2 {
								t.Error("applied an inconsistent list")
							}
						case <-time.After(time.Minute):
							t.Fatal("the change never arrived")
						}
					}
					if took := time.Since(changedAt); took > maxListDelay-applyAllowance {
						t.Errorf("arrived after %v, %v after the start", took, time.Since(began))
					}
					cancel()
					<-done
					client.CloseIdleConnections()
					l.Close()
					served.Wait()
				})
			}
		})
	}
}

// A list may arrive indented, in chunks of any size, between empty lines, or together with another one.
func TestListReaderAcceptsAnyFormatting(t *testing.T) {
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
			activity := 0
			r := newListReader(chunkReader{strings.NewReader(text), size + 1}, func() { activity++ })
			for _, want := range []int64{3, 4} {
				if l, err := r.next(); err != nil || l.Version != want || l.Full != (want == 3) {
					t.Fatalf("%s in chunks of %d: %+v, %v", name, size+1, l, err)
				}
			}
			if activity < 2 {
				t.Errorf("%s in chunks of %d: %d signs of activity", name, size+1, activity)
			}
		}
	}
}

// chunkReader returns at most maxBytes per read.
type chunkReader struct {
	r        io.Reader
	maxBytes int
}

func (p chunkReader) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.maxBytes)]) }

// Reading a list that never ends fails at the size limit.
func TestEndlessListIsRejected(t *testing.T) {
	r := newListReader(io.MultiReader(strings.NewReader(`{"version":3,"servers":[`), endlessReader{}), func() {})
	if _, err := r.next(); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("%v", err)
	}
}

// endlessReader returns the elements of a JSON list without end.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = "7,"[i%2]
	}
	return len(b), nil
}

// When discovery moves, a relay that requests its lists starts the next watch sooner than after a start of the process, when
// the calls of hundreds of relays have to be spread.
func TestDiscoveryMoveIsFollowedInTime(t *testing.T) {
	set := policy.Settings{Senders: 300, AskList: true}
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			called := make(chan string, 100)
			f := discoveryFollower{watcher: watcher{log: discardLogger(), timing: watchTimingFor(set), onList: func(HostList) {},
				rng: rand.New(rand.NewPCG(seed, 0))}}
			f.maxStartPause = f.timing.startPause
			f.client = &http.Client{Transport: roundTripperFunc(func(req *http.Request) (*http.Response, error) {
				called <- req.URL.Host
				<-req.Context().Done()
				return nil, req.Context().Err()
			})}
			f.watchAt(ctx, "old")
			time.Sleep(10 * time.Second)
			moved := time.Now()
			f.watchAt(ctx, "new")
			for host := ""; host != "new"; {
				host = <-called
			}
			if took := time.Since(moved); took > f.timing.firstPause {
				t.Errorf("called after %v", took)
			}
			cancel()
			f.stopWatch()
		})
	}
}
