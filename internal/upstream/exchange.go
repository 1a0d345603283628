package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Do sends the request to the target and returns the answer once its head has come. The request is written once at most: only a
// connection that takes no byte of it is exchanged for another. Every error is an *Error. Where it returns an answer, that is to
// be closed; until then the end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, target Target, request *Request) (*Response, error) {
	if !request.valid() {
		return nil, &Error{Kind: NotSent, InstanceID: target.InstanceID, Err: errInvalid}
	}
	if !request.GiveUpAt.IsZero() && !time.Now().Before(request.GiveUpAt) {
		return nil, &Error{Kind: NotSent, InstanceID: target.InstanceID, Err: os.ErrDeadlineExceeded}
	}
	for {
		c, err := p.take(ctx, target, request)
		if err != nil {
			return nil, err
		}
		kept := c.kept
		response, failure := c.exchange(ctx, request)
		if failure == nil {
			return response, nil
		}
		if failure.Kind == NotSent && kept && !errors.Is(failure.Err, os.ErrDeadlineExceeded) {
			continue // another kept one, or a new one
		}
		failure.InstanceID = target.InstanceID
		return nil, failure
	}
}

// exchange sends the request and reads the head of its answer. After an error the connection is closed.
func (c *connection) exchange(ctx context.Context, request *Request) (*Response, *Error) {
	if err := c.begin(request); err != nil {
		c.pool.discard(c)
		return nil, &Error{Kind: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	response, failure := c.converse(ctx, request)
	if failure != nil {
		stop()
		c.pool.discard(c)
		return nil, failure
	}
	response.stop = stop
	return response, nil
}

func (c *connection) converse(ctx context.Context, request *Request) (*Response, *Error) {
	if n, err := c.send(request); err != nil {
		kind := kindOf(ctx, err)
		if n == 0 && kind != Abandoned {
			kind = NotSent
		}
		return nil, &Error{Kind: kind, Sent: n > 0, Err: err}
	}
	res, err := c.readHead(request)
	if err != nil {
		kind := readKind(ctx, err)
		if kind == Malformed && c.ended { // a part of a line is all that came
			kind = Cut
		}
		return nil, &Error{Kind: kind, Sent: true, Err: err}
	}
	return c.newResponse(ctx, res), nil
}

// readKind is kindOf, for what the search for the right answer returns.
func readKind(ctx context.Context, err error) Kind {
	switch {
	case errors.Is(err, errNoRequestID), errors.Is(err, errManyExtras), errors.Is(err, errExtraTooLarge):
		return WrongAnswer
	}
	return kindOf(ctx, err)
}

// readHead reads heads up to that of the request's own answer. Interim answers and the late answer to an earlier request are
// skipped.
func (c *connection) readHead(request *Request) (*http.Response, error) {
	asked := http.Request{Method: request.Method}
	for skipped := 0; ; {
		res, err := c.readOneHead(&asked)
		if err != nil {
			return nil, err
		}
		if interim(res.StatusCode) {
			continue
		}
		id := res.Header.Get(headerRequestID)
		if id == request.ID {
			return res, nil
		}
		c.tainted = true
		if err := c.skip(res, id, skipped); err != nil {
			return nil, err
		}
		skipped++
	}
}

func (c *connection) readOneHead(asked *http.Request) (*http.Response, error) {
	c.headLeft = headBytesMost
	defer func() { c.headLeft = -1 }()
	res, err := http.ReadResponse(c.reader, asked)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusSwitchingProtocols || res.StatusCode < http.StatusContinue {
		return nil, errUnexpectedStatus
	}
	return res, nil
}

var errUnexpectedStatus = errors.New("the status is not one of an answer")

func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// skip reads an answer that belongs to another request, and leaves its bytes to nobody.
func (c *connection) skip(res *http.Response, id string, skipped int) error {
	switch {
	case id == "":
		return errNoRequestID
	case skipped >= extraMost:
		return errManyExtras
	case !framed(res):
		return errNoLength
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, extraBytesMost))
	if err != nil {
		return err
	}
	if n == extraBytesMost {
		return errExtraTooLarge
	}
	c.pool.mu.Lock()
	c.pool.stats.Extra++
	c.pool.mu.Unlock()
	return nil
}

// framed tells whether the answer itself marks the end of its body.
func framed(res *http.Response) bool {
	return res.Body == http.NoBody || res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// idleTime is how long the connection may be kept after the answer; 0: not at all.
func idleTime(res *http.Response, otherwise time.Duration) time.Duration {
	if res.Close {
		return 0
	}
	for _, value := range res.Header.Values(headerKeepAlive) {
		for part := range strings.SplitSeq(value, ",") {
			seconds, ok := strings.CutPrefix(strings.TrimSpace(part), keepAliveField)
			if !ok {
				continue
			}
			count, err := strconv.Atoi(seconds)
			if err != nil || count <= 0 {
				return 0
			}
			return time.Duration(count) * time.Second * idleNumerator / idleDivisor
		}
	}
	return otherwise
}
