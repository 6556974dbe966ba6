package dispatcher

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
)

// instruments holds the metrics of the dispatcher. Attributes must have low
// cardinality: no request, key or caller is named.
type instruments struct {
	requests    metric.Int64Counter
	failures    metric.Int64Counter
	retries     metric.Int64Counter
	items       metric.Int64Counter
	tokens      metric.Int64Counter
	preemptions metric.Int64Counter
	firstByte   metric.Float64Histogram
	duration    metric.Float64Histogram
}

// latencyBuckets are in seconds. They are dense around the latency targets for
// the first token and for service calls.
var latencyBuckets = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.38, 0.5, 0.75, 1, 2, 5, 10, 30, 60, 120, 300,
}

func newInstruments(m metric.Meter) (*instruments, error) {
	var i instruments
	var errs [8]error
	buckets := metric.WithExplicitBucketBoundaries(latencyBuckets...)
	i.requests, errs[0] = m.Int64Counter("dispatcher.requests", metric.WithDescription("Online requests by their end"))
	i.failures, errs[1] = m.Int64Counter("dispatcher.failures", metric.WithDescription("Failed attempts by their cause"))
	i.retries, errs[2] = m.Int64Counter("dispatcher.retries", metric.WithDescription("Decisions after failed attempts"))
	i.items, errs[3] = m.Int64Counter("dispatcher.batch-items", metric.WithDescription("Tries of batch items by their end"))
	i.tokens, errs[4] = m.Int64Counter("dispatcher.batch-tokens", metric.WithDescription("Tokens of batch items"))
	i.preemptions, errs[5] = m.Int64Counter("dispatcher.batch-yields", metric.WithDescription("Batch items that made way for online work"))
	i.firstByte, errs[6] = m.Float64Histogram("dispatcher.first-byte", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from the request to the first byte of its answer"))
	i.duration, errs[7] = m.Float64Histogram("dispatcher.duration", metric.WithUnit("s"), buckets,
		metric.WithDescription("Time from the request to the end of its answer"))
	return &i, errors.Join(errs[:]...)
}

func (i *instruments) countFailure(route string, cause sender.Cause) {
	i.failures.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", route), attribute.String("cause", string(cause))))
}

func (i *instruments) countRetry(route string, d retrier.Decision) {
	i.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", route), attribute.String("reason", string(d.Reason))))
}

func (i *instruments) countPreemptions(n int) {
	if n > 0 {
		i.preemptions.Add(context.Background(), int64(n))
	}
}
