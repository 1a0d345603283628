package dataplane

import (
	"bytes"
	"net/http/httptest"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"

	"wallflow/internal/metrics"
	"wallflow/internal/proxy"
	"wallflow/internal/selector"
	"wallflow/internal/workload"
)

// A scraper reads the metrics of a relay with their values and labels.
func TestMetricsAreReadableByAScraper(t *testing.T) {
	stats := proxy.Stats{Requests: 7, Refused: 2}
	stats.LateByCause[proxy.CausePrefill] = 3
	counts := selector.Counts{Warm: 5, Skipped: 1, Matched: []selector.RuleCount{{Rule: "full", Times: 4}}}
	var families []*dto.MetricFamily
	families = append(families, requestFamilies(stats)...)
	families = append(families, endpointFamilies(&counts)...)
	families = append(families, prefillRateFamilies([]selector.Speed{{Service: "m", TokensPerMs: 37.9, Answers: 12}})...)
	families = append(families, loadFamilies(workload.Stats{Hub: true, Zones: 2})...)
	recorder := httptest.NewRecorder()
	metrics.Write(recorder, families)
	parser := expfmt.NewTextParser(model.UTF8Validation)
	read, err := parser.TextToMetricFamilies(bytes.NewReader(recorder.Body.Bytes()))
	assert.NilError(t, err)
	value := func(name, label string) float64 {
		assert.Assert(t, read[name] != nil, name)
		for _, metric := range read[name].Metric {
			if label == "" || metric.Label[0].GetValue() == label {
				return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
			}
		}
		t.Fatalf("%s has no %s", name, label)
		return 0
	}
	assert.Equal(t, value("wallflow_relay_requests_total", ""), 7.0)
	assert.Equal(t, value("wallflow_relay_late_total", "reading"), 3.0)
	assert.Equal(t, value("wallflow_relay_endpoints", "warm"), 5.0)
	assert.Equal(t, value("wallflow_relay_failure_rules_total", "full"), 4.0)
	assert.Equal(t, value("wallflow_relay_reading_tokens_per_ms", "m"), 37.9)
	assert.Equal(t, value("wallflow_relay_load_hub", ""), 1.0)
	assert.Assert(t, prefillRateFamilies(nil) == nil)
}
