package control

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"

	"wallflow/internal/chain"
	"wallflow/internal/operator"
)

// parseMetrics parses metrics in the text format, as a scraper does.
func parseMetrics(t *testing.T, text []byte) map[string]*dto.MetricFamily {
	t.Helper()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	assert.NilError(t, err)
	return families
}

func valueOf(t *testing.T, families map[string]*dto.MetricFamily, name string, labels ...string) float64 {
	t.Helper()
	assert.Assert(t, families[name] != nil, name)
	for _, metric := range families[name].Metric {
		var values []string
		for _, each := range metric.Label {
			values = append(values, each.GetValue())
		}
		if strings.Join(values, ",") == strings.Join(labels, ",") {
			return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	t.Errorf("%s has no %v", name, labels)
	return 0
}

func TestMetricsExposeStatusAndCounters(t *testing.T) {
	families := metricFamilies(operator.Status{
		Fresh:       true,
		View:        operator.View{Epoch: 7, Voters: []string{"a", "b", "c"}, Chain: []string{"b", "a"}},
		Position:    12,
		Committed:   11,
		WriteFailed: true,
		Generation:  5,
		Evacuated:   []string{"z"},
		Subscribers: 4,
		Members:     []operator.Member{{Status: "alive"}, {Status: "suspect"}, {Status: "alive"}},
		Services:    []operator.Service{{Name: "chat", Ready: 3, Draining: 1}, {Name: "odd \"name\"\n", Silent: 2, Gone: 1}},
	}, chain.Counters{ViewsDecided: 9, Snapshots: 2, BrokenViewValue: 1, BrokenCommitLog: 2})
	var text bytes.Buffer
	encoder := expfmt.NewEncoder(&text, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, family := range families {
		assert.NilError(t, encoder.Encode(family))
	}
	read := parseMetrics(t, text.Bytes())
	assert.Equal(t, len(read), len(families), "each name occurs once")
	for _, c := range []struct {
		name   string
		labels []string
		want   float64
	}{
		{"wallflow_control_fresh", nil, 1},
		{"wallflow_control_impaired", nil, 0},
		{"wallflow_control_write_failed", nil, 1},
		{"wallflow_control_epoch", nil, 7},
		{"wallflow_control_voters", nil, 3},
		{"wallflow_control_chain_length", nil, 2},
		{"wallflow_control_log_position", nil, 12},
		{"wallflow_control_committed_position", nil, 11},
		{"wallflow_control_configuration_version", nil, 5},
		{"wallflow_control_evacuated_zones", nil, 1},
		{"wallflow_control_subscribers", nil, 4},
		{"wallflow_control_members", []string{"alive"}, 2},
		{"wallflow_control_members", []string{"suspect"}, 1},
		{"wallflow_control_endpoints", []string{"chat", "ready"}, 3},
		{"wallflow_control_endpoints", []string{"odd \"name\"\n", "silent"}, 2},
		{"wallflow_control_views_total", nil, 9},
		{"wallflow_control_snapshots_total", nil, 2},
		{"wallflow_control_broken_invariants_total", nil, 3},
	} {
		assert.Equal(t, valueOf(t, read, c.name, c.labels...), c.want, "%s %v", c.name, c.labels)
	}
}

// An isolated process still serves its metrics, and reports that it is not fresh.
func TestIsolatedProcessServesMetrics(t *testing.T) {
	sim := newSimulation(t, 1, simulationOptions{controls: 3, zones: 3, relays: 2, endpoints: 2, tolerated: 1})
	sim.advance(8 * time.Second)
	read := func(c *controlMachine) map[string]*dto.MetricFamily {
		recorder := httptest.NewRecorder()
		c.process.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Assert(t, strings.HasPrefix(recorder.Header().Get("Content-Type"), "text/plain"))
		return parseMetrics(t, recorder.Body.Bytes())
	}
	cutOff := sim.controls[0]
	before := read(cutOff)
	assert.Equal(t, valueOf(t, before, "wallflow_control_fresh"), 1.0)
	assert.Equal(t, valueOf(t, before, "wallflow_control_voters"), 3.0)
	assert.Equal(t, valueOf(t, before, "wallflow_control_members", "alive"), 5.0)
	sim.isolate(cutOff.machine, true, true, anyMachine)
	sim.advance(5 * time.Second)
	assert.Equal(t, valueOf(t, read(cutOff), "wallflow_control_fresh"), 0.0)
	assert.Equal(t, valueOf(t, read(sim.controls[1]), "wallflow_control_fresh"), 1.0)
}
