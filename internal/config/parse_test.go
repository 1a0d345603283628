package config_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

func TestParseReadsEveryField(t *testing.T) {
	document, err := config.Parse([]byte(sampleDocument))
	assert.NilError(t, err)
	assert.NilError(t, document.Validate())
	assert.DeepEqual(t, document, &config.Document{
		Generation: 7,
		Routes: []config.Route{
			{
				Name: "r-1", Host: "ficu95.example", PathPrefix: "/lohu930/", Kind: config.KindStreaming,
				TimeoutMs: 8000, TargetMs: 1500, Priority: 1,
				Split:   []config.WeightedBackend{{Backend: "huvo11a", Weight: 90}, {Backend: "wuno96b", Weight: 10}},
				Retries: 2, Sticky: true, Resume: true, TargetEventGapMs: 800, HomeRegions: []string{},
			},
			{
				Name: "r-2", Host: "ficu95.example", PathPrefix: "/pufi791/", Kind: config.KindUnsafe,
				TimeoutMs: 5000, TargetMs: 1000, Backend: "huvo11a",
				Retries: 1, Sticky: true, HomeRegions: []string{"svealand", "gotaland"},
			},
		},
		Backends: []config.Backend{
			{
				Name: "huvo11a", HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", WarmupS: 3, WarmupPerS: 21,
				Engine: &config.Engine{
					Slots: 64, KVCapacity: 315023, KVBytes: 18432, LinkMbps: 88000, Stride: 5,
					Models: []config.Model{{Name: "m"}},
				},
			},
			{Name: "wuno96b", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
		},
		Limits: config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
}

func TestRouteDurations(t *testing.T) {
	route := config.Route{TimeoutMs: 1500.5, TargetMs: 1e300}
	assert.Equal(t, route.Timeout(), 1500500*time.Microsecond)
	assert.Assert(t, route.Target() > 365*24*time.Hour, "a huge duration must not overflow")
}

func TestIdempotentRoutes(t *testing.T) {
	for _, route := range []config.Route{
		{Kind: config.KindSafe},
		{Kind: config.KindStreaming, Resume: true},
	} {
		assert.Assert(t, route.Idempotent(), "%+v", route)
	}
	for _, route := range []config.Route{
		{Kind: config.KindUnsafe, Resume: true},
		{Kind: config.KindStreaming},
	} {
		assert.Assert(t, !route.Idempotent(), "%+v", route)
	}
}

// A document that is truncated at any byte is refused.
func TestParseRefusesTruncatedDocument(t *testing.T) {
	for length := range len(sampleDocument) {
		cut := []byte(sampleDocument[:length])
		_, err := config.Parse(cut)
		assert.ErrorType(t, err, &config.InvalidError{}, "cut at %d", length)
		_, err = config.ParseTrusted(cut)
		assert.ErrorType(t, err, &config.InvalidError{}, "cut at %d", length)
	}
}

func TestParseRefusesNonDocuments(t *testing.T) {
	for _, text := range []string{
		"", " ", "null", "7", `"x"`, "[]", "{}", "\x00", "{\"generation\":1",
		sampleDocument + "}", sampleDocument + "{}", sampleDocument + " x", sampleDocument + ",",
		`{"generation":1,"routes":[],"backends":[],"x":"` + "\xff" + `"}`,
	} {
		_, err := config.Parse([]byte(text))
		assert.ErrorType(t, err, &config.InvalidError{}, "%.40q", text)
	}
}

func TestParseAllowsSurroundingWhitespace(t *testing.T) {
	document, err := config.Parse([]byte(" \r\n\t" + sampleDocument + "\n"))
	assert.NilError(t, err)
	assert.Equal(t, document.Generation, uint64(7))
}

// Schema errors contain the location, the value found there and the reason.
func TestParseErrorsNameLocationAndValue(t *testing.T) {
	cases := []struct {
		old, new string
		path     string
		value    string
	}{
		{`"generation":7`, `"generation":"7"`, "/generation", `"7"`},
		{`"generation":7`, `"generation":7.5`, "/generation", "7.5"},
		{`"generation":7`, `"generation":0`, "/generation", "0"},
		{`"generation":7`, `"generation":-7`, "/generation", "-7"},
		{`"generation":7`, `"generation":null`, "/generation", "null"},
		{`"generation":7`, `"generation":1e40`, "/generation", "1e40"},
		{`"generation":7,`, ``, "", ""},
		{`"timeoutMs":5000,`, ``, "/routes/1", ""},
		{`"timeoutMs":5000`, `"timeoutMs":"5000"`, "/routes/1/timeoutMs", `"5000"`},
		{`"timeoutMs":5000`, `"timeoutMs":null`, "/routes/1/timeoutMs", "null"},
		{`"kind":"unsafe"`, `"kind":"lazy"`, "/routes/1/kind", `"lazy"`},
		{`"host":"ficu95.example"`, `"host":""`, "/routes/0/host", `""`},
		{`"name":"r-2"`, `"name":2`, "/routes/1/name", "2"},
		{`"weight":10`, `"weight":"10"`, "/routes/0/split/1/weight", `"10"`},
		{`"retries":1`, `"retries":-1`, "/routes/1/retries", "-1"},
		{`"retries":1`, `"retries":1.5`, "/routes/1/retries", "1.5"},
		{`"sticky":true`, `"sticky":"yes"`, "/routes/0/sticky", `"yes"`},
		{`"homeRegions":[]`, `"homeRegions":[7]`, "/routes/0/homeRegions/0", "7"},
		{`"maxConns":110`, `"maxConns":"many"`, "/backends/1/maxConns", `"many"`},
		{`"slots":64`, `"slots":-64`, "/backends/0/engine/slots", "-64"},
		{`"maxHeaderBytes":16384`, `"maxHeaderBytes":true`, "/limits/maxHeaderBytes", "true"},
		{`"backend":"huvo11a","retries":1`, `"backend":{},"retries":1`, "/routes/1/backend", ""},
	}
	for _, c := range cases {
		_, err := config.Parse(replaceInSample(t, c.old, c.new))
		var invalid *config.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", c.new, err)
		assert.Equal(t, invalid.Path, c.path, "%s: %v", c.new, err)
		assert.Equal(t, invalid.Value, c.value, "%s: %v", c.new, err)
		assert.Assert(t, invalid.Reason != "")
	}
}

// Integers may be written with a fraction or an exponent, for Parse as well as for ParseTrusted.
func TestIntegersMayBeWrittenAsFractions(t *testing.T) {
	text := replaceInSample(t, `"generation":7`, `"generation":7.0`)
	for _, read := range []func([]byte) (*config.Document, error){config.Parse, config.ParseTrusted} {
		document, err := read(text)
		assert.NilError(t, err)
		assert.Equal(t, document.Generation, uint64(7))
	}
	cases := []struct{ old, new string }{
		{`"timeoutMs":8000`, `"timeoutMs":8000.0`},
		{`"timeoutMs":8000`, `"timeoutMs":8e3`},
		{`"priority":1`, `"priority":1.0`},
		{`"retries":2`, `"retries":20e-1`},
		{`"maxConns":370`, `"maxConns":370.00`},
		{`"slots":64`, `"slots":6.4E+1`},
		{`"maxBodyBytes":4194304`, `"maxBodyBytes":4194304.0`},
	}
	want, err := config.Parse([]byte(sampleDocument))
	assert.NilError(t, err)
	for _, c := range cases {
		document, err := config.Parse(replaceInSample(t, c.old, c.new))
		assert.NilError(t, err, c.new)
		assert.DeepEqual(t, document, want)
	}
}

// Text inside a string that looks like a number is not changed.
func TestNumbersInsideStringsAreUnchanged(t *testing.T) {
	text := []byte(`{"generation":1.0,"routes":[],"backends":[{"name":"b \" 8000.0 \\","maxConns":3.0}]}`)
	document, err := config.ParseTrusted(text)
	assert.NilError(t, err)
	assert.Equal(t, document.Backends[0].Name, `b " 8000.0 \`)
	assert.Equal(t, document.Backends[0].MaxConns, 3)
}

func TestUnknownFieldsAreAllowed(t *testing.T) {
	document, err := config.Parse(replaceInSample(t, `"generation":7`, `"later":{"a":[1,2]},"generation":7`))
	assert.NilError(t, err)
	assert.NilError(t, document.Validate())
}

func TestOptionalFieldsMayBeMissing(t *testing.T) {
	document, err := config.Parse(smallDocument(3, "a"))
	assert.NilError(t, err)
	assert.NilError(t, document.Validate())
	empty, err := config.Parse([]byte(`{"generation":1,"routes":[],"backends":[]}`))
	assert.NilError(t, err)
	assert.NilError(t, empty.Validate())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte(`{"generation":1e999999999,"routes":[],"backends":[]}`))
	f.Add([]byte(`{"generation":1.0,"routes":[{"name":"\`))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := config.Parse(text)
		if err != nil || document.Validate() != nil {
			return
		}
		again, err := config.ParseTrusted(text)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, document)
		config.Compile(document)
	})
}
