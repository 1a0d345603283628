package smallsystem

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	resolveWithin = time.Second
	idleMost      = 16 // connections to one relay
	idleTime      = 10 * time.Second
	confirmEach   = 5  // one request of so many is a confirmation
	conversations = 40 // whose prompts begin alike
)

// client sends requests to the relays that the directory names.
type client struct {
	directories []string
	place       place
	names       map[string]string // of relays, by address
	http        *http.Client
	numbers     atomic.Uint64

	mu      sync.Mutex
	relays  []string
	expires time.Time
}

// newClient is a client in a place.
func (s *System) newClient(place place) *client {
	c := &client{
		place: place,
		names: make(map[string]string),
		http: &http.Client{Transport: &http.Transport{
			DisableCompression:  true, // an answer counts only as the endpoint sent it
			MaxIdleConnsPerHost: idleMost,
			IdleConnTimeout:     idleTime,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for _, machine := range s.layout.control {
		c.directories = append(c.directories, machine.at(portDirectory))
	}
	for _, relay := range s.Relays() {
		c.names[relay.Front] = relay.Name
	}
	return c
}

// resolution is the answer of the directory.
type resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      float64  `json:"ttlS"`
}

// relay picks one of the relays that the directory named.
func (c *client) relay(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		if err := c.resolve(ctx); err != nil && len(c.relays) == 0 {
			return "", err // an old answer is held on to while there is no new one
		}
	}
	return c.relays[rand.IntN(len(c.relays))], nil
}

// resolve asks one directory after the other. The caller holds the lock.
func (c *client) resolve(ctx context.Context) error {
	var failure error
	for _, directory := range c.directories {
		answer, err := c.ask(ctx, directory)
		if err != nil {
			failure = err
			continue
		}
		c.relays = answer.Addresses
		c.expires = time.Now().Add(time.Duration(answer.TTLS * float64(time.Second)))
		return nil
	}
	return trace.Wrap(failure)
}

func (c *client) ask(ctx context.Context, directory string) (resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveWithin)
	defer cancel()
	query := url.Values{"name": {host}, "region": {c.place.region}, "zone": {c.place.zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return resolution{}, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return resolution{}, trace.Wrap(err)
	}
	defer response.Body.Close()
	var answer resolution
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return resolution{}, trace.Wrap(err)
	}
	if len(answer.Addresses) == 0 {
		return resolution{}, &NotReadyError{What: "directory " + directory + " names no relay"}
	}
	return answer, nil
}

// request is one request of a client, over all its tries.
type request struct {
	path    string
	wait    time.Duration // the client's patience
	again   bool          // it may be sent again after any failure
	events  int           // of the answer; 0: a plain answer
	headers map[string]string
}

const (
	sharedTokens = 900
	ownTokens    = 250
	answerTokens = 40
	tokensEach   = 5 // in an event
)

// next is the next request: most are for the model, some are confirmations.
func (c *client) next() request {
	number := c.numbers.Add(1)
	if number%confirmEach == 0 {
		return request{path: fmt.Sprintf("%s%d", prefixConfirm, number), wait: confirmTimeoutMs * time.Millisecond}
	}
	conversation := number % conversations
	return request{
		path:   fmt.Sprintf("%s%d", prefixChat, number),
		wait:   chatTimeoutMs * time.Millisecond,
		again:  true,
		events: answerTokens / tokensEach,
		headers: map[string]string{
			"X-Model":       modelName,
			"X-Token-Usage": fmt.Sprintf("%d,%d", sharedTokens+ownTokens, answerTokens),
			"X-Prefix-Hash": fmt.Sprintf("%x:%d,%x%x:%d", conversation+1, sharedTokens, c.place.zone, number, ownTokens),
		},
	}
}
