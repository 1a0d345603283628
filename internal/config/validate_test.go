package config_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// Each kind of invalid document, by the one thing that makes it invalid.
func TestValidateRefuses(t *testing.T) {
	cases := []struct {
		what     string
		old, new string
		path     string
	}{
		{"unknown service", `"backend":"huvo11a","retries":1`, `"backend":"nobody","retries":1`, "/routes/1/backend"},
		{"unknown service in a split", `{"backend":"wuno96b","weight":10}`, `{"backend":"nobody","weight":10}`, "/routes/0/split/1/backend"},
		{"unknown service without weight", `{"backend":"wuno96b","weight":10}`, `{"backend":"nobody","weight":0}`, "/routes/0/split/1/backend"},
		{"unknown service beside a split", `"priority":1,`, `"priority":1,"backend":"nobody",`, "/routes/0/backend"},
		{"same place", `"pathPrefix":"/pufi791/"`, `"pathPrefix":"/lohu930/"`, "/routes/1"},
		{"same place in other letters", `"ficu95.example","pathPrefix":"/pufi791/"`, `"FICU95.Example:80","pathPrefix":"/lohu930/"`, "/routes/1"},
		{"no weight", `"weight":90},{"backend":"wuno96b","weight":10}`, `"weight":0},{"backend":"wuno96b","weight":0}`, "/routes/0/split"},
		{"weight below 0", `"weight":10`, `"weight":-10`, "/routes/0/split/1/weight"},
		{"weights that cancel out", `"weight":10`, `"weight":-90`, "/routes/0/split/1/weight"},
		{"no time", `"timeoutMs":5000`, `"timeoutMs":0`, "/routes/1/timeoutMs"},
		{"no time with a fraction", `"timeoutMs":5000`, `"timeoutMs":0.0`, "/routes/1/timeoutMs"},
		{"time below 0", `"timeoutMs":5000`, `"timeoutMs":-1`, "/routes/1/timeoutMs"},
		{"no service", `"backend":"huvo11a","retries":1`, `"retries":1`, "/routes/1"},
		{"empty service", `"backend":"huvo11a","retries":1`, `"backend":"","retries":1`, "/routes/1"},
		{"empty split", `"backend":"huvo11a","retries":1`, `"split":[],"retries":1`, "/routes/1"},
		{"prefix without slash in front", `"/pufi791/"`, `"pufi791/"`, "/routes/1/pathPrefix"},
		{"prefix without slash behind", `"/pufi791/"`, `"/pufi791"`, "/routes/1/pathPrefix"},
		{"host that is only a port", `"host":"ficu95.example"`, `"host":":80"`, "/routes/0/host"},
		{"routes of one name", `"name":"r-2"`, `"name":"r-1"`, "/routes/1/name"},
		{"services of one name", `{"name":"wuno96b","healthPath"`, `{"name":"huvo11a","healthPath"`, "/backends/1/name"},
	}
	for _, c := range cases {
		document, err := config.Parse(replaced(t, c.old, c.new))
		assert.NilError(t, err, c.what)
		err = document.Validate()
		var fault *config.InvalidError
		assert.Assert(t, errors.As(err, &fault), "%s: %v", c.what, err)
		assert.Equal(t, fault.Path, c.path, "%s: %v", c.what, err)
		refusedWith(t, config.EmptyState(), put(0, replaced(t, c.old, c.new)), 400)
	}
}

// Documents that aren't read from JSON are checked as well.
func TestValidateRefusesWhatTheSchemaWouldHave(t *testing.T) {
	valid := func() *config.Document {
		return &config.Document{
			Routes:   []config.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: config.KindSafe, TimeoutMs: 1, Backend: "b"}},
			Backends: []config.Backend{{Name: "b"}},
		}
	}
	assert.NilError(t, valid().Validate())
	for what, spoil := range map[string]func(*config.Document){
		"kind":    func(d *config.Document) { d.Routes[0].Kind = "lazy" },
		"name":    func(d *config.Document) { d.Routes[0].Name = "" },
		"service": func(d *config.Document) { d.Backends[0].Name = "" },
		"prefix":  func(d *config.Document) { d.Routes[0].PathPrefix = "" },
	} {
		document := valid()
		spoil(document)
		assert.ErrorType(t, document.Validate(), &config.InvalidError{}, what)
	}
}

func TestSharesLeaveOutServicesWithoutWeight(t *testing.T) {
	route := config.Route{Split: []config.Weight{{Backend: "a", Weight: 0}, {Backend: "b", Weight: 2}}}
	assert.DeepEqual(t, route.Shares(), []config.Weight{{Backend: "b", Weight: 2}})
	single := config.Route{Backend: "a"}
	assert.DeepEqual(t, single.Shares(), []config.Weight{{Backend: "a", Weight: 1}})
}

// A document with several faults is refused with the same words each time.
func TestFirstOfSeveralFaultsIsNamed(t *testing.T) {
	text := strings.Replace(sampleDocument, `"timeoutMs":8000`, `"timeoutMs":"9","sticky":1,"name":1`, 1)
	for range 50 {
		_, verdict := config.EmptyState().ApplyOrder(put(0, []byte(text)))
		assert.Equal(t, verdict.Message, "/routes/0/name: 1: got number, want string")
	}
}
