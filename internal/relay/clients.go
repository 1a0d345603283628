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
	maxBodyBytes = 64 << 10
	maxIDBytes   = 256 // of an id or a key
	maxExpiry    = 24 * time.Hour

	// requestTimeout is how long a peer may take to send a request, and to read its answer. A client may take over 2 s to
	// send its request and waits 400 ms for the answer after its last byte; connections of any other peer must end
	// within 3 s of being opened.
	requestTimeout = 2750 * time.Millisecond
)

// answer is the reply to a client that submitted a message.
type answer struct {
	status       int
	retryAfter   time.Duration // Retry-After of a refusal; 0: none
	policyNumber int64         // fleet policy under which the message was accepted; 0: none
}

// newServer returns the HTTP server for clients.
func (r *Relay) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", r.health)
	mux.HandleFunc("POST /{class}", r.handleMessage)
	return &http.Server{
		Handler:        r.closeWhenDraining(requireContentLength(mux)),
		ReadTimeout:    requestTimeout, // of header and body; for the first request from the connection's opening
		WriteTimeout:   requestTimeout,
		IdleTimeout:    2 * time.Minute,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
}

// closeWhenDraining closes each connection after its answer while the decision module lets no connection be kept.
func (r *Relay) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.setConnectionClose(w)
		next.ServeHTTP(w, req)
	})
}

// setConnectionClose adds "Connection: close" to an answer if the connection must not be kept.
func (r *Relay) setConnectionClose(w http.ResponseWriter) {
	if !r.listenerState.Load().KeepAlive {
		w.Header().Set("Connection", "close")
	}
}

// requireContentLength rejects requests whose body is not framed by Content-Length, the only form that clients use. It
// prevents request smuggling: net/http silently lets a transfer coding override a length, and a proxy in front of the
// relay may have gone by the length and passed a second request inside the body.
func requireContentLength(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.ContentLength > maxBodyBytes {
			rejectAndClose(w, http.StatusRequestEntityTooLarge, "body over 64 KiB") // before it is read
		} else if len(req.TransferEncoding) == 0 {
			next.ServeHTTP(w, req)
		} else if _, err := readBody(w, req); err != nil {
			rejectAndClose(w, bodyErrorStatus(err), "body unreadable, or over 64 KiB")
		} else {
			rejectAndClose(w, http.StatusLengthRequired, "a body needs a Content-Length and no transfer coding")
		}
	})
}

func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
}

// bodyErrorStatus returns the status for a request whose body could not be read.
func bodyErrorStatus(err error) int {
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// rejectAndClose answers an invalid request and closes its connection: nothing that follows on it is read.
func rejectAndClose(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

func (r *Relay) health(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleMessage accepts one message from a client. A malformed request is rejected here and never reaches the decision
// module.
func (r *Relay) handleMessage(w http.ResponseWriter, req *http.Request) {
	receivedAt := time.Now()
	m, c, timeLeft, err := r.parseRequest(req)
	if err != nil {
		rejectAndClose(w, http.StatusBadRequest, err.Error())
		return
	}
	m.Deadline = receivedAt.Add(timeLeft)
	if m.Body, err = readBody(w, req); err != nil {
		rejectAndClose(w, bodyErrorStatus(err), "body unreadable, or over 64 KiB")
		return
	}
	if !markRequestComplete(req.Context()) {
		panic(http.ErrAbortHandler) // the connection was closed to make room for another: there is no one to answer
	}
	sub := &submission{msg: m, class: c, reply: make(chan answer, 1)}
	if !r.post(sub) {
		c.counters.count(refused)
		r.writeAnswer(w, answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice})
		return
	}
	a := answer{status: http.StatusServiceUnavailable, retryAfter: policy.RetryAdvice} // in case the loop has ended
	select {
	case a = <-sub.reply:
	case <-r.loopDone:
		select {
		case a = <-sub.reply:
		default:
		}
	}
	// A client that disconnects before the answer submits the message again, as a new one: this one must not be sent too.
	if req.Context().Err() != nil {
		if m.ID != 0 { // the loop accepted it from this request, not from an earlier one with the same id
			r.post(withdrawal{m.ID})
		}
		// The client may have closed only its sending half. Without an explicit status it would receive a 200.
		r.writeAnswer(w, answer{status: http.StatusInternalServerError})
		return
	}
	r.writeAnswer(w, a)
}

// writeAnswer writes an answer with its header fields.
func (r *Relay) writeAnswer(w http.ResponseWriter, a answer) {
	r.setConnectionClose(w) // a drain may have begun since the request was read
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.policyNumber > 0 {
		w.Header().Set("X-Policy", strconv.FormatInt(a.policyNumber, 10))
	}
	w.WriteHeader(a.status)
}

// parseRequest reads everything of a request except its body: the message, its class and how long it may be delivered.
func (r *Relay) parseRequest(req *http.Request) (m *wal.Message, c *class, timeLeft time.Duration, err error) {
	names := r.names.Load()
	c = names.classes[req.PathValue("class")]
	m = &wal.Message{
		Trace: req.Header.Get("X-Trace-Id"),
		Key:   req.Header.Get("Idempotency-Key"),
		Order: req.URL.Query().Get("key"), // messages with the same key are delivered in order if their class is ordered
	}
	switch {
	case c == nil:
		return nil, nil, 0, fmt.Errorf("unknown class %q", req.PathValue("class"))
	case req.Header.Get("X-Qos") != req.PathValue("class"):
		return nil, nil, 0, errors.New("X-Qos and the path differ")
	case !knownQuery(req, c):
		return nil, nil, 0, errors.New("unknown query")
	case m.Trace == "" || max(len(m.Trace), len(m.Key), len(m.Order)) > maxIDBytes:
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
	if err != nil || ms < 0 || ms > maxExpiry.Milliseconds() {
		return nil, nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Dest, err = parseDestination(req.Header.Get("Envelope")); err != nil {
		return nil, nil, 0, err
	}
	return m, c, time.Duration(ms) * time.Millisecond, nil
}

// knownQuery reports whether the request's query is one that clients send: none, or the key of an ordered class. A
// request with any other query comes from an unknown sender that may use the id of a client's message; if it were
// accepted first, the client's own message would be taken for a repeat of it.
func knownQuery(req *http.Request, c *class) bool {
	if req.URL.RawQuery == "" && !req.URL.ForceQuery {
		return true
	}
	query, err := url.ParseQuery(req.URL.RawQuery)
	return err == nil && c.terms.Ordered && len(query) == 1 && len(query["key"]) == 1
}

// parseDestination returns the value of dest among the name=value pairs of an Envelope header.
func parseDestination(envelope string) (int, error) {
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
