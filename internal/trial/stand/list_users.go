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
	listWriters         = 4
	listReaders         = 2
	listFollowers       = 4
	writtenEntries      = 6 // number of entries written to; few, so that writers compete for them
	listRequestTimeout  = 3 * time.Second
	finalWriteTimeout   = time.Second     // how long writes in progress continue at the end
	watchSilenceTimeout = 5 * time.Second // a watch that receives no line for so long is closed
	writeInterval       = 15 * time.Millisecond
	readInterval        = 40 * time.Millisecond
	writtenCell         = 500 // cell of the written entries; no partner has it
)

// ListUsers are the users of a trial's list servers: writers, readers and followers. Each picks a random server for each
// request.
type ListUsers struct {
	recorder  *history.Recorder
	servers   map[string]string // address by name
	names     []string
	lastValue atomic.Int64
	http      *http.Client
	active    sync.WaitGroup // writers and readers
	watching  sync.WaitGroup // followers
	rngMu     sync.Mutex
	rng       *rand.Rand

	followers []*follower
}

// NewListUsers returns users of the list servers, which are given by name and address.
func NewListUsers(recorder *history.Recorder, seed uint64, servers map[string]string) *ListUsers {
	return &ListUsers{recorder: recorder, servers: servers, names: slices.Sorted(maps.Keys(servers)),
		rng:  rand.New(rand.NewPCG(seed, 0x6c697374)),
		http: &http.Client{Timeout: listRequestTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
}

// Start starts writers and readers, which run until ctx ends, and followers, which run until follow ends.
func (l *ListUsers) Start(ctx, follow context.Context) {
	for i := range listWriters {
		l.active.Go(func() { l.runWriter(ctx, fmt.Sprintf("w%d", i)) })
	}
	for i := range listReaders {
		l.active.Go(func() { l.runReader(ctx, fmt.Sprintf("r%d", i)) })
	}
	for i := range listFollowers {
		f := &follower{users: l, name: fmt.Sprintf("f%d", i), entries: map[string]catalog.Entry{}}
		l.followers = append(l.followers, f)
		l.watching.Go(func() { f.follow(follow) })
	}
}

// Wait waits until all users have stopped.
func (l *ListUsers) Wait() { l.active.Wait(); l.watching.Wait(); l.http.CloseIdleConnections() }

func (l *ListUsers) randomInt(n int) int {
	l.rngMu.Lock()
	defer l.rngMu.Unlock()
	return l.rng.IntN(n)
}

func (l *ListUsers) randomServer() string { return l.names[l.randomInt(len(l.names))] }

// pause waits for a random time around d.
func (l *ListUsers) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d/2 + time.Duration(l.randomInt(int(d)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// request sends a request to a server. If there was no answer, mayHaveRun reports whether the server may have processed
// it.
func (l *ListUsers) request(ctx context.Context, method, server, path, key string, body []byte) (status int, text []byte, h http.Header,
	mayHaveRun bool, err error) {
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

// WriteUntilAccepted repeats a write under an idempotency key until a server has accepted it, and returns the version
// after it.
func (l *ListUsers) WriteUntilAccepted(ctx context.Context, method, path, key string, body []byte) (int64, error) {
	for {
		status, text, _, _, err := l.request(ctx, method, l.randomServer(), path, key, body)
		var r catalog.Result
		switch {
		case err == nil && status == http.StatusOK:
			err := json.Unmarshal(text, &r)
			return r.Version, err
		case err == nil && status != http.StatusServiceUnavailable:
			return 0, fmt.Errorf("%s %s: status %d: %.200s", method, path, status, text)
		}
		if !l.pause(ctx, readInterval) {
			return 0, errors.Join(err, ctx.Err())
		}
	}
}

// runWriter writes entries one after the other. Half of the writes have an idempotency key and are repeated until the
// outcome is known.
func (l *ListUsers) runWriter(ctx context.Context, name string) {
	writing, cancel := context.WithCancel(context.WithoutCancel(ctx)) // writes in progress may finish after ctx ends, within finalWriteTimeout
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finalWriteTimeout, cancel) })()
	for l.pause(ctx, writeInterval) {
		id := fmt.Sprintf("k-%d", l.randomInt(writtenEntries))
		e := history.Event{Kind: history.ListWrite, Relay: name, ID: id, Began: l.recorder.Now()}
		method, body := http.MethodDelete, []byte(nil)
		if l.randomInt(5) > 0 {
			e.Value = l.lastValue.Add(1)
			method = http.MethodPut
			body, _ = json.Marshal(catalog.Entry{ID: id, Addr: "127.0.0.1:9", Zone: "z", Kind: "k", Cell: writtenCell, State: catalog.Ready,
				Weight: float64(e.Value)}) // cannot fail
		}
		key := ""
		if l.randomInt(2) == 0 {
			key = fmt.Sprintf("%s-%d", name, e.Began)
		}
		outcome := history.Refused
		for tries := 0; ; tries++ {
			e.Endpoint = l.randomServer()
			status, text, h, mayHaveRun, err := l.request(writing, method, e.Endpoint, "/catalog/members/"+id, key, body)
			var r catalog.Result
			switch {
			case err == nil && status == http.StatusOK:
				if json.Unmarshal(text, &r) == nil {
					e.Outcome, e.Version = history.OK, r.Version
				}
			case err != nil && mayHaveRun, h.Get("X-Outcome") == "unknown":
				outcome = history.ConnectionLost
			case err == nil && status != http.StatusServiceUnavailable:
				e.Note = fmt.Sprintf("status %d: %.200s", status, text) // unexpected for these requests
			}
			if e.Outcome == history.OK || key == "" && outcome == history.ConnectionLost || tries == 20 || !l.pause(ctx, readInterval) {
				break
			}
		}
		if e.Outcome != history.OK {
			e.Outcome = outcome
		}
		l.recorder.Add(e)
	}
}

// ReadConfirmed reads the list with a consistent read and records the result.
func (l *ListUsers) ReadConfirmed(ctx context.Context, name string) (version int64, ok bool) {
	e := history.Event{Kind: history.ListRead, Relay: name, Endpoint: l.randomServer(), Began: l.recorder.Now()}
	status, text, _, _, err := l.request(ctx, http.MethodGet, e.Endpoint, "/catalog/members?consistent=1", "", nil)
	var list catalog.List
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &list) != nil {
		return 0, false
	}
	e.Version, e.Values = list.Version, map[string]int64{}
	for _, x := range list.Servers {
		e.Values[x.ID] = int64(x.Weight)
	}
	l.recorder.Add(e)
	return list.Version, true
}

func (l *ListUsers) runReader(ctx context.Context, name string) {
	for l.pause(ctx, readInterval) {
		l.ReadConfirmed(ctx, name)
	}
}

// AwaitConvergence waits, once all writers have stopped, until all followers have the last version, and records what
// they have. A write with an unknown outcome may still take effect after its writer has given up, so a version counts as
// the last only if it is unchanged when all have it. relays returns the lists that relays were told, which must reach
// that version as well.
func (l *ListUsers) AwaitConvergence(ctx context.Context, timeout time.Duration, relays map[string]func() List) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.active.Wait()
	version, ok := l.ReadConfirmed(ctx, "last")
	for pending := true; pending && l.pause(ctx, 4*readInterval); {
		pending = !ok
		for _, f := range l.followers {
			pending = pending || f.version.Load() != version
		}
		for _, currentList := range relays {
			relayList := currentList()
			pending = pending || relayList.Version != version
		}
		previous := version
		version, ok = l.ReadConfirmed(ctx, "last")
		pending = pending || !ok || previous != version
	}
	for _, f := range l.followers {
		f.mu.Lock()
		e := history.Event{Kind: history.FollowerFinal, Relay: f.name, Version: f.version.Load(), State: f.cluster, Note: digest(f.entries)}
		f.mu.Unlock()
		l.recordFinal(e, ok && e.Version >= version)
	}
	cluster := "" // agents do not tell relays which cluster the list is from
	if len(l.followers) > 0 {
		cluster = l.followers[0].currentCluster()
	}
	for _, name := range slices.Sorted(maps.Keys(relays)) {
		relayList := relays[name]()
		l.recordFinal(history.Event{Kind: history.FollowerFinal, Relay: name, Version: relayList.Version, State: cluster,
			Note: relayList.Digest()}, ok && relayList.Version >= version)
	}
}

