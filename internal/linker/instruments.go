package linker

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// A direction tells whether this instance sent or received a message.
type direction string

const (
	sent     direction = "sent"
	received direction = "received"
)

// unknownKind is the metric label of kinds without a handler. Without it, a peer
// could create time series by sending arbitrary kinds.
const unknownKind Kind = "unknown"

// instruments count requests and answers by kind and direction. The byte counts
// cover frames only, without the overhead of QUIC: packet headers,
// acknowledgements and keepalives.
type instruments struct {
	messages metric.Int64Counter
	bytes    metric.Int64Counter
}

// newInstruments creates the counters, which are no-ops when m is nil.
func newInstruments(m metric.Meter) (*instruments, error) {
	if m == nil {
		m = noop.NewMeterProvider().Meter("linker")
	}
	var i instruments
	var errs [2]error
	i.messages, errs[0] = m.Int64Counter("linker.messages",
		metric.WithDescription("Requests and answers on links by kind and direction"))
	i.bytes, errs[1] = m.Int64Counter("linker.frame-bytes",
		metric.WithDescription("Bytes of requests and answers on links by kind and direction"))
	return &i, errors.Join(errs[:]...)
}

// count records one message of n bytes.
func (i *instruments) count(d direction, kind Kind, n int) {
	attributes := metric.WithAttributes(
		attribute.String("direction", string(d)), attribute.String("kind", string(kind)))
	i.messages.Add(context.Background(), 1, attributes)
	i.bytes.Add(context.Background(), int64(n), attributes)
}

// metricKind returns the metric label for the kind of a received request.
func (l *Linker) metricKind(kind Kind) Kind {
	if _, ok := l.handlers[kind]; ok {
		return kind
	}
	if _, ok := l.streamHandlers[kind]; ok {
		return kind
	}
	return unknownKind
}
