package entry

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/vanilladrift/vanilladrift/node"
	"github.com/vanilladrift/vanilladrift/relay"
)

// metrics records the outcomes of callers' requests.
type metrics struct {
	requests        metric.Int64Counter
	retries         metric.Int64Counter
	timeToFirstByte metric.Float64Histogram
	timeToGrant     metric.Float64Histogram
}

func newMetrics(meter node.Meter) *metrics {
	return &metrics{
		requests:        meter.Counter("relayed-requests", "requests by route, status and kind of failure"),
		retries:         meter.Counter("relayed-repeats", "attempts that failed and were followed by another, by kind"),
		timeToFirstByte: meter.Seconds("relayed-first-byte", "time from reading a request to the first byte of its answer"),
		timeToGrant:     meter.Seconds("relayed-grant", "time from reading a request to the grant of an engine"),
	}
}

// observe logs and counts the end of a request or of a failed attempt.
func (d *Daemon) observe(ev relay.Event) {
	ctx := context.Background()
	kind := attribute.String("kind", string(ev.Kind))
	if !ev.Final {
		d.metrics.retries.Add(ctx, 1, metric.WithAttributes(kind))
	} else {
		d.metrics.requests.Add(ctx, 1, metric.WithAttributes(kind, attribute.String("route", ev.Route), attribute.Int("status", ev.Status)))
		if ev.TimeToFirstByte > 0 {
			d.metrics.timeToFirstByte.Record(ctx, ev.TimeToFirstByte.Seconds())
		}
		if ev.TimeToGrant > 0 {
			d.metrics.timeToGrant.Record(ctx, ev.TimeToGrant.Seconds())
		}
	}
	msg := "request ended"
	if !ev.Final {
		msg = "request attempt failed; retrying"
	}
	parts := ""
	if ev.Kind == relay.ServerFailed || ev.Kind == relay.StreamInterrupted {
		parts = strings.Join(ev.PromptParts, ",") // tells what requests that failed have in common
	}
	d.log.Info(msg, "id", ev.ID, "route", ev.Route, "pool", ev.Pool, "adapter", ev.Adapter, "account", ev.Account, "server", ev.Server,
		"status", ev.Status, "kind", ev.Kind, "reason", ev.Reason, "attempts", ev.Attempts, "events", ev.EventsSent,
		"age-ms", ev.Elapsed.Milliseconds(), "grant-ms", ev.TimeToGrant.Milliseconds(), "first-ms", ev.TimeToFirstByte.Milliseconds(),
		"gap-ms", ev.MaxEventGap.Milliseconds(), "left-ms", ev.TimeLeft.Milliseconds(), "retry-ms", ev.RetryAfter.Milliseconds(), "config", ev.ConfigVersion, "config-age-ms", ev.ConfigAge.Milliseconds(), "prompt-parts", parts, "fingerprint", ev.Fingerprint,
		"server-status", ev.ServerStatus, "server-not-run", ev.ServerNotRun, "conn", ev.Connection.ID, "conn-age-ms", ev.Connection.Age.Milliseconds(),
		"conn-requests", ev.Connection.Requests, "conn-last", ev.Connection.LastRequestID,
		"build", ev.Build, "relayed-by", ev.RelayedBy, "relayed-to", ev.RelayedTo, "resumes", ev.Resumes, "after-event", ev.LastEventID)
}
