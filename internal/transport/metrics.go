package transport

import (
	dto "github.com/prometheus/client_model/go"

	"wallflow/internal/metrics"
)

// MetricFamilies returns the counters as Prometheus metrics: messages and bytes sent by kind, and dropped messages by cause. The
// metric names begin with the prefix, which identifies the program.
func (c *Counters) MetricFamilies(prefix string) []*dto.MetricFamily {
	var messages, bytes []*dto.Metric
	for kind, sent := range c.Sent {
		if sent.Messages == 0 {
			continue
		}
		label := metrics.Label("kind", Kind(kind).String())
		messages = append(messages, metrics.CounterMetric(sent.Messages, label))
		bytes = append(bytes, metrics.CounterMetric(sent.Bytes, label))
	}
	families := []*dto.MetricFamily{
		metrics.Family(prefix+"_dropped_messages_total", "messages to other processes that were dropped",
			dto.MetricType_COUNTER, c.droppedMetrics()...),
	}
	if len(messages) == 0 {
		return families
	}
	return append(families,
		metrics.Family(prefix+"_sent_messages_total", "messages sent to other processes", dto.MetricType_COUNTER, messages...),
		metrics.Family(prefix+"_sent_bytes_total", "bytes of messages sent to other processes, with their own headers",
			dto.MetricType_COUNTER, bytes...))
}

// droppedMetrics returns one metric for each cause of dropped messages, also for those that have not occurred.
func (c *Counters) droppedMetrics() []*dto.Metric {
	causes := []struct {
		name  string
		count uint64
	}{
		{"queue full", c.DroppedFull}, {"waited too long", c.DroppedStale}, {"connection broke", c.DroppedBroken},
		{"too large", c.DroppedLarge}, {"datagram not taken", c.DroppedDatagrams},
	}
	var result []*dto.Metric
	for _, cause := range causes {
		result = append(result, metrics.CounterMetric(cause.count, metrics.Label("cause", cause.name)))
	}
	return result
}
