package node

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/vanilladrift/vanilladrift/caller"
	"github.com/vanilladrift/vanilladrift/engine"
)

// metrics holds the node's instruments.
type metrics struct {
	handler  http.Handler
	meter    metric.Meter
	requests metric.Int64Counter
	tokens   metric.Int64Counter
	refusals metric.Int64Counter
	holds    metric.Int64Counter
	byCost   metric.Int64Counter
	hedges   metric.Int64Counter
	retries  metric.Int64Counter

	loads        metric.Int64Counter
	loadFailures metric.Int64Counter
	evictions    metric.Int64Counter
	suspensions  metric.Int64Counter

	quotaRefusals      metric.Int64Counter
	quotaLeaseRequests metric.Int64Counter

	streamQuestions metric.Int64Counter

	firstToken   metric.Float64Histogram
	perToken     metric.Float64Histogram
	streamSearch metric.Float64Histogram
}

// secondsBuckets are the bucket bounds of histograms of durations, in seconds.
var secondsBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.2, 0.4, 0.87, 1.5, 3, 6, 15, 60}

func newMetrics() *metrics {
	reg := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		panic(err) // a new registry accepts every collector
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("vanilladrift")
	m := &metrics{handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}), meter: meter}
	m.requests = m.counter("requests", "requests by class, outcome and kind of refusal")
	m.tokens = m.counter("tokens", "tokens passed on to callers")
	m.refusals = m.counter("admission-refusals", "admissions refused by this node's schedulers, by reason")
	m.holds = m.counter("held-refusals", "requests refused without asking an engine's owner, by the reason that it gave before")
	m.byCost = m.counter("admissions-by-cost", "decisions of this node's schedulers while they order by cost, by priority and verdict")
	m.hedges = m.counter("hedges", "requests with a second attempt beside the first")
	m.retries = m.counter("retries", "attempts after the first")
	m.loads = m.counter("adapter-loads", "adapter loads asked for")
	m.loadFailures = m.counter("adapter-load-failures", "adapter loads that failed")
	m.evictions = m.counter("evictions", "adapters unloaded to make room")
	m.suspensions = m.counter("vm-suspensions", "times that the VM was suspended, as its clocks show")
	m.quotaRefusals = m.counter("quota-refusals", "requests refused since their account had used up its quota")
	m.quotaLeaseRequests = m.counter("quota-lease-requests", "leases on quotas asked of other nodes")
	m.streamQuestions = m.counter("stream-questions", "messages that asked other nodes where streams began")
	m.streamSearch = m.seconds("stream-search", "time until it was known whether other nodes know where a stream began that a caller takes up")
	m.firstToken = m.seconds("first-token", "time to the first token")
	m.perToken = m.seconds("between-tokens", "mean time between tokens of an answer")
	return m
}

func (m *metrics) counter(name, help string) metric.Int64Counter {
	c, err := m.meter.Int64Counter("vanilladrift."+name, metric.WithDescription(help))
	if err != nil {
		panic(err) // the names are constants
	}
	return c
}

func (m *metrics) seconds(name, help string) metric.Float64Histogram {
	h, err := m.meter.Float64Histogram("vanilladrift."+name, metric.WithDescription(help),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(secondsBuckets...))
	if err != nil {
		panic(err) // the names are constants
	}
	return h
}

// gauge registers a gauge whose value is computed at each scrape.
func (m *metrics) gauge(name, help string, value func() float64) {
	_, err := m.meter.Float64ObservableGauge("vanilladrift."+name, metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	if err != nil {
		panic(err) // the names are constants
	}
}

// request records the outcome of a request.
func (m *metrics) request(ev caller.Event) {
	ctx := context.Background()
	class := attribute.String("class", ev.Class)
	m.requests.Add(ctx, 1, metric.WithAttributes(class,
		attribute.String("outcome", string(ev.Outcome)), attribute.String("kind", string(ev.Kind))))
	m.tokens.Add(ctx, int64(ev.Tokens))
	if ev.Hedged {
		m.hedges.Add(ctx, 1)
	}
	if ev.Attempts > 1 {
		m.retries.Add(ctx, int64(ev.Attempts-1))
	}
	if ev.Kind == "" {
		m.firstToken.Record(ctx, ev.TimeToFirstToken.Seconds(), metric.WithAttributes(class))
		m.perToken.Record(ctx, ev.TimePerToken.Seconds(), metric.WithAttributes(class))
	}
}

func (m *metrics) refused(reason engine.RefusalReason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

func (m *metrics) refusedByHold(reason engine.RefusalReason) {
	m.holds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

// decided records a decision by cost.
func (m *metrics) decided(act engine.Action) {
	if act.Work == nil {
		return // the request ended before its turn
	}
	verdict := string(act.Kind)
	switch {
	case act.Reason == engine.Displaced:
		verdict = "displaced"
	case act.Kind == engine.Grant && act.Work.IsPromoted():
		verdict = "turn"
	}
	m.byCost.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("priority", act.Work.Priority), attribute.String("verdict", verdict)))
}
