package config

import (
	"slices"
	"strings"
)

// Compiled is a document made ready for look-ups. It must not be changed, and may be read by many at once.
type Compiled struct {
	document *Document
	hosts    map[string]*hostRoutes
	backends map[string]*Backend
}

// hostRoutes holds the routes of one host by prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int      // the lengths of the prefixes, each once, the longest first
	homes    [][]string // the sets of home regions of the routes that have any, each once
}

// Compile makes a valid document ready for look-ups and keeps it; the document must not change afterwards.
func Compile(document *Document) *Compiled {
	compiled := &Compiled{
		document: document,
		hosts:    make(map[string]*hostRoutes),
		backends: make(map[string]*Backend, len(document.Backends)),
	}
	for index := range document.Backends {
		backend := &document.Backends[index]
		compiled.backends[backend.Name] = backend
	}
	for index := range document.Routes {
		compiled.add(&document.Routes[index])
	}
	for _, host := range compiled.hosts {
		host.sortLengths()
	}
	return compiled
}

func (c *Compiled) add(route *Route) {
	at := route.place()
	host := c.hosts[at.host]
	if host == nil {
		host = &hostRoutes{byPrefix: make(map[string]*Route)}
		c.hosts[at.host] = host
	}
	host.byPrefix[at.prefix] = route
	host.lengths = append(host.lengths, len(at.prefix))
	host.addHomes(route.HomeRegions)
}

// addHomes keeps a set of home regions, given in any order.
func (h *hostRoutes) addHomes(regions []string) {
	if len(regions) == 0 {
		return
	}
	set := slices.Compact(slices.Sorted(slices.Values(regions)))
	same := func(known []string) bool { return slices.Equal(known, set) }
	if !slices.ContainsFunc(h.homes, same) {
		h.homes = append(h.homes, set)
	}
}

func (h *hostRoutes) sortLengths() {
	slices.Sort(h.lengths)
	h.lengths = slices.Compact(h.lengths)
	slices.Reverse(h.lengths)
}

// Route finds the route of a request: of the routes for its host, compared without port and without regard to case, the one with
// the longest prefix that begins the path. The path is the one that was sent, up to the question mark. Route doesn't allocate
// where the host is in lower case, and its cost doesn't grow with the number of routes.
func (c *Compiled) Route(host, path string) (*Route, bool) {
	routes := c.hosts[NormalizeHost(host)]
	if routes == nil {
		return nil, false
	}
	for _, length := range routes.lengths {
		if length > len(path) || path[length-1] != '/' {
			continue
		}
		if route, found := routes.byPrefix[path[:length]]; found {
			return route, true
		}
	}
	return nil, false
}

// HomeRegions returns the sets of home regions of a host's routes, each set once; routes without homes add none. The host is compared
// as in Route. The result must not be changed.
func (c *Compiled) HomeRegions(host string) [][]string {
	routes := c.hosts[NormalizeHost(host)]
	if routes == nil {
		return nil
	}
	return routes.homes
}

// Backend finds a service by its name.
func (c *Compiled) Backend(name string) (*Backend, bool) {
	backend, found := c.backends[name]
	return backend, found
}

// Document returns the document that was compiled.
func (c *Compiled) Document() *Document { return c.document }

// Generation is the version of the document.
func (c *Compiled) Generation() uint64 { return c.document.Generation }

// NormalizeHost returns a host as routes are compared by it: without port, in lower case.
func NormalizeHost(host string) string {
	return strings.ToLower(withoutPort(host))
}

func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	if strings.IndexByte(host, ':') != colon && !strings.HasPrefix(host, "[") {
		return host // an IPv6 address without brackets
	}
	return host[:colon]
}
