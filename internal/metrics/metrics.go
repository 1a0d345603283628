// Package metrics writes metrics in the Prometheus text format.
package metrics

import (
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// Write writes metric families as the response to a request.
func Write(w http.ResponseWriter, families []*dto.MetricFamily) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range families {
		if encoder.Encode(family) != nil {
			return // the client has disconnected
		}
	}
}

// Bool returns the metric value of a condition: 1 if it is true, 0 otherwise.
func Bool(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// Gauge returns a family with a single gauge.
func Gauge(name, help string, value float64) *dto.MetricFamily {
	return Family(name, help, dto.MetricType_GAUGE, GaugeMetric(value))
}

// Counter returns a family with a single counter, which counts since the start of the process.
func Counter(name, help string, value uint64) *dto.MetricFamily {
	return Family(name, help, dto.MetricType_COUNTER, CounterMetric(value))
}

// Family returns a family of metrics with the same name and different labels.
func Family(name, help string, kind dto.MetricType, metrics ...*dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Help: proto.String(help), Type: kind.Enum(), Metric: metrics}
}

// GaugeMetric returns a metric of a family of gauges.
func GaugeMetric(value float64, labels ...*dto.LabelPair) *dto.Metric {
	return &dto.Metric{Label: labels, Gauge: &dto.Gauge{Value: proto.Float64(value)}}
}

// CounterMetric returns a metric of a family of counters.
func CounterMetric(value uint64, labels ...*dto.LabelPair) *dto.Metric {
	return &dto.Metric{Label: labels, Counter: &dto.Counter{Value: proto.Float64(float64(value))}}
}

// Label returns a label of a metric.
func Label(name, value string) *dto.LabelPair {
	return &dto.LabelPair{Name: proto.String(name), Value: proto.String(value)}
}

// LabelCount is a metric of a family that Labelled returns.
type LabelCount struct {
	Value string // value of the label
	Count int    // value of the metric
}

// LabelledGauges returns a family of gauges, one for each value of the label.
func LabelledGauges(name, help, label string, counts []LabelCount) *dto.MetricFamily {
	var gauges []*dto.Metric
	for _, each := range counts {
		gauges = append(gauges, GaugeMetric(float64(each.Count), Label(label, each.Value)))
	}
	return Family(name, help, dto.MetricType_GAUGE, gauges...)
}
