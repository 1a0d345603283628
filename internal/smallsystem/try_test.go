package smallsystem

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	return listener
}

// answer is an answer to the request "id" that nothing is wrong with, but for what the test changes.
func answer(body io.Reader) *http.Response {
	header := http.Header{}
	header.Set("X-Request-Id", "id")
	header.Set("X-Server-Stamp", "s.1")
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(body)}
}

func stream(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: w0\n\n", id)
	}
	return text.String()
}

// broken is a body that is cut off.
func broken(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errorReader{})
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestWhatIsWrongWithAnAnswerIsSeen(t *testing.T) {
	whole := strings.Repeat("x", registerAnswer)
	unstamped := answer(strings.NewReader(whole))
	unstamped.Header.Del("X-Server-Stamp")
	another := answer(strings.NewReader(whole))
	another.Header.Set("X-Request-Id", "other")
	for name, c := range map[string]struct {
		response *http.Response
		events   int
		fault    string // empty: none
	}{
		"whole":              {answer(strings.NewReader(whole)), 0, ""},
		"whole stream":       {answer(strings.NewReader(stream(1, 2, 3))), 3, ""},
		"no stamp":           {unstamped, 0, "without a stamp"},
		"of another request": {another, 0, "another request"},
		"too short":          {answer(strings.NewReader("x")), 0, "1 bytes of 800"},
		"too long":           {answer(strings.NewReader(whole + "x")), 0, "801 bytes of 800"},
		"cut off":            {answer(broken("x")), 0, "unexpected EOF"},
		"event missing":      {answer(strings.NewReader(stream(1, 3))), 3, "event 3 where 2 was due"},
		"event twice":        {answer(strings.NewReader(stream(1, 2, 2, 3))), 3, "event 2 where 3 was due"},
		"ended early":        {answer(strings.NewReader(stream(1, 2))), 3, "ended as complete after event 2 of 3"},
		"stream cut off":     {answer(broken(stream(1, 2))), 3, "broken off after event 2"},
	} {
		end := judge(c.response, request{events: c.events}, "id", "relay-1")
		if c.fault == "" {
			assert.NilError(t, end.fault, name)
			assert.Assert(t, !end.first.IsZero(), name)
			continue
		}
		assert.ErrorContains(t, end.fault, c.fault, name)
		assert.Assert(t, !end.refuse, name)
	}
}

func TestARefusalTellsWhenToComeBack(t *testing.T) {
	for status, promise := range map[int]bool{503: true, 429: true, 502: false, 504: false, 404: false} {
		response := answer(strings.NewReader(`{"error":"later"}`))
		response.StatusCode = status
		response.Header.Set("Retry-After", "0.25")
		end := judge(response, request{}, "id", "relay-1")
		assert.Equal(t, end.refuse, promise)
		assert.Equal(t, end.wait, 250*time.Millisecond)
		var wrong *AnswerError
		assert.Assert(t, errors.As(end.fault, &wrong))
		assert.Equal(t, wrong.Status, status)
	}
}

func TestFiguresAddUp(t *testing.T) {
	recorder := newRecorder()
	for i := range 99 {
		recorder.add(result{relay: "relay-1", first: time.Duration(i+1) * time.Millisecond})
	}
	assert.Assert(t, recorder.figures().All())
	recorder.add(result{repeats: 3, fault: errors.New("first")})
	recorder.add(result{fault: errors.New("second")})
	figures := recorder.figures()
	assert.Equal(t, figures.Requests, 101)
	assert.Equal(t, figures.Served, 99)
	assert.Equal(t, figures.Repeats, 3)
	assert.Equal(t, figures.ByRelay["relay-1"], 99)
	assert.Error(t, figures.FirstFault, "first")
	assert.Equal(t, figures.FirstP50.Round(time.Millisecond), 50*time.Millisecond)
	assert.Assert(t, !figures.All())
	assert.Assert(t, !Figures{}.All(), "nothing served is not all")
}
