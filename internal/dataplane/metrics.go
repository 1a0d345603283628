package dataplane

import (
	"time"

	dto "github.com/prometheus/client_model/go"

	"wallflow/internal/metrics"
	"wallflow/internal/proxy"
	"wallflow/internal/selector"
	"wallflow/internal/workload"
)

// collectMetrics returns the metrics of this relay for GET /metrics: counters since its start and gauges of its current state.
func (p *Process) collectMetrics() []*dto.MetricFamily {
	now := time.Now()
	p.selectorLock.Lock()
	counts := p.selector.Counts(now)
	prefillRates := p.selector.Speeds()
	p.selectorLock.Unlock()
	p.mu.Lock()
	loads := p.loads.Stats(now)
	p.mu.Unlock()
	families := requestFamilies(p.server.Stats())
	families = append(families, endpointFamilies(&counts)...)
	families = append(families, prefillRateFamilies(prefillRates)...)
	families = append(families, loadFamilies(loads)...)
	transportCounters := p.mesh.Counters()
	return append(families, transportCounters.MetricFamilies("wallflow_relay")...)
}

func requestFamilies(stats proxy.Stats) []*dto.MetricFamily {
	var late []*dto.Metric
	for cause, count := range stats.LateByCause {
		late = append(late, metrics.CounterMetric(count, metrics.Label("cause", proxy.Cause(cause).String())))
	}
	return []*dto.MetricFamily{
		metrics.Counter("wallflow_relay_requests_total", "requests read from clients", stats.Requests),
		metrics.Counter("wallflow_relay_answered_total", "requests answered with an endpoint's whole success", stats.Answered),
		metrics.Counter("wallflow_relay_refused_total", "requests answered with 503: they did not run", stats.Refused),
		metrics.Counter("wallflow_relay_attempts_total", "sends to endpoints", stats.Attempts),
		metrics.Counter("wallflow_relay_resumed_total", "streams that went on at another endpoint", stats.Resumed),
		metrics.Family("wallflow_relay_late_total", "requests that were late or had no answer, by what weighed most",
			dto.MetricType_COUNTER, late...),
		metrics.Gauge("wallflow_relay_clients", "connections of clients", float64(stats.Clients)),
		metrics.Gauge("wallflow_relay_upstream_connections", "connections to endpoints", float64(stats.Upstream.Open)),
		metrics.Counter("wallflow_relay_dials_total", "connections to endpoints that were opened", stats.Upstream.Dials),
	}
}

func endpointFamilies(counts *selector.Counts) []*dto.MetricFamily {
	var matched []*dto.Metric
	for _, rule := range counts.Matched {
		matched = append(matched, metrics.CounterMetric(rule.Times, metrics.Label("rule", string(rule.Rule))))
	}
	families := []*dto.MetricFamily{
		metrics.LabelledGauges("wallflow_relay_endpoints", "endpoints by how they stand here", "standing", []metrics.LabelCount{
			{Value: "warm", Count: counts.Warm}, {Value: "cold", Count: counts.Cold},
			{Value: "skipped", Count: counts.Skipped}, {Value: "silent", Count: counts.Silent},
		}),
		metrics.Gauge("wallflow_relay_waiting", "requests that wait here for an endpoint", float64(counts.Waiting)),
	}
	if len(matched) == 0 {
		return families
	}
	return append(families, metrics.Family("wallflow_relay_failure_rules_total", "failure rules that matched",
		dto.MetricType_COUNTER, matched...))
}

func prefillRateFamilies(prefillRates []selector.Speed) []*dto.MetricFamily {
	var rateMetrics, sampleCountMetrics []*dto.Metric
	for _, prefillRate := range prefillRates {
		label := metrics.Label("service", prefillRate.Service)
		rateMetrics = append(rateMetrics, metrics.GaugeMetric(prefillRate.TokensPerMs, label))
		sampleCountMetrics = append(sampleCountMetrics, metrics.GaugeMetric(prefillRate.Answers, label))
	}
	if len(prefillRates) == 0 {
		return nil
	}
	return []*dto.MetricFamily{
		metrics.Family("wallflow_relay_reading_tokens_per_ms", "prompt tokens that an engine reads in a millisecond, as learned",
			dto.MetricType_GAUGE, rateMetrics...),
		metrics.Family("wallflow_relay_reading_answers", "answers of all relays that this rests on, faded",
			dto.MetricType_GAUGE, sampleCountMetrics...),
	}
}

func loadFamilies(loads workload.Stats) []*dto.MetricFamily {
	return []*dto.MetricFamily{
		metrics.Gauge("wallflow_relay_load_hub", "1 while this relay adds up the loads of its zone", metrics.Bool(loads.Hub)),
		metrics.Gauge("wallflow_relay_load_known", "1 while the loads of the other relays are known", metrics.Bool(loads.Known)),
		metrics.Gauge("wallflow_relay_load_zones", "other zones whose loads this hub hears", float64(loads.Zones)),
	}
}
