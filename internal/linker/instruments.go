package linker

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// A direction says whether this instance sent or received a message.
type direction string

// The directions of messages.
const (
	sent     direction = "sent"
	received direction = "received"
)

// unknownKind stands for kinds that are not served. A peer must not be able
// to add time series by naming new kinds.
const unknownKind Kind = "unknown"

// Instruments count requests and answers by kind and direction. The bytes are
// those of frames: packets, acknowledgements and keepalives of QUIC come on
// top.
type instruments struct {
	messages metric.Int64Counter
	bytes    metric.Int64Counter
}

// newInstruments makes the counters; without a meter nothing is counted.
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

// count counts one message of n bytes.
func (i *instruments) count(d direction, kind Kind, n int) {
	attributes := metric.WithAttributes(
		attribute.String("direction", string(d)), attribute.String("kind", string(kind)))
	i.messages.Add(context.Background(), 1, attributes)
	i.bytes.Add(context.Background(), int64(n), attributes)
}

// servedKind returns the kind under which a received request is counted.
func (l *Linker) servedKind(kind Kind) Kind {
	if _, ok := l.handlers[kind]; ok {
		return kind
	}
	return unknownKind
}
