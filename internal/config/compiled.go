package config

import (
	"slices"
	"strings"
)

// Compiled is a document indexed for look-ups. It is immutable and safe for concurrent use.
type Compiled struct {
	document *Document
	hosts    map[string]*hostRoutes
	backends map[string]*Backend
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix       map[string]*Route
	prefixLengths  []int      // distinct lengths of the path prefixes in bytes, longest first
	homeRegionSets [][]string // distinct sets of home regions of the routes, each sorted
}

// Compile indexes a valid document for look-ups. The result refers to the document, which must not be changed afterwards.
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
		compiled.addRoute(&document.Routes[index])
	}
	for _, host := range compiled.hosts {
		host.sortPrefixLengths()
	}
	return compiled
}

func (c *Compiled) addRoute(route *Route) {
	key := route.routeKey()
	host := c.hosts[key.host]
	if host == nil {
		host = &hostRoutes{byPrefix: make(map[string]*Route)}
		c.hosts[key.host] = host
	}
	host.byPrefix[key.prefix] = route
	host.prefixLengths = append(host.prefixLengths, len(key.prefix))
	host.addHomeRegions(route.HomeRegions)
}

// addHomeRegions adds a set of home regions unless it is present already. The regions may come in any order.
func (h *hostRoutes) addHomeRegions(regions []string) {
	if len(regions) == 0 {
		return
	}
	set := slices.Compact(slices.Sorted(slices.Values(regions)))
	equalsSet := func(known []string) bool { return slices.Equal(known, set) }
	if !slices.ContainsFunc(h.homeRegionSets, equalsSet) {
		h.homeRegionSets = append(h.homeRegionSets, set)
	}
}

func (h *hostRoutes) sortPrefixLengths() {
	slices.Sort(h.prefixLengths)
	h.prefixLengths = slices.Compact(h.prefixLengths)
	slices.Reverse(h.prefixLengths)
}

// Route returns the route of a request: among the routes of its host, the one with the longest prefix of the path. Hosts are compared
// without port and case-insensitively. The path is the raw path of the request, without the query. Route does not allocate if the host
// is in lower case, and its cost does not depend on the number of routes.
func (c *Compiled) Route(host, path string) (*Route, bool) {
	routes := c.hosts[NormalizeHost(host)]
	if routes == nil {
		return nil, false
	}
	for _, length := range routes.prefixLengths {
		if length > len(path) || path[length-1] != '/' {
			continue
		}
		if route, found := routes.byPrefix[path[:length]]; found {
			return route, true
		}
	}
	return nil, false
}

// HomeRegions returns the distinct sets of home regions of a host's routes. Routes without home regions are left out. The host is
// compared as in Route. The result must not be changed.
func (c *Compiled) HomeRegions(host string) [][]string {
	routes := c.hosts[NormalizeHost(host)]
	if routes == nil {
		return nil
	}
	return routes.homeRegionSets
}

// Backend returns the service of a name.
func (c *Compiled) Backend(name string) (*Backend, bool) {
	backend, found := c.backends[name]
	return backend, found
}

// Document returns the document that was compiled.
func (c *Compiled) Document() *Document { return c.document }

// Generation returns the version of the document.
func (c *Compiled) Generation() uint64 { return c.document.Generation }

// NormalizeHost returns a host in the form in which hosts are compared: without port and in lower case.
func NormalizeHost(host string) string {
	return strings.ToLower(stripPort(host))
}

func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	if strings.IndexByte(host, ':') != colon && !strings.HasPrefix(host, "[") {
		return host // an IPv6 address without brackets
	}
	return host[:colon]
}
