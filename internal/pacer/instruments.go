package pacer

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel/metric"
)

// Register adds the metrics of the pacer.
func (p *Pacer) Register(m metric.Meter) (err error) {
	defer func() { err = merry.Prepend(err, "register metrics of the pacer") }()
	_, gaugeErr := m.Int64ObservableGauge("pacer.limited-servers",
		metric.WithDescription("Backend servers that are cold or in a ramp"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(p.limited.Load())
			return nil
		}))
	_, counterErr := m.Int64ObservableCounter("pacer.held-back",
		metric.WithDescription("Times that a choice passed over a backend server because it is cold or in a ramp"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(p.heldBack.Load())
			return nil
		}))
	return errors.Join(gaugeErr, counterErr)
}
