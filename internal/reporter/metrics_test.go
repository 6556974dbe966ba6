package reporter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// Guards against a metrics page that fiber cannot serve, and against losing the
// kebab-case names.
func TestMetricsPageInFiber(t *testing.T) {
	m, err := NewMetrics()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, m.Shutdown(context.Background())) })

	counter, err := m.Meter("dispatcher").Int64Counter("requests")
	assert.NilError(t, err)
	counter.Add(context.Background(), 3, metric.WithAttributes(attribute.String("failure-domain", "varazdin")))

	app := fiber.New()
	app.Get("/metrics", adaptor.HTTPHandler(m.Handler()))

	t.Run("plain-text scraper", func(t *testing.T) {
		page := readPage(t, app, "text/plain")
		assert.Assert(t, cmp.Contains(page, `requests_total{failure_domain="varazdin"} 3`))
	})
	t.Run("scraper that accepts UTF-8 names", func(t *testing.T) {
		page := readPage(t, app, "text/plain;version=1.0.0;escaping=allow-utf-8")
		assert.Assert(t, cmp.Contains(page, `"failure-domain"="varazdin"`))
	})
	t.Run("runtime and process", func(t *testing.T) {
		page := readPage(t, app, "text/plain")
		assert.Assert(t, cmp.Contains(page, "go_memstats_alloc_bytes"))
		assert.Assert(t, cmp.Contains(page, "process_cpu_seconds_total"))
	})
}

// Guards against a shared registry, which would keep two instances from running in
// one process.
func TestMetricsAreSeparate(t *testing.T) {
	for range 2 {
		m, err := NewMetrics()
		assert.NilError(t, err)
		_, err = m.Meter("dispatcher").Int64Counter("requests")
		assert.NilError(t, err)
	}
}

func readPage(t *testing.T, app *fiber.App, accept string) string {
	t.Helper()
	req := httptest.NewRequest(http.MethodGet, "/metrics", strings.NewReader(""))
	req.Header.Set("Accept", accept)
	resp, err := app.Test(req)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, resp.Body.Close()) }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}
