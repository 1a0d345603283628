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
	askSpreadPerRelay = 75 * time.Millisecond // per relay of the fleet: how far calls are spread if they are costly for discovery
	maxNoticeBatch    = 256                   // notices in a request
	minNoticeTimeout  = 150 * time.Millisecond
	maxNoticeTimeout  = time.Second
	minNoticeRetry    = 50 * time.Millisecond
	maxNoticeRetry    = time.Second
	watchLogInterval  = 10 * time.Second
)

// newAgentClient returns the HTTP client for discovery's agent.
func newAgentClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
	}}
}

// watcher follows discovery's host list by a streaming request, a watch, and starts a new one whenever it ends.
type watcher struct {
	log           *slog.Logger
	client        *http.Client
	addr          string
	timing        watchTiming
	onList        func(HostList)
	maxStartPause time.Duration // upper bound for the random pause before the first watch; 0: no pause
	rng           *rand.Rand

	loggedAt time.Time // when the end of a watch was last logged
	unlogged int       // watches that have ended since then
}

// run follows the list from version on until ctx ends. Between watches it pauses for a random part of a bound that
// doubles while watches fail, so that relays whose watches failed at the same moment do not retry together.
func (w *watcher) run(ctx context.Context, version int64) {
	maxPause, answerTimeout := w.timing.firstPause, w.timing.answerTimeout
	if w.maxStartPause > 0 { // spread the calls of relays that started, or were moved, at the same time
		sleep(ctx, w.randomPause(w.maxStartPause))
	}
	for ctx.Err() == nil {
		began := time.Now()
		end, err := w.watchOnce(ctx, &version, answerTimeout)
		if ctx.Err() != nil {
			return
		}
		if end.gotData && time.Since(began) > maxPause {
			maxPause = w.timing.firstPause
		}
		if end.answered {
			answerTimeout = w.timing.answerTimeout
		} else if end.timedOut { // discovery may be slow, or this process short of CPU time
			answerTimeout = min(w.timing.maxAnswerTimeout, 2*answerTimeout)
		}
		pause := w.randomPause(maxPause)
		if w.timing.callsAreCostly && !end.gotData {
			pause = maxPause/2 + pause/2
		}
		w.logEnd(version, err, pause)
		sleep(ctx, pause)
		maxPause = min(w.timing.maxPause, 2*maxPause)
	}
}

// logEnd logs that a watch ended. It logs at most once per watchLogInterval, with the number of watches since the last
// line.
func (w *watcher) logEnd(version int64, err error, pause time.Duration) {
	w.unlogged++
	if time.Since(w.loggedAt) < watchLogInterval {
		return
	}
	w.log.Warn("watch ended", "addr", w.addr, "version", version, "err", err, "again_in", pause, "times", w.unlogged)
	w.loggedAt, w.unlogged = time.Now(), 0
}

// randomPause returns a random pause below bound.
func (w *watcher) randomPause(bound time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(bound)))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// discoveryFollower keeps one watcher running at the current address of discovery.
type discoveryFollower struct {
	watcher
	version int64 // of the last list received; a watch at a new address resumes from it
	stop    context.CancelFunc
	done    chan struct{}
}

// watchAt starts watching at addr. It first waits for the previous watcher to end, so that lists arrive in order.
func (f *discoveryFollower) watchAt(ctx context.Context, addr string) {
	f.stopWatch()
	ctx, f.stop = context.WithCancel(ctx)
	f.done = make(chan struct{})
	w := f.watcher
	w.addr = addr
	f.maxStartPause = w.timing.firstPause // a move has less time than a start
	w.onList = func(l HostList) { f.version = l.Version; f.onList(l) }
	go func(version int64) {
		defer close(f.done)
		w.run(ctx, version)
	}(f.version)
}

// stopWatch stops the watcher, if there is one, and waits for its end.
func (f *discoveryFollower) stopWatch() {
	if f.stop != nil {
		f.stop()
		<-f.done
	}
}

// watchEnd describes how far a watch got.
type watchEnd struct {
	answered bool // a response header was received
	gotData  bool // and an empty line or a list after it
	timedOut bool // nothing was received for too long
}

