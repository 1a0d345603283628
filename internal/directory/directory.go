// Package directory tells clients which relays to go to. Control processes and relays serve it alike, from membership.
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
	// holdFor is how long a client may hold an answer.
	holdFor = 2 * time.Second
	// mostAddresses is the largest number of addresses that a client takes.
	mostAddresses = 64
)

// Options are what a directory answers from.
type Options struct {
	Members func() []swim.Member // all that are believed to live; called from several goroutines
	HoldMax time.Duration        // the longest time that a client holds an answer; 0: no bound
	Region  string               // of this process
	// HomeRegions returns the sets of home regions of a host's routes; nil: no route has homes. Called from several goroutines.
	HomeRegions func(host string) [][]string
	// InTouch tells whether this process is in touch with a majority of the control processes; nil: it always is.
	InTouch func() bool
	Now     func() time.Time // nil: the time of day
}

// Directory answers clients that ask where to go.
type Directory struct {
	options Options
	memory  memory
}

// New returns a directory.
func New(options Options) *Directory {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Directory{options: options, memory: memory{region: options.Region}}
}

// Note looks at the members, so that the directory remembers them if they get lost. It is to be called every second or so.
func (d *Directory) Note() {
	d.memory.note(d.options.Now(), d.options.Members())
}

// addresses are the relays for a client. A directory that is cut off from all other regions names the relays that it has lost as well:
// clients may reach them, and those near may be unable to serve what has its home elsewhere.
func (d *Directory) addresses(host, zone, region string) []string {
	members := d.options.Members()
	now := d.options.Now()
	d.memory.note(now, members)
	query := query{zone: zone, region: region, homes: d.homesOf(host)}
	nearest := query.nearest(members, func() bool { return d.memory.returning(now, query) })
	if d.options.InTouch == nil || d.options.InTouch() {
		return sample(nearest)
	}
	return sample(append(nearest, d.memory.lost(now, query.homes)...))
}

func (d *Directory) homesOf(host string) homes {
	if d.options.HomeRegions == nil {
		return nil
	}
	return d.options.HomeRegions(host)
}

// Resolution is the answer of the directory.
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
		httpapi.AnswerJSON(w, http.StatusOK, Resolution{Addresses: addresses, TTLS: d.options.holdSeconds()})
	})
	return router
}

func (o Options) holdSeconds() int {
	hold := holdFor
	if o.HoldMax > 0 {
		hold = min(hold, o.HoldMax)
	}
	return max(1, int(hold.Seconds()))
}

// sample draws as many of the addresses as a client takes.
func sample(addresses []string) []string {
	if len(addresses) <= mostAddresses {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:mostAddresses]
}
