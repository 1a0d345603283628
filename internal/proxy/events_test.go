package proxy

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEventEnd(t *testing.T) {
	for _, c := range []struct{ event, rest string }{
		{"", ""},
		{"", "id: 1"},
		{"", "id: 1\n"},
		{"", "id: 1\ndata: x\n"},
		{"", "id: 1\r\n\r"},
		{"id: 1\n\n", ""},
		{"id: 1\ndata: x\n\n", "id: 2"},
		{"id: 1\ndata: x\n\n", "id: 2\n\n"},
		{"id: 1\r\n\r\n", "\r\n"},
		{"versions: 3\nid: 1\ndata: \n\n", ""},
		{": comment\n\n", "i"},
	} {
		assert.Equal(t, eventEnd([]byte(c.event+c.rest), 0), len(c.event), "%q", c.event+c.rest)
	}
}

// eventEnd finds the same end of an event however the data is split into reads.
func TestEventEndInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.StringOfN(rapid.RuneFrom([]rune("a\r\n")), 0, 20, -1).Draw(t, "data")
		wanted := eventEnd([]byte(data), 0)
		searched := 0
		for searched < len(data) {
			end := rapid.IntRange(searched+1, len(data)).Draw(t, "till")
			if found := eventEnd([]byte(data[:end]), searched); found != 0 {
				if found != wanted {
					t.Fatalf("%q: found %d, wanted %d", data, found, wanted)
				}
				return
			}
			searched = end
		}
		if wanted != 0 {
			t.Fatalf("%q: found none, wanted %d", data, wanted)
		}
	})
}

func TestParseEvent(t *testing.T) {
	for data, wanted := range map[string]event{
		"id: 12\ndata: x\n\n":                {id: 12, hasID: true, hasData: true},
		"versions: 7\nid:3\r\ndata:\r\n\r\n": {id: 3, hasID: true, hasData: true, version: "7"},
		"data: id: 4\n\n":                    {hasData: true},
		"id: x\ndata: y\n\n":                 {hasData: true},
		": ping\n\n":                         {},
	} {
		assert.Equal(t, parseEvent([]byte(data)), wanted, "%q", data)
	}
}

func TestEventIDsMustIncrease(t *testing.T) {
	type step struct {
		id      int64
		resumed bool // first event from another endpoint
	}
	for name, c := range map[string]struct {
		lastEventID string // header of the client
		steps       []step
		ok          bool
	}{
		"by one":                   {"", []step{{1, false}, {2, false}, {3, false}}, true},
		"from zero":                {"", []step{{0, false}, {1, false}}, true},
		"by five":                  {"", []step{{5, false}, {10, false}, {15, true}}, true},
		"repeated":                 {"", []step{{1, false}, {1, false}}, false},
		"decreasing":               {"", []step{{2, false}, {1, false}}, false},
		"after Last-Event-Id":      {"12", []step{{13, false}, {14, false}}, true},
		"not after Last-Event-Id":  {"12", []step{{12, false}}, false},
		"resumed":                  {"", []step{{1, false}, {2, false}, {3, true}}, true},
		"resumed after one event":  {"", []step{{1, false}, {2, true}}, true},
		"resumed from the start":   {"", []step{{1, false}, {2, false}, {1, true}}, false},
		"resumed with a gap":       {"", []step{{1, false}, {2, false}, {4, true}}, false},
		"irregular steps, resumed": {"", []step{{1, false}, {2, false}, {7, false}, {9, true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var state streamState
			state.resumeAt(c.lastEventID)
			var err error
			for _, s := range c.steps {
				if err = state.accept(event{id: s.id, hasID: true, hasData: true}, s.resumed); err != nil {
					break
				}
				state.headerSent = true
			}
			assert.Equal(t, err == nil, c.ok, "%v", err)
			if !c.ok {
				assert.Assert(t, errors.Is(err, errOutOfOrder))
			}
		})
	}
}

func TestCopyForwardedHeaders(t *testing.T) {
	src := map[string][]string{
		"Connection": {"X-Hop, x-request-id"}, "X-Hop": {"1"}, "X-Request-Id": {"i"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "Proxy-Connection": {"x"}, "Trailer": {"T"}, "Accept-Encoding": {"identity"},
	}
	dst := map[string][]string{}
	copyForwardedHeaders(dst, src)
	assert.DeepEqual(t, dst, map[string][]string{"X-Request-Id": {"i"}, "Accept-Encoding": {"identity"}})
}
