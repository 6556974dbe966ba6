package intaker

import (
	"context"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/metric"
)

// Register adds metrics of a budget.
func (b *Budget) Register(m metric.Meter) (err error) {
	defer func() { err = merry.Prepend(err, "register intake") }()
	held, err := m.Int64ObservableGauge("intaker.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes held by requests that are being received or run"))
	if err != nil {
		return err
	}
	evictions, err := m.Int64ObservableCounter("intaker.evictions",
		metric.WithDescription("Connections that lost their share of the memory or their place for want of progress"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		used, evicted := b.Usage()
		o.ObserveInt64(held, used)
		o.ObserveInt64(evictions, evicted)
		return nil
	}, held, evictions)
	return err
}
