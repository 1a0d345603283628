package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Response is the answer of an endpoint. Its body is read with Read, which returns io.EOF only after a whole body: one that ended
// where its length or its last chunk says. A body that ends in any other way ends with an *Error.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1: it comes in chunks, or its end is not marked

	ctx    context.Context
	body   io.Reader
	framed bool
	whole  bool
	failed *Error
	idle   time.Duration
	conn   *connection // nil once closed
	stop   func() bool // ends the watch over ctx
}

func (c *connection) newResponse(ctx context.Context, res *http.Response) *Response {
	response := &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		ctx: ctx, body: res.Body, framed: framed(res), conn: c,
		idle: idleTime(res, c.pool.options.IdleTimeout),
	}
	if res.Body == http.NoBody {
		response.whole = true
	}
	return response
}

// Read reads of the body.
func (r *Response) Read(p []byte) (int, error) {
	switch {
	case r.whole:
		return 0, io.EOF
	case r.failed != nil:
		return 0, r.failed
	case r.conn == nil:
		return 0, &Error{Kind: Abandoned, Sent: true}
	}
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && r.framed {
		r.whole = true
		return n, io.EOF
	}
	if err == io.EOF {
		err = errNoLength
	}
	r.failed = &Error{Kind: kindOf(r.ctx, err), InstanceID: r.conn.endpoint.instanceID, Sent: true, Err: err}
	return n, r.failed
}

// Whole tells whether the body was read to its marked end.
func (r *Response) Whole() bool { return r.whole }

// GiveUpAt sets when reading the body fails with Silence; the zero time: never.
func (r *Response) GiveUpAt(at time.Time) {
	if r.conn != nil {
		r.conn.SetReadDeadline(at)
	}
}

// Close ends the exchange. The connection is kept only after a whole body with nothing behind it; otherwise it is closed, and with
// it ends the endpoint's work on the request.
func (r *Response) Close() error {
	c := r.conn
	if c == nil {
		return nil
	}
	r.conn = nil
	watched := r.stop()
	if watched && r.whole && !c.tainted && r.idle > 0 && c.reader.Buffered() == 0 {
		c.pool.put(c, r.idle)
	} else {
		c.pool.discard(c)
	}
	return nil
}
