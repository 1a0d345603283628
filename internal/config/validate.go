package config

import (
	"fmt"
	"strconv"
	"strings"
)

// Validate checks the contents of a document: names have to be unique, services referred to have to exist, no two routes may share a
// host and prefix, and every route needs a service with a weight above 0. It returns the first fault as an InvalidError.
func (d *Document) Validate() error {
	backends, err := d.backendNames()
	if err != nil {
		return err
	}
	names := make(map[string]bool, len(d.Routes))
	namesByKey := make(map[routeKey]string, len(d.Routes))
	for index := range d.Routes {
		route := &d.Routes[index]
		path := "/routes/" + strconv.Itoa(index)
		if names[route.Name] {
			return invalid(path+"/name", quote(route.Name), "another route has this name")
		}
		names[route.Name] = true
		if err := route.validate(path, backends); err != nil {
			return err
		}
		key := route.routeKey()
		if other, duplicate := namesByKey[key]; duplicate {
			return invalid(path, quote(route.Name), fmt.Sprintf("same host and prefix as route %q", other))
		}
		namesByKey[key] = route.Name
	}
	return nil
}

// routeKey is the normalized host and the path prefix of a route.
type routeKey struct {
	host   string
	prefix string
}

func (r *Route) routeKey() routeKey {
	return routeKey{host: NormalizeHost(r.Host), prefix: r.PathPrefix}
}

// backendNames returns the names of the services.
func (d *Document) backendNames() (map[string]bool, error) {
	names := make(map[string]bool, len(d.Backends))
	for index := range d.Backends {
		name := d.Backends[index].Name
		path := "/backends/" + strconv.Itoa(index) + "/name"
		if name == "" {
			return nil, invalid(path, `""`, "a service needs a name")
		}
		if names[name] {
			return nil, invalid(path, quote(name), "another service has this name")
		}
		names[name] = true
	}
	return names, nil
}

// validate checks a single route. The services that it refers to have to be in backends.
func (r *Route) validate(path string, backends map[string]bool) error {
	if r.Name == "" {
		return invalid(path+"/name", `""`, "a route needs a name")
	}
	if NormalizeHost(r.Host) == "" {
		return invalid(path+"/host", quote(r.Host), "a route needs a host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid(path+"/pathPrefix", quote(r.PathPrefix), "must begin and end with a slash")
	}
	if !r.Kind.valid() {
		return invalid(path+"/kind", quote(string(r.Kind)), "want safe, unsafe or streaming")
	}
	if !(r.TimeoutMs > 0) {
		return invalid(path+"/timeoutMs", formatNumber(r.TimeoutMs), "must be above 0")
	}
	if len(r.Split) > 0 {
		return r.validateSplit(path, backends)
	}
	if r.Backend == "" {
		return invalid(path, quote(r.Name), "neither backend nor split")
	}
	if !backends[r.Backend] {
		return invalid(path+"/backend", quote(r.Backend), "no such service")
	}
	return nil
}

func (r *Route) validateSplit(path string, backends map[string]bool) error {
	if r.Backend != "" && !backends[r.Backend] {
		return invalid(path+"/backend", quote(r.Backend), "no such service")
	}
	sum := 0.0
	for index, share := range r.Split {
		sharePath := path + "/split/" + strconv.Itoa(index)
		if !backends[share.Backend] {
			return invalid(sharePath+"/backend", quote(share.Backend), "no such service")
		}
		if !(share.Weight >= 0) {
			return invalid(sharePath+"/weight", formatNumber(share.Weight), "must not be below 0")
		}
		sum += share.Weight
	}
	if sum <= 0 {
		return invalid(path+"/split", formatNumber(sum), "the weights add up to 0")
	}
	return nil
}

func (k Kind) valid() bool {
	return k == KindSafe || k == KindUnsafe || k == KindStreaming
}

func quote(text string) string { return strconv.Quote(shorten(text)) }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }
