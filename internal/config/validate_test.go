package config_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// Each case makes the valid sample document invalid in one respect.
func TestValidateRefusesInvalidDocuments(t *testing.T) {
	cases := []struct {
		what     string
		old, new string
		path     string
	}{
		{"unknown service", `"backend":"huvo11a","retries":1`, `"backend":"nobody","retries":1`, "/routes/1/backend"},
		{"unknown service in a split", `{"backend":"wuno96b","weight":10}`, `{"backend":"nobody","weight":10}`, "/routes/0/split/1/backend"},
		{"unknown service without weight", `{"backend":"wuno96b","weight":10}`, `{"backend":"nobody","weight":0}`, "/routes/0/split/1/backend"},
		{"unknown service beside a split", `"priority":1,`, `"priority":1,"backend":"nobody",`, "/routes/0/backend"},
		{"same host and prefix", `"pathPrefix":"/pufi791/"`, `"pathPrefix":"/lohu930/"`, "/routes/1"},
		{"same host and prefix in different case", `"ficu95.example","pathPrefix":"/pufi791/"`, `"FICU95.Example:80","pathPrefix":"/lohu930/"`,
			"/routes/1"},
		{"weights of 0", `"weight":90},{"backend":"wuno96b","weight":10}`, `"weight":0},{"backend":"wuno96b","weight":0}`, "/routes/0/split"},
		{"negative weight", `"weight":10`, `"weight":-10`, "/routes/0/split/1/weight"},
		{"weights that cancel out", `"weight":10`, `"weight":-90`, "/routes/0/split/1/weight"},
		{"zero timeout", `"timeoutMs":5000`, `"timeoutMs":0`, "/routes/1/timeoutMs"},
		{"zero timeout with a fraction", `"timeoutMs":5000`, `"timeoutMs":0.0`, "/routes/1/timeoutMs"},
		{"negative timeout", `"timeoutMs":5000`, `"timeoutMs":-1`, "/routes/1/timeoutMs"},
		{"no service", `"backend":"huvo11a","retries":1`, `"retries":1`, "/routes/1"},
		{"empty service", `"backend":"huvo11a","retries":1`, `"backend":"","retries":1`, "/routes/1"},
		{"empty split", `"backend":"huvo11a","retries":1`, `"split":[],"retries":1`, "/routes/1"},
		{"prefix without leading slash", `"/pufi791/"`, `"pufi791/"`, "/routes/1/pathPrefix"},
		{"prefix without trailing slash", `"/pufi791/"`, `"/pufi791"`, "/routes/1/pathPrefix"},
		{"host that is only a port", `"host":"ficu95.example"`, `"host":":80"`, "/routes/0/host"},
		{"duplicate route name", `"name":"r-2"`, `"name":"r-1"`, "/routes/1/name"},
		{"duplicate service name", `{"name":"wuno96b","healthPath"`, `{"name":"huvo11a","healthPath"`, "/backends/1/name"},
	}
	for _, c := range cases {
		document, err := config.Parse(replaceInSample(t, c.old, c.new))
		assert.NilError(t, err, c.what)
		err = document.Validate()
		var invalid *config.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", c.what, err)
		assert.Equal(t, invalid.Path, c.path, "%s: %v", c.what, err)
		applyWithoutEffect(t, config.EmptyState(), put(0, replaceInSample(t, c.old, c.new)), 400)
	}
}

// Validate also refuses invalid values in documents that were not parsed from JSON and checked against the schema.
func TestValidateRefusesWithoutSchemaCheck(t *testing.T) {
	valid := func() *config.Document {
		return &config.Document{
			Routes:   []config.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: config.KindSafe, TimeoutMs: 1, Backend: "b"}},
			Backends: []config.Backend{{Name: "b"}},
		}
	}
	assert.NilError(t, valid().Validate())
	for what, corrupt := range map[string]func(*config.Document){
		"kind":    func(d *config.Document) { d.Routes[0].Kind = "lazy" },
		"name":    func(d *config.Document) { d.Routes[0].Name = "" },
		"service": func(d *config.Document) { d.Backends[0].Name = "" },
		"prefix":  func(d *config.Document) { d.Routes[0].PathPrefix = "" },
	} {
		document := valid()
		corrupt(document)
		assert.ErrorType(t, document.Validate(), &config.InvalidError{}, what)
	}
}

func TestSharesOmitZeroWeights(t *testing.T) {
	route := config.Route{Split: []config.WeightedBackend{{Backend: "a", Weight: 0}, {Backend: "b", Weight: 2}}}
	assert.DeepEqual(t, route.WeightedBackends(), []config.WeightedBackend{{Backend: "b", Weight: 2}})
	single := config.Route{Backend: "a"}
	assert.DeepEqual(t, single.WeightedBackends(), []config.WeightedBackend{{Backend: "a", Weight: 1}})
}

// A document with several faults is refused with the same message each time, although the schema library reports them in random order.
func TestErrorOfSeveralFaultsIsDeterministic(t *testing.T) {
	text := strings.Replace(sampleDocument, `"timeoutMs":8000`, `"timeoutMs":"9","sticky":1,"name":1`, 1)
	for range 50 {
		_, verdict := config.EmptyState().ApplyOrder(put(0, []byte(text)))
		assert.Equal(t, verdict.Message, "/routes/0/name: 1: got number, want string")
	}
}
