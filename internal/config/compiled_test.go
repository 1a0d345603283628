package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/config"
)

// compileRoutes compiles a document with one route for each prefix, named after it.
func compileRoutes(prefixes ...string) *config.Compiled {
	document := &config.Document{}
	for _, prefix := range prefixes {
		document.Routes = append(document.Routes, config.Route{Name: prefix, Host: "h.example", PathPrefix: prefix})
	}
	return config.Compile(document)
}

func TestLongestPrefixWins(t *testing.T) {
	compiled := compileRoutes("/", "/a/", "/a/b/", "/ab/")
	for path, want := range map[string]string{
		"/":           "/",
		"/x":          "/",
		"/a":          "/",
		"/a/":         "/a/",
		"/a/x":        "/a/",
		"/a/b":        "/a/",
		"/a/b/":       "/a/b/",
		"/a/b/c/d":    "/a/b/",
		"/ab":         "/",
		"/ab/x":       "/ab/",
		"//a/b/":      "/",
		"/a//b/":      "/a/",
		"/a/./b/":     "/a/",
		"/%61/x":      "/",
		"/a/..%2f/ab": "/a/",
	} {
		route, found := compiled.Route("h.example", path)
		assert.Assert(t, found, path)
		assert.Equal(t, route.Name, want, path)
	}
}

func TestNoRouteFound(t *testing.T) {
	compiled := compileRoutes("/a/")
	for _, path := range []string{"", "*", "/", "/a", "/ab", "/ab/", "/b/a/", "a/", "/A/x"} {
		_, found := compiled.Route("h.example", path)
		assert.Assert(t, !found, path)
	}
	for _, host := range []string{"", "h", "h.example.", "x.h.example", ":80"} {
		_, found := compiled.Route(host, "/a/")
		assert.Assert(t, !found, host)
	}
}

func TestHostMatchIgnoresPortAndCase(t *testing.T) {
	compiled := compileRoutes("/a/")
	for _, host := range []string{"h.example", "H.EXAMPLE", "h.example:80", "H.Example:8161", "h.example:"} {
		_, found := compiled.Route(host, "/a/")
		assert.Assert(t, found, host)
	}
	for host, want := range map[string]string{
		"10.1.0.1:80": "10.1.0.1",
		"[::1]":       "[::1]",
		"[::1]:80":    "[::1]",
		"::1":         "::1",
		"":            "",
	} {
		assert.Equal(t, config.NormalizeHost(host), want)
	}
}

func TestBackendLookup(t *testing.T) {
	document, err := config.Parse([]byte(sampleDocument))
	assert.NilError(t, err)
	compiled := config.Compile(document)
	backend, found := compiled.Backend("wuno96b")
	assert.Assert(t, found)
	assert.Equal(t, backend.MaxConns, 110)
	_, found = compiled.Backend("nobody")
	assert.Assert(t, !found)
	assert.Equal(t, compiled.Generation(), uint64(7))
	assert.Assert(t, compiled.Document() == document)
}

// naiveRoute finds the route of a request by examining all routes.
func naiveRoute(document *config.Document, host, path string) *config.Route {
	var best *config.Route
	for index := range document.Routes {
		route := &document.Routes[index]
		if !strings.EqualFold(route.Host, host) || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

func TestRouteMatchesNaiveLookup(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a.example", "B.example", "c"})
	prefixes := rapid.StringMatching(`/([ab]{1,2}/){0,4}`)
	paths := rapid.StringMatching(`/?([ab/]{0,12})`)
	rapid.Check(t, func(t *rapid.T) {
		document := &config.Document{}
		known := map[string]bool{}
		for index := range rapid.IntRange(0, 30).Draw(t, "routes") {
			host, prefix := hosts.Draw(t, "host"), prefixes.Draw(t, "prefix")
			if known[host+prefix] {
				continue
			}
			known[host+prefix] = true
			document.Routes = append(document.Routes, config.Route{Name: fmt.Sprint(index), Host: host, PathPrefix: prefix})
		}
		compiled := config.Compile(document)
		for range 30 {
			host, path := hosts.Draw(t, "asked host"), paths.Draw(t, "asked path")
			want := naiveRoute(document, host, path)
			got, found := compiled.Route(host, path)
			if found != (want != nil) || got != want {
				t.Fatalf("%s %s: got %+v, want %+v", host, path, got, want)
			}
		}
	})
}

func TestRouteDoesNotAllocate(t *testing.T) {
	document, err := config.Parse(largeDocument(350))
	assert.NilError(t, err)
	compiled := config.Compile(document)
	allocations := testing.AllocsPerRun(100, func() {
		compiled.Route("host-1.example:8161", "/path1/x/y")
	})
	assert.Equal(t, allocations, 0.0)
}

func TestHomeRegionSetsAreDeduplicated(t *testing.T) {
	route := func(name, host string, homes ...string) config.Route {
		return config.Route{Name: name, Host: host, PathPrefix: "/" + name + "/", HomeRegions: homes}
	}
	compiled := config.Compile(&config.Document{Routes: []config.Route{
		route("a", "h.example", "r", "s"),
		route("b", "H.example", "s", "r"),
		route("c", "h.example"),
		route("d", "h.example", "u"),
		route("e", "other.example", "v"),
	}})
	assert.DeepEqual(t, compiled.HomeRegions("h.example:80"), [][]string{{"r", "s"}, {"u"}})
	assert.DeepEqual(t, compiled.HomeRegions("other.example"), [][]string{{"v"}})
	assert.Equal(t, len(compiled.HomeRegions("nobody.example")), 0)
}
