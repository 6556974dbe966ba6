package forwarder

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// instruments are the metrics of the forwarder. They have no labels for requests or
// callers.
type instruments struct {
	requests  metric.Int64Counter
	attempts  metric.Int64Counter
	resumes   metric.Int64Counter
	firstByte metric.Float64Histogram
	duration  metric.Float64Histogram
}

// latencyBuckets are in seconds, with a finer resolution around the latency goals of
// routes.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.15, 0.2, 0.3, 0.38, 0.5, 0.75, 1, 2, 5, 10}

func newInstruments(m metric.Meter) (*instruments, error) {
	var i instruments
	var errs [5]error
	buckets := metric.WithExplicitBucketBoundaries(latencyBuckets...)
	i.requests, errs[0] = m.Int64Counter("forwarder.requests", metric.WithDescription("Requests by route and end"))
	i.attempts, errs[1] = m.Int64Counter("forwarder.attempts", metric.WithDescription("Attempts that failed or were refused, by route"))
	i.resumes, errs[2] = m.Int64Counter("forwarder.resumes", metric.WithDescription("Streams that went on at another server, by route"))
	i.firstByte, errs[3] = m.Float64Histogram("forwarder.first-byte", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from the request to the first byte of its answer"))
	i.duration, errs[4] = m.Float64Histogram("forwarder.duration", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from the request to the end of its answer"))
	return &i, errors.Join(errs[:]...)
}

// answered is the value of the label "end" for requests that were answered.
const answered refuser.Code = "answered"

func (i *instruments) observe(r *run, refusal *refuser.Refusal, duration time.Duration) {
	code := answered
	if refusal != nil {
		code = refusal.Code
	}
	ctx := context.Background()
	route := attribute.String("route", r.q.Route.Name)
	i.requests.Add(ctx, 1, metric.WithAttributes(route, attribute.String("end", string(code))))
	i.duration.Record(ctx, duration.Seconds(), metric.WithAttributes(route))
	if r.firstByte > 0 {
		i.firstByte.Record(ctx, r.firstByte.Seconds(), metric.WithAttributes(route))
	}
	if failed := r.attempts + r.refusedAttempts; failed > 0 {
		i.attempts.Add(ctx, int64(failed), metric.WithAttributes(route))
	}
	if r.resumes > 0 {
		i.resumes.Add(ctx, int64(r.resumes), metric.WithAttributes(route))
	}
}