// watchOnce runs one watch until its connection ends or falls silent. A connection that was cut without a FIN or RST can
// only be detected by the missing lines. version is updated, so that the next watch resumes where this one ended; it is
// set to 0 if the lists are inconsistent, and the next watch then requests the complete list.
func (w *watcher) watchOnce(ctx context.Context, version *int64, answerTimeout time.Duration) (end watchEnd, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(answerTimeout, func() { cancel(errSilent) })
	defer timer.Stop()
	defer func() {
		if end.timedOut = context.Cause(ctx) == errSilent; end.timedOut {
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
	timer.Reset(w.timing.silenceTimeout)
	lists := newListReader(res.Body, func() { end.gotData = true; timer.Reset(w.timing.silenceTimeout) })
	for {
		l, err := lists.next()
		if err != nil {
			return end, err
		}
		if l.Version < *version && !l.Full { // changes to a list that this relay does not have
			err := fmt.Errorf("changes of version %d after version %d: requesting the complete list", l.Version, *version)
			*version = 0
			return end, err
		}
		*version = l.Version
		w.onList(l)
	}
}

// noticeSender delivers final notices to the platform. It repeats each notice until the platform confirms it.
type noticeSender struct {
	log        *slog.Logger
	client     *http.Client
	onAccepted func(ids []uint32)

	mu     sync.Mutex
	url    string
	queue  []notice
	signal chan struct{}
}

// notice tells the platform how a message ended.
type notice struct {
	messageID uint32
	ID        string `json:"id"`
	Status    string `json:"status"`
	AgainMS   int64  `json:"again_ms,omitempty"`
}

func newNoticeSender(log *slog.Logger, client *http.Client, addr string, onAccepted func([]uint32)) *noticeSender {
	s := &noticeSender{log: log, client: client, onAccepted: onAccepted, signal: make(chan struct{}, 1)}
	s.setAddr(addr)
	return s
}

// setAddr changes the address for all notices that are not confirmed yet.
func (s *noticeSender) setAddr(addr string) {
	s.mu.Lock()
	s.url = "http://" + addr + "/v2/finals"
	s.mu.Unlock()
}

// add queues notices. It does not block, since the loop calls it.
func (s *noticeSender) add(ns ...notice) {
	s.mu.Lock()
	s.queue = append(s.queue, ns...)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// run sends queued notices until ctx ends. It repeats a notice that was not confirmed: a duplicate is harmless, but
// without its notice a message would be lost. The platform normally answers at once, so the first timeout is short enough
// to try another connection in time if one has fallen silent; the timeout doubles with each further try.
func (s *noticeSender) run(ctx context.Context) {
	pause, timeout := minNoticeRetry, minNoticeTimeout
	for {
		s.mu.Lock()
		batch := s.queue[:min(len(s.queue), maxNoticeBatch)]
		s.mu.Unlock()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-s.signal:
			}
			continue
		}
		if err := s.postBatch(ctx, batch, timeout); err != nil {
			s.log.Warn("notices not accepted", "count", len(batch), "err", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause, timeout = min(maxNoticeRetry, 2*pause), min(maxNoticeTimeout, 2*timeout)
			continue
		}
		pause, timeout = minNoticeRetry, minNoticeTimeout
		ids := make([]uint32, 0, len(batch))
		for _, n := range batch {
			ids = append(ids, n.messageID)
		}
		s.mu.Lock()
		if s.queue = s.queue[len(batch):]; len(s.queue) == 0 {
			s.queue = nil
		}
		s.mu.Unlock()
		s.onAccepted(ids)
	}
}

// postBatch sends notices in one request.
func (s *noticeSender) postBatch(ctx context.Context, batch []notice, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for _, n := range batch {
		if err := enc.Encode(n); err != nil {
			return err
		}
	}
	s.mu.Lock()
	url := s.url
	s.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &lines)
	if err != nil {
		return err
	}
	res, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes)); err != nil {
		return err
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answers %s", res.Status)
	}
	return nil
}
