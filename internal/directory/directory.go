// Package directory answers clients that ask for the addresses of relays. Control processes and relays both serve it, from the member
// list of the membership protocol.
package directory

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"wallflow/internal/httpapi"
	"wallflow/internal/swim"
)

const (
	// defaultTTL is how long a client may cache an answer.
	defaultTTL = 2 * time.Second
	// maxAddresses is the largest number of addresses that a client accepts in one answer.
	maxAddresses = 64
)

// Options configures a Directory.
type Options struct {
	Members func() []swim.Member // returns the members that are not known to be dead; called from several goroutines
	// Departures returns the members that have left by plan, as far as this process learned of it after the given time; nil: none are
	// known. Called from several goroutines.
	Departures func(after time.Time) []swim.Departure
	MaxTTL     time.Duration // upper bound of the TTL of an answer; 0: no bound
	Region     string        // of this process
	// HomeRegions returns the sets of home regions of a host's routes, one per route that has any; nil: no route has home regions.
	// Called from several goroutines.
	HomeRegions func(host string) [][]string
	// HasQuorum reports whether this process has contact with a majority of the control processes; nil: it always has.
	HasQuorum func() bool
	Now       func() time.Time // current time; nil: time.Now
}

// Directory answers clients that ask for relays.
type Directory struct {
	options Options
	history relayHistory
}

// New returns a directory that answers from the given options.
func New(options Options) *Directory {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Departures == nil {
		options.Departures = func(time.Time) []swim.Departure { return nil }
	}
	return &Directory{options: options, history: relayHistory{region: options.Region}}
}

// RecordMembers records the current members, so that the directory can still return relays that disappear from the member list later.
// It is called about once a second.
func (d *Directory) RecordMembers() {
	d.record(d.options.Now(), d.options.Members())
}

func (d *Directory) record(now time.Time, members []swim.Member) {
	d.history.record(now, members, d.options.Departures(now.Add(-lostRelayRetention)))
}

// addresses returns the addresses of the relays for a client. A directory that is isolated from all other regions adds the relays with
// which it has lost contact: clients may still reach them, and the nearby relays may be unable to serve routes whose home regions are
// elsewhere.
func (d *Directory) addresses(host, zone, region string) []string {
	members := d.options.Members()
	now := d.options.Now()
	d.record(now, members)
	query := query{zone: zone, region: region, homeRegions: d.homeRegionsOf(host)}
	nearest := query.nearest(members, func() bool { return d.history.expectsReturn(now, query) })
	if d.options.HasQuorum == nil || d.options.HasQuorum() {
		return sample(nearest)
	}
	return sample(append(nearest, d.history.lostRelays(now, query.homeRegions)...))
}

func (d *Directory) homeRegionsOf(host string) homeRegions {
	if d.options.HomeRegions == nil {
		return nil
	}
	return d.options.HomeRegions(host)
}

// Resolution is the answer to GET /resolve.
type Resolution struct {
	Addresses []string `json:"addresses"`
	TTLS      int      `json:"ttlS"`
}

// Handler serves GET /resolve.
func (d *Directory) Handler() http.Handler {
	router := httpapi.NewRouter()
	router.GET("/resolve", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		query := r.URL.Query()
		addresses := d.addresses(query.Get("name"), query.Get("zone"), query.Get("region"))
		if len(addresses) == 0 {
			httpapi.Refuse(w, http.StatusServiceUnavailable, "no relay is ready")
			return
		}
		httpapi.AnswerJSON(w, http.StatusOK, Resolution{Addresses: addresses, TTLS: d.options.ttlSeconds()})
	})
	return router
}

func (o Options) ttlSeconds() int {
	ttl := defaultTTL
	if o.MaxTTL > 0 {
		ttl = min(ttl, o.MaxTTL)
	}
	return max(1, int(ttl.Seconds()))
}

// sample returns at most maxAddresses of the addresses, chosen at random.
func sample(addresses []string) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:maxAddresses]
}
