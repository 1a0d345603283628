package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Validate checks what a document says: that its names are unique and known, that no two routes have the same place, and that
// every route can be served. The first fault is returned as an InvalidError.
func (d *Document) Validate() error {
	backends, err := d.backendNames()
	if err != nil {
		return err
	}
	names := make(map[string]bool, len(d.Routes))
	places := make(map[place]string, len(d.Routes))
	for index := range d.Routes {
		route := &d.Routes[index]
		path := "/routes/" + strconv.Itoa(index)
		if names[route.Name] {
			return invalid(path+"/name", quoted(route.Name), "another route has this name")
		}
		names[route.Name] = true
		if err := route.validate(path, backends); err != nil {
			return err
		}
		at := route.place()
		if other, taken := places[at]; taken {
			return invalid(path, quoted(route.Name), fmt.Sprintf("same host and prefix as route %q", other))
		}
		places[at] = route.Name
	}
	return nil
}

// place is where requests enter a route.
type place struct {
	host   string
	prefix string
}

func (r *Route) place() place {
	return place{host: NormalizeHost(r.Host), prefix: r.PathPrefix}
}

func (d *Document) backendNames() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Backends))
	for index := range d.Backends {
		name := d.Backends[index].Name
		path := "/backends/" + strconv.Itoa(index) + "/name"
		if name == "" {
			return nil, invalid(path, `""`, "a service needs a name")
		}
		if names[name] {
			return nil, invalid(path, quoted(name), "another service has this name")
		}
		names[name] = true
	}
	return names, nil
}

// validate checks a route by itself and against the names of the services.
func (r *Route) validate(path string, backends map[string]bool) error {
	if r.Name == "" {
		return invalid(path+"/name", `""`, "a route needs a name")
	}
	if NormalizeHost(r.Host) == "" {
		return invalid(path+"/host", quoted(r.Host), "a route needs a host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid(path+"/pathPrefix", quoted(r.PathPrefix), "must begin and end with a slash")
	}
	if !r.Kind.known() {
		return invalid(path+"/kind", quoted(string(r.Kind)), "want safe, unsafe or streaming")
	}
	if !(r.TimeoutMs > 0) {
		return invalid(path+"/timeoutMs", formatNumber(r.TimeoutMs), "must be above 0")
	}
	if len(r.Split) > 0 {
		return r.validateSplit(path, backends)
	}
	if r.Backend == "" {
		return invalid(path, quoted(r.Name), "neither backend nor split")
	}
	if !backends[r.Backend] {
		return invalid(path+"/backend", quoted(r.Backend), "no such service")
	}
	return nil
}

func (r *Route) validateSplit(path string, backends map[string]bool) error {
	if r.Backend != "" && !backends[r.Backend] {
		return invalid(path+"/backend", quoted(r.Backend), "no such service")
	}
	sum := 0.0
	for index, share := range r.Split {
		at := path + "/split/" + strconv.Itoa(index)
		if !backends[share.Backend] {
			return invalid(at+"/backend", quoted(share.Backend), "no such service")
		}
		if !(share.Weight >= 0) {
			return invalid(at+"/weight", formatNumber(share.Weight), "must not be below 0")
		}
		sum += share.Weight
	}
	if sum <= 0 {
		return invalid(path+"/split", formatNumber(sum), "the weights add up to 0")
	}
	return nil
}

func (k Kind) known() bool {
	return k == KindSafe || k == KindUnsafe || k == KindStreaming
}

func quoted(text string) string { return strconv.Quote(shorten(text)) }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }
