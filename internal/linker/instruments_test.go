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

// A mirror answers with the request's payload.
type mirror struct{}

func (mirror) Handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	return payload, nil
}

// A counted is a Linker with the reader of its counters.
type counted struct {
	*Linker
	reader *sdkmetric.ManualReader
}

func startCounted(t *testing.T, a *Authority, id string) counted {
	t.Helper()
	credentials, err := a.Issue(id)
	assert.NilError(t, err)
	tlsConfig, err := credentials.TLS()
	assert.NilError(t, err)
	c := counted{reader: sdkmetric.NewManualReader()}
	c.Linker, err = New(Config{
		InstanceID:    id,
		ListenAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0).String(),
		TLS:           tlsConfig,
		Clock:         clockwork.NewRealClock(),
		Logger:        logrus.New(),
		Meter:         sdkmetric.NewMeterProvider(sdkmetric.WithReader(c.reader)).Meter("linker"),
	})
	assert.NilError(t, err)
	c.Handle(KindBorrow, mirror{})
	ctx, cancel := context.WithCancel(context.Background())
	end := c.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	return c
}

// value returns a counter, zero when nothing was counted.
func (c counted) value(t *testing.T, name string, d direction, kind Kind) int64 {
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

// assertCounted waits: the receiver counts its answer after the caller may
// have it.
func assertCounted(t *testing.T, c counted, d direction, kind Kind, messages int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := c.value(t, "linker.messages", d, kind); n != messages {
			return poll.Continue("%d messages of kind %s %s", n, kind, d)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against messages that are missing from the bytes of control, and
// against time series that a peer adds by naming kinds.
func TestCounters(t *testing.T) {
	authority, err := NewAuthority(time.Now())
	assert.NilError(t, err)
	a, b := startCounted(t, authority, "a"), startCounted(t, authority, "b")
	a.SetPeers([]Peer{{ID: "b", Address: b.Address()}})

	t.Run("both ends count the same", func(t *testing.T) {
		assert.NilError(t, a.Call(t.Context(), "b", KindBorrow, "tokens", nil))
		for _, c := range []counted{a, b} {
			assertCounted(t, c, sent, KindBorrow, 1)
			assertCounted(t, c, received, KindBorrow, 1)
		}
		request := a.value(t, "linker.frame-bytes", sent, KindBorrow)
		assert.Assert(t, request > int64(len("tokens")))
		assert.Equal(t, b.value(t, "linker.frame-bytes", received, KindBorrow), request)
		assert.Equal(t, a.value(t, "linker.frame-bytes", received, KindBorrow),
			b.value(t, "linker.frame-bytes", sent, KindBorrow))
	})
	t.Run("a kind that is not served", func(t *testing.T) {
		assert.ErrorIs(t, a.Call(t.Context(), "b", "invented", "x", nil), ErrRemote)
		assertCounted(t, b, received, unknownKind, 1)
		assertCounted(t, b, received, "invented", 0)
	})
}
