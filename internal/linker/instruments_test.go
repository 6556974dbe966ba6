package linker

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A payloadEcho answers with the request's payload.
type payloadEcho struct{}

func (payloadEcho) Handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	return payload, nil
}

// A meteredLinker is a Linker with a reader for its counters.
type meteredLinker struct {
	*Linker
	reader *sdkmetric.ManualReader
}

func startMeteredLinker(t *testing.T, a *Authority, id string) meteredLinker {
	t.Helper()
	credentials, err := a.Issue(id)
	assert.NilError(t, err)
	tlsConfig, err := credentials.TLS()
	assert.NilError(t, err)
	c := meteredLinker{reader: sdkmetric.NewManualReader()}
	c.Linker, err = New(Config{
		InstanceID:    id,
		ListenAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0).String(),
		TLS:           tlsConfig,
		Clock:         clockwork.NewRealClock(),
		Logger:        logrus.New(),
		Meter:         sdkmetric.NewMeterProvider(sdkmetric.WithReader(c.reader)).Meter("linker"),
	})
	assert.NilError(t, err)
	c.Handle(KindBorrow, payloadEcho{})
	ctx, cancel := context.WithCancel(context.Background())
	end := c.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	return c
}

// counterValue returns the value of a counter, or zero if it has no data.
func (c meteredLinker) counterValue(t *testing.T, name string, d direction, kind Kind) int64 {
	t.Helper()
	var all metricdata.ResourceMetrics
	assert.NilError(t, c.reader.Collect(t.Context(), &all))
	wanted := attribute.NewSet(attribute.String("direction", string(d)), attribute.String("kind", string(kind)))
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			sum, ok := m.Data.(metricdata.Sum[int64])
			if !ok || m.Name != name {
				continue
			}
			for _, point := range sum.DataPoints {
				if point.Attributes.Equals(&wanted) {
					return point.Value
				}
			}
		}
	}
	return 0
}

// assertMessageCount polls because the receiver may count its answer after the
// caller has received it.
func assertMessageCount(t *testing.T, c meteredLinker, d direction, kind Kind, messages int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := c.counterValue(t, "linker.messages", d, kind); n != messages {
			return poll.Continue("%d messages of kind %s %s", n, kind, d)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against messages that the counters miss, and against time series that a
// peer creates by sending unknown kinds.
func TestCounters(t *testing.T) {
	authority, err := NewAuthority(time.Now())
	assert.NilError(t, err)
	a, b := startMeteredLinker(t, authority, "a"), startMeteredLinker(t, authority, "b")
	a.SetPeers([]Peer{{ID: "b", Address: b.Address()}})

	t.Run("both ends count the same", func(t *testing.T) {
		assert.NilError(t, a.Call(t.Context(), "b", KindBorrow, "tokens", nil))
		for _, c := range []meteredLinker{a, b} {
			assertMessageCount(t, c, sent, KindBorrow, 1)
			assertMessageCount(t, c, received, KindBorrow, 1)
		}
		request := a.counterValue(t, "linker.frame-bytes", sent, KindBorrow)
		assert.Assert(t, request > int64(len("tokens")))
		assert.Equal(t, b.counterValue(t, "linker.frame-bytes", received, KindBorrow), request)
		assert.Equal(t, a.counterValue(t, "linker.frame-bytes", received, KindBorrow),
			b.counterValue(t, "linker.frame-bytes", sent, KindBorrow))
	})
	t.Run("a kind that is not served", func(t *testing.T) {
		assert.ErrorIs(t, a.Call(t.Context(), "b", "invented", "x", nil), ErrRemote)
		assertMessageCount(t, b, received, unknownKind, 1)
		assertMessageCount(t, b, received, "invented", 0)
	})
}
