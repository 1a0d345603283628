// Package client is a client of list servers. It tries one server after the other until one answers, and repeats a write whose
// outcome is unknown with the same idempotency key.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wallflow/internal/catalog"
	"wallflow/internal/listsvc"
)

const (
	requestTimeout   = 8 * time.Second // for one server; longer than forwarding to the leader may take
	maxResponseBytes = 256 << 20       // bytes
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
)

// Client sends requests to list servers.
type Client struct {
	Servers []string // HTTP addresses
	http    *http.Client
}

// New returns a client of the list servers at the given HTTP addresses.
func New(servers ...string) *Client {
	return &Client{Servers: servers, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableCompression: true}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// RejectedError is an error response of a server.
type RejectedError struct {
	Status int
	Why    string
	Entry  string
	Field  string
}

func (r *RejectedError) Error() string { return fmt.Sprintf("%s (status %d)", r.Why, r.Status) }

// Response is a successful response.
type Response struct {
	Header http.Header
	Body   []byte
}

// Do sends a request to one server after the other until one accepts or rejects it, or ctx ends. Servers that are unreachable
// or unavailable, such as for lack of a leader, are retried with a growing delay.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Response, error) {
	if len(c.Servers) == 0 {
		return Response{}, errors.New("no list server is named")
	}
	lastErrs := make([]error, len(c.Servers))
	for round := 0; ; round++ {
		delay := minRetryDelay << min(round, 4)
		for i, addr := range c.Servers {
			res, retryAfter, err := c.requestOnce(ctx, addr, method, path, header, body)
			var refused *RejectedError
			if err == nil || errors.As(err, &refused) && refused.Status != http.StatusServiceUnavailable {
				return res, err
			}
			lastErrs[i] = fmt.Errorf("%s: %w", addr, err)
			if retryAfter > 0 {
				delay = min(delay, retryAfter)
			}
			if ctx.Err() != nil {
				return Response{}, errors.Join(lastErrs...)
			}
		}
		select {
		case <-time.After(min(delay, maxRetryDelay)):
		case <-ctx.Done():
			return Response{}, errors.Join(lastErrs...)
		}
	}
}

// requestOnce sends a request to one server. retryAfter is the delay that an error response asks for.
func (c *Client) requestOnce(ctx context.Context, addr, method, path string, header http.Header, body []byte) (result Response, retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return result, 0, err
	}
	for name, v := range header {
		req.Header[name] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		return result, 0, err
	}
	defer res.Body.Close()
	result.Header = res.Header
	if result.Body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes)); err != nil {
		return result, 0, err
	}
	if res.StatusCode == http.StatusOK {
		return result, 0, nil
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		retryAfter = time.Duration(s) * time.Second
	}
	var p struct{ Error, Entry, Field string }
	if json.Unmarshal(result.Body, &p) != nil || p.Error == "" {
		p.Error = http.StatusText(res.StatusCode)
	}
	return result, retryAfter, &RejectedError{res.StatusCode, p.Error, p.Entry, p.Field}
}

// List reads the full list. If consistent is set, it contains every write acknowledged before the call.
func (c *Client) List(ctx context.Context, consistent bool) (l catalog.List, h http.Header, err error) {
	path := "/catalog/members"
	if consistent {
		path += "?consistent=1"
	}
	res, err := c.Do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return l, nil, err
	}
	if err := json.Unmarshal(res.Body, &l); err != nil {
		return l, nil, fmt.Errorf("list: %w", err)
	}
	return l, res.Header, nil
}

// Write applies changes atomically and exactly once.
func (c *Client) Write(ctx context.Context, ifMatch *int64, changes ...catalog.Change) (r catalog.Result, err error) {
	body, err := json.Marshal(map[string]any{"changes": changes})
	if err != nil {
		return r, err
	}
	var key [12]byte
	rand.Read(key[:]) // never returns an error
	h := http.Header{"Idempotency-Key": {hex.EncodeToString(key[:])}, "Content-Type": {"application/json"}}
	if ifMatch != nil {
		h.Set("If-Match", strconv.FormatInt(*ifMatch, 10))
	}
	res, err := c.Do(ctx, http.MethodPost, "/catalog/members", h, body)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(res.Body, &r)
}

// Policy reads the fleet's state with everything committed before the call.
func (c *Client) Policy(ctx context.Context) (r listsvc.FleetReport, err error) {
	res, err := c.Do(ctx, http.MethodGet, "/fleet/policy?consistent=1", nil, nil)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(res.Body, &r)
}

// Propose starts a change of the policy, exactly once.
func (c *Client) Propose(ctx context.Context, p listsvc.Proposal) (r listsvc.ProposalResponse, err error) {
	body, err := json.Marshal(p)
	if err != nil {
		return r, err
	}
	var key [12]byte
	rand.Read(key[:]) // never returns an error
	res, err := c.Do(ctx, http.MethodPost, "/fleet/policy", http.Header{"Idempotency-Key": {hex.EncodeToString(key[:])}, "Content-Type": {"application/json"}}, body)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(res.Body, &r)
}

// Drop drops a change that is not sealed.
func (c *Client) Drop(ctx context.Context, number int64, why string) error {
	_, err := c.Do(ctx, http.MethodDelete, "/fleet/policy/"+strconv.FormatInt(number, 10)+"?why="+url.QueryEscape(why), nil, nil)
	return err
}

// Retire removes the session of an agent whose machine is gone for good.
func (c *Client) Retire(ctx context.Context, id string) error {
	_, err := c.Do(ctx, http.MethodPost, "/fleet/retired/"+url.PathEscape(id), nil, nil)
	return err
}

// Report reads the status of one server.
func (c *Client) Report(ctx context.Context, addr string) (r listsvc.Report, err error) {
	res, _, err := c.requestOnce(ctx, addr, http.MethodGet, "/cluster/status", nil, nil)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(res.Body, &r)
}
