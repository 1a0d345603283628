package stand

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wallflow/internal/catalog"
	"wallflow/internal/trial/history"
)

const (
	listWriters   = 4
	listReaders   = 2
	listFollowers = 4
	listEntries   = 6 // that are written to, so that writers meet
	listAskFor    = 3 * time.Second
	listLast      = time.Second     // that a write which is under way at the end goes on
	listQuiet     = 5 * time.Second // a watch without a line for so long is given up
	listWritePace = 15 * time.Millisecond
	listReadPace  = 40 * time.Millisecond
	listCell      = 500 // of the entries; no partner has it
)

// Lists are those who use the list servers of a trial: writers, readers and followers, each at any server.
type Lists struct {
	rec     *history.Recorder
	servers map[string]string // addresses by name
	names   []string
	value   atomic.Int64
	http    *http.Client
	users   sync.WaitGroup // who write and read
	wg      sync.WaitGroup // who follow
	rngs    sync.Mutex
	rng     *rand.Rand

	followers []*follower
}

// NewLists returns the users of list servers, by their names and addresses.
func NewLists(rec *history.Recorder, seed uint64, servers map[string]string) *Lists {
	return &Lists{rec: rec, servers: servers, names: slices.Sorted(maps.Keys(servers)), rng: rand.New(rand.NewPCG(seed, 0x6c697374)),
		http: &http.Client{Timeout: listAskFor, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// Begin has them write and read until ctx ends, and follow until follow does.
func (l *Lists) Begin(ctx, follow context.Context) {
	for i := range listWriters {
		l.users.Go(func() { l.write(ctx, fmt.Sprintf("w%d", i)) })
	}
	for i := range listReaders {
		l.users.Go(func() { l.read(ctx, fmt.Sprintf("r%d", i)) })
	}
	for i := range listFollowers {
		f := &follower{lists: l, name: fmt.Sprintf("f%d", i), held: map[string]catalog.Entry{}}
		l.followers = append(l.followers, f)
		l.wg.Go(func() { f.follow(follow) })
	}
}

// Wait returns once all have ended.
func (l *Lists) Wait() { l.users.Wait(); l.wg.Wait(); l.http.CloseIdleConnections() }

func (l *Lists) draw(n int) int {
	l.rngs.Lock()
	defer l.rngs.Unlock()
	return l.rng.IntN(n)
}

func (l *Lists) server() string { return l.names[l.draw(len(l.names))] }

// between waits for about d.
func (l *Lists) between(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d/2 + time.Duration(l.draw(int(d)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// ask asks a server. taken tells of a request that was not answered whether it may have been carried out.
func (l *Lists) ask(ctx context.Context, method, server, path, key string, body []byte) (status int, text []byte, h http.Header, taken bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+l.servers[server]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, false, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := l.http.Do(req)
	if err != nil {
		var dial *net.OpError
		return 0, nil, nil, !(errors.As(err, &dial) && dial.Op == "dial"), err
	}
	defer res.Body.Close()
	text, err = io.ReadAll(res.Body)
	return res.StatusCode, text, res.Header, true, err
}

// Do has a write taken on, under a key, however often it takes, and returns the version after it.
func (l *Lists) Do(ctx context.Context, method, path, key string, body []byte) (int64, error) {
	for {
		status, text, _, _, err := l.ask(ctx, method, l.server(), path, key, body)
		var r catalog.Result
		switch {
		case err == nil && status == http.StatusOK:
			err := json.Unmarshal(text, &r)
			return r.Version, err
		case err == nil && status != http.StatusServiceUnavailable:
			return 0, fmt.Errorf("%s %s: status %d: %.200s", method, path, status, text)
		}
		if !l.between(ctx, listReadPace) {
			return 0, errors.Join(err, ctx.Err())
		}
	}
}

// write writes entries, one after the other. Half of the writes have a key, and are repeated under it until somebody knows.
func (l *Lists) write(ctx context.Context, name string) {
	whole, cancel := context.WithCancel(context.WithoutCancel(ctx)) // what was begun is seen through, for a while
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(listLast, cancel) })()
	for l.between(ctx, listWritePace) {
		id := fmt.Sprintf("k-%d", l.draw(listEntries))
		e := history.Event{Kind: history.Put, Relay: name, ID: id, Began: l.rec.Now()}
		method, body := http.MethodDelete, []byte(nil)
		if l.draw(5) > 0 {
			e.Value = l.value.Add(1)
			method = http.MethodPut
			body, _ = json.Marshal(catalog.Entry{ID: id, Addr: "127.0.0.1:9", Zone: "z", Kind: "k", Cell: listCell, State: catalog.Ready, Weight: float64(e.Value)}) // cannot fail
		}
		key := ""
		if l.draw(2) == 0 {
			key = fmt.Sprintf("%s-%d", name, e.Began)
		}
		known := history.Refused
		for tries := 0; ; tries++ {
			e.Endpoint = l.server()
			status, text, h, taken, err := l.ask(whole, method, e.Endpoint, "/catalog/members/"+id, key, body)
			var r catalog.Result
			switch {
			case err == nil && status == http.StatusOK:
				if json.Unmarshal(text, &r) == nil {
					e.Outcome, e.Version = history.OK, r.Version
				}
			case err != nil && taken, h.Get("X-Outcome") == "unknown":
				known = history.Broken
			case err == nil && status != http.StatusServiceUnavailable:
				e.Note = fmt.Sprintf("status %d: %.200s", status, text) // nothing of this kind was asked for
			}
			if e.Outcome == history.OK || key == "" && known == history.Broken || tries == 20 || !l.between(ctx, listReadPace) {
				break
			}
		}
		if e.Outcome != history.OK {
			e.Outcome = known
		}
		l.rec.Add(e)
	}
}

// Read reads the list, confirmed, and puts it down.
func (l *Lists) Read(ctx context.Context, name string) (version int64, ok bool) {
	e := history.Event{Kind: history.Confirmed, Relay: name, Endpoint: l.server(), Began: l.rec.Now()}
	status, text, _, _, err := l.ask(ctx, http.MethodGet, e.Endpoint, "/catalog/members?consistent=1", "", nil)
	var list catalog.List
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &list) != nil {
		return 0, false
	}
	e.Version, e.Values = list.Version, map[string]int64{}
	for _, x := range list.Servers {
		e.Values[x.ID] = int64(x.Weight)
	}
	l.rec.Add(e)
	return list.Version, true
}

func (l *Lists) read(ctx context.Context, name string) {
	for l.between(ctx, listReadPace) {
		l.Read(ctx, name)
	}
}

// Settle waits, once nobody writes any more, until all who follow have the last version, and puts down what they have. A write of
// which nobody knows may be taken on after its writer has given up: the version is the last one if it still is once all have it.
// relays are the lists that relays were told, which are to come so far as well.
func (l *Lists) Settle(ctx context.Context, most time.Duration, relays map[string]func() List) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	l.users.Wait()
	version, ok := l.Read(ctx, "last")
	for again := true; again && l.between(ctx, 4*listReadPace); {
		again = !ok
		for _, f := range l.followers {
			again = again || f.version.Load() != version
		}
		for _, known := range relays {
			k := known()
			again = again || k.Version != version
		}
		was := version
		version, ok = l.Read(ctx, "last")
		again = again || !ok || was != version
	}
	for _, f := range l.followers {
		f.mu.Lock()
		e := history.Event{Kind: history.Settle, Relay: f.name, Version: f.version.Load(), State: f.list, Note: digest(f.held)}
		f.mu.Unlock()
		l.settled(e, ok && e.Version >= version)
	}
	list := "" // whose it is, the agents do not tell relays
	if len(l.followers) > 0 {
		list = l.followers[0].whose()
	}
	for _, name := range slices.Sorted(maps.Keys(relays)) {
		k := relays[name]()
		l.settled(history.Event{Kind: history.Settle, Relay: name, Version: k.Version, State: list, Note: k.Digest()}, ok && k.Version >= version)
	}
}

func (l *Lists) settled(e history.Event, there bool) {
	if there {
		e.Status = 1
	}
	l.rec.Add(e)
}

func (f *follower) whose() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// follower follows the list by watches, as an agent does: from any server that is not behind what it has.
type follower struct {
	lists   *Lists
	name    string
	version atomic.Int64

	mu   sync.Mutex
	list string // whose version that is
	held map[string]catalog.Entry
}

func (f *follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		f.watch(ctx, f.lists.server())
		f.lists.between(ctx, listReadPace)
	}
}

// watch follows one server until it is silent, ends, or is behind.
func (f *follower) watch(ctx context.Context, server string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(listQuiet, cancel)
	defer silent.Stop()
	f.mu.Lock()
	path := "/catalog/members?stream=1&index=" + strconv.FormatInt(f.version.Load(), 10) + "&cluster=" + f.list
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.lists.servers[server]+path, nil)
	if err != nil {
		return
	}
	res, err := (&http.Client{Transport: f.lists.http.Transport}).Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	list := res.Header.Get("X-Catalog-Cluster")
	if res.StatusCode != http.StatusOK || list == "" {
		return
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		silent.Reset(listQuiet)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l catalog.List
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return
		}
		f.mu.Lock()
		if f.list == list && l.Version < f.version.Load() {
			f.mu.Unlock()
			return // this server is behind: another one
		}
		f.held, f.list = catalog.Follow(f.held, l), list
		f.version.Store(l.Version)
		e := history.Event{Kind: history.Seen, Relay: f.name, Endpoint: server, Version: l.Version, State: list, Note: digest(f.held)}
		f.lists.rec.Add(e)
		f.mu.Unlock()
	}
}

// digest is of the entries that are held, but for their addresses, which may differ from one relay to the next.
func digest(held map[string]catalog.Entry) string {
	h := sha256.New()
	for _, id := range slices.Sorted(maps.Keys(held)) {
		e := held[id]
		fmt.Fprintln(h, id, e.Zone, e.Kind, e.Cell, e.State, e.Weight)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Digest is that of a list as a relay was told it.
func (l *List) Digest() string {
	held := map[string]catalog.Entry{}
	for _, e := range l.Servers {
		held[e.ID] = catalog.Entry{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: catalog.State(e.State), Weight: e.Weight}
	}
	return digest(held)
}
