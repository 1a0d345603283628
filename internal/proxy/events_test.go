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

// However a stream is cut into reads, the search finds the same ends.
func TestEventEndInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.StringOfN(rapid.RuneFrom([]rune("a\r\n")), 0, 20, -1).Draw(t, "data")
		wanted := eventEnd([]byte(data), 0)
		searched := 0
		for searched < len(data) {
			till := rapid.IntRange(searched+1, len(data)).Draw(t, "till")
			if found := eventEnd([]byte(data[:till]), searched); found != 0 {
				if found != wanted {
					t.Fatalf("%q: found %d, wanted %d", data, found, wanted)
				}
				return
			}
			searched = till
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

func TestIDsRise(t *testing.T) {
	type step struct {
		id        int64
		continues bool
	}
	for name, c := range map[string]struct {
		after string // Last-Event-Id
		steps []step
		ok    bool
	}{
		"by one":                {"", []step{{1, false}, {2, false}, {3, false}}, true},
		"from nought":           {"", []step{{0, false}, {1, false}}, true},
		"by five":               {"", []step{{5, false}, {10, false}, {15, true}}, true},
		"repeat":                {"", []step{{1, false}, {1, false}}, false},
		"back":                  {"", []step{{2, false}, {1, false}}, false},
		"after the client's":    {"12", []step{{13, false}, {14, false}}, true},
		"before the client's":   {"12", []step{{12, false}}, false},
		"goes on":               {"", []step{{1, false}, {2, false}, {3, true}}, true},
		"goes on after one":     {"", []step{{1, false}, {2, true}}, true},
		"begins anew":           {"", []step{{1, false}, {2, false}, {1, true}}, false},
		"goes on with a gap":    {"", []step{{1, false}, {2, false}, {4, true}}, false},
		"uneven steps, goes on": {"", []step{{1, false}, {2, false}, {7, false}, {9, true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var state streamState
			state.resumeAt(c.after)
			var err error
			for _, s := range c.steps {
				if err = state.take(event{id: s.id, hasID: true, hasData: true}, s.continues); err != nil {
					break
				}
				state.headSent = true
			}
			assert.Equal(t, err == nil, c.ok, "%v", err)
			if !c.ok {
				assert.Assert(t, errors.Is(err, errOutOfOrder))
			}
		})
	}
}

func TestHeadersThatArePassed(t *testing.T) {
	in := map[string][]string{
		"Connection": {"X-Hop, x-request-id"}, "X-Hop": {"1"}, "X-Request-Id": {"i"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "Proxy-Connection": {"x"}, "Trailer": {"T"}, "Accept-Encoding": {"identity"},
	}
	out := map[string][]string{}
	passed(out, in)
	assert.DeepEqual(t, out, map[string][]string{"X-Request-Id": {"i"}, "Accept-Encoding": {"identity"}})
}