func (l *ListUsers) recordFinal(e history.Event, converged bool) {
	if converged {
		e.Status = 1
	}
	l.recorder.Add(e)
}

func (f *follower) currentCluster() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cluster
}

// follower watches the list as an agent does, from any server that is not behind it.
type follower struct {
	users   *ListUsers
	name    string
	version atomic.Int64

	mu      sync.Mutex
	cluster string // cluster that the version belongs to
	entries map[string]catalog.Entry
}

func (f *follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		f.watch(ctx, f.users.randomServer())
		f.users.pause(ctx, readInterval)
	}
}

// watch follows one server until the server is silent, closes the stream, or is behind.
func (f *follower) watch(ctx context.Context, server string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(watchSilenceTimeout, cancel)
	defer silent.Stop()
	f.mu.Lock()
	path := "/catalog/members?stream=1&index=" + strconv.FormatInt(f.version.Load(), 10) + "&cluster=" + f.cluster
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.users.servers[server]+path, nil)
	if err != nil {
		return
	}
	res, err := (&http.Client{Transport: f.users.http.Transport}).Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	cluster := res.Header.Get("X-Catalog-Cluster")
	if res.StatusCode != http.StatusOK || cluster == "" {
		return
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		silent.Reset(watchSilenceTimeout)
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l catalog.List
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return
		}
		f.mu.Lock()
		if f.cluster == cluster && l.Version < f.version.Load() {
			f.mu.Unlock()
			return // this server is behind; try another
		}
		f.entries, f.cluster = catalog.Merge(f.entries, l), cluster
		f.version.Store(l.Version)
		e := history.Event{Kind: history.FollowerUpdate, Relay: f.name, Endpoint: server, Version: l.Version, State: cluster,
			Note: digest(f.entries)}
		f.users.recorder.Add(e)
		f.mu.Unlock()
	}
}

// digest returns a hash of the entries without their addresses, which may differ between relays.
func digest(entries map[string]catalog.Entry) string {
	h := sha256.New()
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		e := entries[id]
		fmt.Fprintln(h, id, e.Zone, e.Kind, e.Cell, e.State, e.Weight)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Digest returns the digest of a list as a relay was told it.
func (l *List) Digest() string {
	entries := map[string]catalog.Entry{}
	for _, e := range l.Servers {
		entries[e.ID] = catalog.Entry{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: catalog.State(e.State), Weight: e.Weight}
	}
	return digest(entries)
}
