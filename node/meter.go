package node

import "go.opentelemetry.io/otel/metric"

// Meter creates instruments that are exported with the node's metrics.
type Meter struct {
	m *metrics
}

// Meter returns the node's meter.
func (n *Node) Meter() Meter { return Meter{n.metrics} }

// Counter returns a counter. The name must be unique.
func (m Meter) Counter(name, help string) metric.Int64Counter { return m.m.counter(name, help) }

// Gauge registers a value that is computed at each scrape. The name must be unique.
func (m Meter) Gauge(name, help string, value func() float64) { m.m.gauge(name, help, value) }

// Seconds returns a histogram of durations in seconds. The name must be unique.
func (m Meter) Seconds(name, help string) metric.Float64Histogram { return m.m.seconds(name, help) }
