//go:build deps

// Package imports keeps the declared libraries in go.mod while the packages
// that use them are being written.
package imports

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/Shopify/toxiproxy/v2/toxics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sirupsen/logrus/hooks/test"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/panics"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttputil"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/assert/cmp"
	_ "gotest.tools/v3/fs"
	_ "gotest.tools/v3/golden"
	_ "gotest.tools/v3/poll"
)
