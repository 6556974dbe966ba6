package reporter

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the metrics of one process. Instruments come from OpenTelemetry
// meters; the values are exposed on a Prometheus page.
//
// Names and attributes use kebab case. The page keeps them for scrapers that
// accept UTF-8 names and uses underscores for all others.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns Metrics with a separate registry, so that several instances
// can run in one test process. It includes the collectors of the Go runtime and
// the process, which show the CPU share and the memory of the control plane.
func NewMetrics() (m *Metrics, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "set up metrics")
		}
	}()

	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
		otelprometheus.WithTranslationStrategy(otlptranslator.NoUTF8EscapingWithSuffixes),
	)
	if err != nil {
		return nil, err
	}
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, err
	}
	if err := registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{provider: provider, registry: registry}, nil
}

// Meter returns the meter of a package.
func (m *Metrics) Meter(name string) metric.Meter {
	return m.provider.Meter(name)
}

// Handler returns the handler of the metrics page. In a fiber application, mount
// it with adaptor.HTTPHandler.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown stops the collection of metrics.
func (m *Metrics) Shutdown(ctx context.Context) error {
	return m.provider.Shutdown(ctx)
}
