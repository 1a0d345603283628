package relay

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

const (
	bodyMost   = 64 << 10
	traceMost  = 256 // bytes of an id or a key
	expiresTop = 24 * time.Hour

	// requestFor is how long a peer may take to send a request, and to take its answer in. A client gives its
	// relay 400 ms from its last byte, which may take over 2 s to come; any other peer is owed an end within 3 s
	// of its connection's opening.
	requestFor = 2750 * time.Millisecond
)

// answer is what a client is told of the message that it handed in.
type answer struct {
	status int
	again  time.Duration // advice with a refusal; 0: none
	policy int64         // that the message was taken on under; 0: none
}

// newServer returns the server that clients connect to.
func (r *Relay) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", r.health)
	mux.HandleFunc("POST /{class}", r.handIn)
	return &http.Server{
		Handler:        r.closing(framed(mux)),
		ReadTimeout:    requestFor, // from the connection's opening for the first request; head and body
		WriteTimeout:   requestFor,
		IdleTimeout:    2 * time.Minute,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
}

// closing ends each connection with its answer where the module has the door keep none.
func (r *Relay) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mayKeep(w)
		next.ServeHTTP(w, req)
	})
}

// mayKeep says with an answer that its connection ends, where it is to.
func (r *Relay) mayKeep(w http.ResponseWriter) {
	if !r.does.Load().KeepAlive {
		w.Header().Set("Connection", "close")
	}
}

// framed lets only requests through whose body is framed by Content-Length, the one form that clients use. The
// library lets a transfer coding override a length without a word, and whoever stands before the relay may
// have gone by the length: what is one body to them must not be read as a body and a request behind it.
func framed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength > bodyMost {
			turnAway(w, http.StatusRequestEntityTooLarge, "body over 64 KiB") // before it comes
		} else if len(req.TransferEncoding) == 0 {
			next.ServeHTTP(w, req)
		} else if _, err := readBody(w, req); err != nil {
			turnAway(w, bodyStatus(err), "body unreadable, or over 64 KiB")
		} else {
			turnAway(w, http.StatusLengthRequired, "a body needs a Content-Length and no transfer coding")
		}
	})
}

func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, req.Body, bodyMost))
}

// bodyStatus is the answer to a request whose body cannot be read.
func bodyStatus(err error) int {
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// turnAway answers a request that is not a proper one and ends its connection: nothing that follows on it is
// waited for or read.
func turnAway(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Connection", "close")
	http.Error(w, why, status)
}

func (r *Relay) health(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handIn takes one message. Whatever is malformed ends here and never reaches the decision module.
func (r *Relay) handIn(w http.ResponseWriter, req *http.Request) {
	came := time.Now()
	m, c, left, err := r.parse(req)
	if err != nil {
		turnAway(w, http.StatusBadRequest, err.Error())
		return
	}
	m.Deadline = came.Add(left)
	if m.Body, err = readBody(w, req); err != nil {
		turnAway(w, bodyStatus(err), "body unreadable, or over 64 KiB")
		return
	}
	if !wholeRequest(req.Context()) {
		panic(http.ErrAbortHandler) // its connection is closed, and nothing else is an answer
	}
	in := &handIn{m: m, class: c, reply: make(chan answer, 1)}
	if !r.post(in) {
		c.tally.count(handedBack)
		r.reply(w, answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice})
		return
	}
	a := answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice} // it came too late for this process
	select {
	case a = <-in.reply:
	case <-r.over:
		select {
		case a = <-in.reply:
		default:
		}
	}
	// A client that has left without the answer hands the message in anew: this one must not be sent as well.
	if req.Context().Err() != nil {
		if m.ID != 0 { // the loop has numbered it: it is this connection's own
			r.post(withdrawal{m.ID})
		}
		// It may have ended its sending alone and still read: no answer at all would reach it as a 200.
		r.reply(w, answer{status: http.StatusInternalServerError})
		return
	}
	r.reply(w, a)
}

// reply writes an answer, with advice if there is any.
func (r *Relay) reply(w http.ResponseWriter, a answer) {
	r.mayKeep(w) // a drain may have begun since the request came
	if a.again > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.again.Seconds(), 'f', 3, 64))
	}
	if a.policy > 0 {
		w.Header().Set("X-Policy", strconv.FormatInt(a.policy, 10))
	}
	w.WriteHeader(a.status)
}

// parse reads all of a request but its body.
func (r *Relay) parse(req *http.Request) (m *wal.Message, c *class, left time.Duration, err error) {
	names := r.names.Load()
	c = names.classes[req.PathValue("class")]
	m = &wal.Message{
		Trace: req.Header.Get("X-Trace-Id"),
		Key:   req.Header.Get("Idempotency-Key"),
		Order: req.URL.Query().Get("key"), // what the message is about, where its class keeps order
	}
	switch {
	case c == nil:
		return nil, nil, 0, fmt.Errorf("unknown class %q", req.PathValue("class"))
	case req.Header.Get("X-Qos") != req.PathValue("class"):
		return nil, nil, 0, errors.New("X-Qos and the path differ")
	case !knownQuery(req, c):
		return nil, nil, 0, errors.New("unknown query")
	case m.Trace == "" || max(len(m.Trace), len(m.Key), len(m.Order)) > traceMost:
		return nil, nil, 0, errors.New("no X-Trace-Id, or an id or key too long")
	case m.Key == "" && c.terms.Effect == policy.Keyed:
		return nil, nil, 0, errors.New("no Idempotency-Key")
	}
	if len(names.customers) > 0 {
		if m.Customer = slices.Index(names.customers, req.Header.Get("X-Customer")); m.Customer < 0 {
			return nil, nil, 0, fmt.Errorf("unknown customer %q", req.Header.Get("X-Customer"))
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > expiresTop.Milliseconds() {
		return nil, nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Dest, err = destination(req.Header.Get("Envelope")); err != nil {
		return nil, nil, 0, err
	}
	return m, c, time.Duration(ms) * time.Millisecond, nil
}

// knownQuery tells whether the request's query is one that clients send: the key, where the class keeps order.
// Any other comes from a stranger, who may have an id of a client's: taken on first, its message would stand in
// the place of the client's own.
func knownQuery(req *http.Request, c *class) bool {
	if req.URL.RawQuery == "" && !req.URL.ForceQuery {
		return true
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	return err == nil && c.terms.Ordered && len(query) == 1 && len(query["key"]) == 1
}

// destination finds dest among the name=value pairs of an envelope.
func destination(envelope string) (int, error) {
	for _, pair := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, fmt.Errorf("bad dest %q", value)
			}
			return n, nil
		}
	}
	return 0, errors.New("no dest in Envelope")
}
