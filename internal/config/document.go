// Package config implements the operator's configuration: parsing and validating a document, applying changes to it, and looking up
// the route of a request. It also holds the replicated state that the operator's orders (changes of the configuration and evacuations
// of zones) result in. It does no input or output.
package config

import (
	"math"
	"time"
)

// Kind says whether a request of a route may be repeated.
type Kind string

// The kinds of route.
const (
	KindSafe      Kind = "safe"      // a request may run more than once
	KindUnsafe    Kind = "unsafe"    // a request runs at most once
	KindStreaming Kind = "streaming" // the response is a stream of events
)

// Document is a complete configuration as the operator sends it. Generation is its version.
type Document struct {
	Generation uint64    `json:"generation"`
	Routes     []Route   `json:"routes"`
	Backends   []Backend `json:"backends"`
	Limits     Limits    `json:"limits"`
}

// Route maps the requests for a host and path prefix to one service (Backend) or to several with weights (Split). Sticky is part of the
// schema, but is not evaluated.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`
	PathPrefix       string            `json:"pathPrefix"`
	Kind             Kind              `json:"kind"`
	TimeoutMs        float64           `json:"timeoutMs"` // maximum duration of a request
	TargetMs         float64           `json:"targetMs"`  // target latency
	Priority         int               `json:"priority"`  // a lower number is more urgent
	Backend          string            `json:"backend,omitempty"`
	Split            []WeightedBackend `json:"split,omitempty"`
	Retries          int               `json:"retries"` // maximum number of runs of an idempotent request
	Sticky           bool              `json:"sticky"`
	Resume           bool              `json:"resume"`      // an interrupted stream may be continued at another endpoint
	TargetEventGapMs float64           `json:"gap_aim_ms"`  // target for the longest pause between two events of a stream
	HomeRegions      []string          `json:"homeRegions"` // regions that requests are bound to; empty: any
}

// WeightedBackend is a service of a split and the relative share of requests that it gets.
type WeightedBackend struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// Backend is a service. New endpoints count as cold for WarmupS seconds, and all relays together send such an endpoint at most
// WarmupPerS requests per second. HealthPath, Protocol and TLS are part of the schema, but are not evaluated.
type Backend struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"` // maximum number of connections to an endpoint, over all relays; 0: no limit
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Engine describes the LLM inference engines behind a service: the size of a batch in sequences (Slots) and the capacity of the
// key-value cache in tokens (KVCapacity). The other fields are part of the schema, but are not evaluated.
type Engine struct {
	Slots      int     `json:"slots"`
	KVCapacity int64   `json:"kvCapacity"`
	KVBytes    float64 `json:"kvBytes"`
	LinkMbps   float64 `json:"linkMbps"`
	Stride     int     `json:"stride"`
	Models     []Model `json:"models"`
}

// Model is one model that an engine serves.
type Model struct {
	Name string `json:"name"`
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`  // size of the request header
	MaxBodyBytes    int64   `json:"maxBodyBytes"`    // size of the request body
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"` // time to receive a request header
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`   // idle time of a connection
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resume
}

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.TimeoutMs) }

// Target returns the target latency. A response within it has its full value.
func (r *Route) Target() time.Duration { return milliseconds(r.TargetMs) }

// TargetEventGap returns the target for the longest pause between two events of a stream. A stream with a longer pause counts as late. Without
// a target in the configuration it returns the largest duration.
func (r *Route) TargetEventGap() time.Duration {
	if r.TargetEventGapMs <= 0 {
		return math.MaxInt64
	}
	return milliseconds(r.TargetEventGapMs)
}

// WeightedBackends returns the services that get requests of the route, in the order of the configuration and each with a weight above 0. A
// route without a split has a single one.
func (r *Route) WeightedBackends() []WeightedBackend {
	if len(r.Split) == 0 {
		return []WeightedBackend{{Backend: r.Backend, Weight: 1}}
	}
	shares := make([]WeightedBackend, 0, len(r.Split))
	for _, share := range r.Split {
		if share.Weight > 0 {
			shares = append(shares, share)
		}
	}
	return shares
}

// maxMilliseconds is about 32 years. Longer times are cut to it, since they would overflow time.Duration.
const maxMilliseconds = 1e12

func milliseconds(value float64) time.Duration {
	return time.Duration(min(value, maxMilliseconds) * float64(time.Millisecond))
}
