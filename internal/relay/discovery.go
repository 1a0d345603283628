package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	askSpan        = 75 * time.Millisecond // for each relay of the fleet, where calls for the list cost discovery work
	noticeMost     = 256                   // lines in a request
	noticeFirst    = 150 * time.Millisecond
	noticeTimeout  = time.Second
	noticeRetry    = 50 * time.Millisecond
	noticeRetryTop = time.Second
	watchLogEvery  = 10 * time.Second
)

// newAgentClient returns a client for discovery's agent.
func newAgentClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
	}}
}

// watcher follows discovery's list.
type watcher struct {
	log    *slog.Logger
	client *http.Client
	addr   string
	clock  listClock
	told   func(List)
	before time.Duration // longest pause before the first watch; 0: there is none
	rng    *rand.Rand

	loggedAt time.Time // when an ended watch was logged last
	unlogged int       // and how many ended since
}

// run follows the list from version on until ctx ends. It pauses for a random part of a bound that doubles while
// watches fail: what fails for many relays at one moment must not be asked for again by all at another.
func (w *watcher) run(ctx context.Context, version int64) {
	bound, answer := w.clock.first, w.clock.answer
	if w.before > 0 { // it has a list, and all that started or moved together would ask together
		sleep(ctx, w.upTo(w.before))
	}
	for ctx.Err() == nil {
		began := time.Now()
		end, err := w.follow(ctx, &version, answer)
		if ctx.Err() != nil {
			return
		}
		if end.held && time.Since(began) > bound {
			bound = w.clock.first
		}
		if end.answered {
			answer = w.clock.answer
		} else if end.givenUp { // discovery may be slow, or this process be kept from its core
			answer = min(w.clock.answerMost, 2*answer)
		}
		pause := w.upTo(bound)
		if w.clock.apart && !end.held {
			pause = bound/2 + pause/2
		}
		w.ended(version, err, pause)
		sleep(ctx, pause)
		bound = min(w.clock.most, 2*bound)
	}
}

// ended logs that a watch ended: the first at once, and those that follow soon as a number.
func (w *watcher) ended(version int64, err error, pause time.Duration) {
	w.unlogged++
	if time.Since(w.loggedAt) < watchLogEvery {
		return
	}
	w.log.Warn("watch ended", "addr", w.addr, "version", version, "err", err, "again_in", pause, "times", w.unlogged)
	w.loggedAt, w.unlogged = time.Now(), 0
}

// upTo draws a pause.
func (w *watcher) upTo(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// sleep waits for d or ctx's end.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// follower keeps one watcher running, at the address that discovery has now.
type follower struct {
	watcher
	version int64 // of the list told last; a watch at another address resumes there
	stop    context.CancelFunc
	done    chan struct{}
}

// move begins to watch at addr. The watch before has ended when it returns, so that lists come in their order.
func (f *follower) move(ctx context.Context, addr string) {
	f.end()
	ctx, f.stop = context.WithCancel(ctx)
	f.done = make(chan struct{})
	w := f.watcher
	w.addr = addr
	f.before = w.clock.first // a later move is told sooner than a start
	w.told = func(l List) { f.version = l.Version; f.told(l) }
	go func(version int64) {
		defer close(f.done)
		w.run(ctx, version)
	}(f.version)
}

// end ends the watch, if there is one.
func (f *follower) end() {
	if f.stop != nil {
		f.stop()
		<-f.done
	}
}

// watchEnd is how a watch went.
type watchEnd struct {
	answered bool // its head came
	held     bool // and a line or a list after it
	givenUp  bool // it was silent for too long
}

// follow is one watch, until its connection ends or falls silent. A connection that is cut off says nothing:
// only the missing lines tell. version is kept up, so that the next watch resumes where this one ended; where the list
// makes no sense it is 0, and the next one asks for all of it.
func (w *watcher) follow(ctx context.Context, version *int64, answer time.Duration) (end watchEnd, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(answer, func() { cancel(errSilent) })
	defer silence.Stop()
	defer func() {
		if end.givenUp = context.Cause(ctx) == errSilent; end.givenUp {
			err = errSilent
		}
	}()
	url := fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", w.addr, *version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return end, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return end, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return end, fmt.Errorf("discovery answers %s", res.Status)
	}
	end.answered = true
	silence.Reset(w.clock.silence)
	lists := newListReader(res.Body, func() { end.held = true; silence.Reset(w.clock.silence) })
	for {
		l, err := lists.next()
		if err != nil {
			return end, err
		}
		if l.Version < *version && !l.Full { // changes to a list that this relay has not had
			err := fmt.Errorf("version %d after %d: the whole list is wanted", l.Version, *version)
			*version = 0
			return end, err
		}
		*version = l.Version
		w.told(l)
	}
}

// finals delivers the final notices to the platform, each until it is taken.
type finals struct {
	log    *slog.Logger
	client *http.Client
	taken  func(ids []uint32)

	mu     sync.Mutex
	url    string
	queue  []notice
	signal chan struct{}
}

// notice tells the platform how a message ended.
type notice struct {
	id      uint32
	ID      string `json:"id"`
	Status  string `json:"status"`
	AgainMS int64  `json:"again_ms,omitempty"`
}

func newFinals(log *slog.Logger, client *http.Client, addr string, taken func([]uint32)) *finals {
	f := &finals{log: log, client: client, taken: taken, signal: make(chan struct{}, 1)}
	f.move(addr)
	return f
}

// move has notices go to another address, those that the old one did not take among them.
func (f *finals) move(addr string) {
	f.mu.Lock()
	f.url = "http://" + addr + "/v2/finals"
	f.mu.Unlock()
}

// add queues notices. It never waits, so that the loop does not.
func (f *finals) add(ns ...notice) {
	f.mu.Lock()
	f.queue = append(f.queue, ns...)
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// run sends what is queued until ctx ends. A notice that the platform did not confirm goes again: one for a
// message that is over does no harm, one that is missing loses a message. The platform answers at once: a connection that
// has fallen silent is given up while there is still time for another, and only one try after the other gets longer.
func (f *finals) run(ctx context.Context) {
	pause, answer := noticeRetry, noticeFirst
	for {
		f.mu.Lock()
		batch := f.queue[:min(len(f.queue), noticeMost)]
		f.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-f.signal:
			}
			continue
		}
		if err := f.post(ctx, batch, answer); err != nil {
			f.log.Warn("notices not taken", "count", len(batch), "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause, answer = min(noticeRetryTop, 2*pause), min(noticeTimeout, 2*answer)
			continue
		}
		pause, answer = noticeRetry, noticeFirst
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.id)
		}
		f.mu.Lock()
		if f.queue = f.queue[len(batch):]; len(f.queue) == 0 {
			f.queue = nil
		}
		f.mu.Unlock()
		f.taken(ids)
	}
}

func (f *finals) post(ctx context.Context, batch []notice, answer time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, answer)
	defer cancel()
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	f.mu.Lock()
	url := f.url
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &lines)
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, answerMost)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
