package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Response is the response of an endpoint. Read returns its body, and io.EOF only at the end of a complete body: as marked by its
// length or its last chunk, or, for a body that has neither, when the endpoint closes its side of the connection in order
// (RFC 9112, 6.3). If the body ends in any other way, as by a reset, Read returns an *Error.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if it is chunked or ends with its connection

	ctx           context.Context
	body          io.Reader
	selfDelimited bool   // the end of the body is marked
	complete      bool   // the body was read to its end
	err           *Error // first read error
	idleTimeout   time.Duration
	conn          *connection // nil after Close
	stopWatch     func() bool // stops closing the connection when ctx ends; false if ctx has already ended
}

// newResponse returns the response whose head was read from the connection.
func (c *connection) newResponse(ctx context.Context, res *http.Response) *Response {
	response := &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		ctx: ctx, body: res.Body, selfDelimited: selfDelimited(res), conn: c,
		idleTimeout: idleTimeout(res, c.pool.options.IdleTimeout),
	}
	if res.Body == http.NoBody {
		response.complete = true
	}
	return response
}

// Read implements io.Reader for the body.
func (r *Response) Read(p []byte) (int, error) {
	switch {
	case r.complete:
		return 0, io.EOF
	case r.err != nil:
		return 0, r.err
	case r.conn == nil:
		return 0, &Error{Kind: Canceled, Sent: true}
	}
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF { // net/http returns io.ErrUnexpectedEOF before a marked end
		r.complete = true
		return n, io.EOF
	}
	r.err = &Error{Kind: classifyError(r.ctx, err), InstanceID: r.conn.endpoint.instanceID, Sent: true, Err: err}
	return n, r.err
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }

// SelfDelimited reports whether the body marks its own end. Otherwise it ends with its connection, so that a body that the endpoint
// broke off without a reset cannot be told from a complete one by its framing.
func (r *Response) SelfDelimited() bool { return r.selfDelimited }

// SetDeadline sets the time after which reading the body fails with TimedOut; zero means no deadline.
func (r *Response) SetDeadline(at time.Time) {
	if r.conn != nil {
		r.conn.SetReadDeadline(at)
	}
}

// Close ends the exchange. The connection is returned to the pool only after a complete body with no further bytes behind it.
// Otherwise it is closed, which makes the endpoint stop working on the request.
func (r *Response) Close() error {
	c := r.conn
	if c == nil {
		return nil
	}
	r.conn = nil
	stopped := r.stopWatch()
	if stopped && r.complete && r.selfDelimited && !c.tainted && r.idleTimeout > 0 && c.reader.Buffered() == 0 {
		c.pool.release(c, r.idleTimeout)
	} else {
		c.pool.discard(c)
	}
	return nil
}
