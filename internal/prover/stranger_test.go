package prover

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
	"github.com/quetzalhitch/quetzalhitch/internal/tester"
)

const (
	garbageDatagrams = 5000
	garbageBytes     = 1400
	garbageSeed      = 7
	// quicLongHeader is the first byte of a QUIC Initial packet; version 1
	// follows.
	quicLongHeader = 0xc3
	// strangerLimit bounds a call of a stranger.
	strangerLimit = 3 * time.Second
)

// Guards against datagrams that are no QUIC and harm an entry, and against a
// peer that is let in with a certificate of another authority.
func TestStrangersOnTheLinks(t *testing.T) {
	b := startBench(t, benchConfig{})
	address := b.Entry("entry-a1").Addresses().Link
	before := b.revision("entry-a1")

	t.Run("garbage datagrams", func(t *testing.T) {
		sendGarbage(t, address)
		assertOK(t, b.mustCall("entry-a1", get("", "/services/open-label/labels/1")))
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		for _, kind := range []linker.Kind{linker.KindHeartbeat, linker.KindSnapshotRequest, linker.KindBorrow} {
			err := b.callAsStranger(t, address, kind)
			assert.ErrorIs(t, err, linker.ErrUnreachable, "%s reached the entry", kind)
		}
	})
	t.Run("certificate of the deployment", func(t *testing.T) {
		settings := b.Entry("entry-b1").Settings.TLS
		files := linker.KeyFiles{Authority: settings.CA, Certificate: settings.Certificate, Key: settings.Key}
		assert.NilError(t, callLinked(t, files, address, linker.KindSnapshotRequest))
	})
	t.Run("service goes on", func(t *testing.T) {
		assert.Equal(t, b.revision("entry-a1"), before)
		b.apply("entry-b1", b.workspaceNote("afterwards"))
		b.assertInForce(t, "afterwards", b.entryIDs()...)
		b.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true})
		a := b.mustCall("entry-a1", get(b.keys["packing"], "/services/label/labels/1"))
		assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
	})
}

// sendGarbage sends random datagrams, every other one with the start of a
// QUIC Initial packet.
func sendGarbage(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	random := rand.New(rand.NewPCG(garbageSeed, 0)) //nolint:gosec // Repeatable garbage.
	for i := range garbageDatagrams {
		data := make([]byte, 6+random.IntN(garbageBytes))
		for j := range data {
			data[j] = byte(random.UintN(256))
		}
		if i%2 == 0 {
			copy(data, []byte{quicLongHeader, 0, 0, 0, 1})
		}
		_, _ = conn.Write(data) // An ICMP error would show in the next step.
	}
}

// callAsStranger calls entry-a1 under the name of entry-b1 with a certificate
// of an authority of its own. The stranger itself trusts the deployment's
// authority, so that only the entry can refuse.
func (b *bench) callAsStranger(t *testing.T, address string, kind linker.Kind) error {
	t.Helper()
	authority, err := tester.NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	certificate, err := authority.Issue("entry-b1")
	assert.NilError(t, err)
	files := linker.KeyFiles{Authority: b.Authority.Path, Certificate: certificate.Certificate, Key: certificate.Key}
	return callLinked(t, files, address, kind)
}

// callLinked calls entry-a1 as entry-b1 with the given key files.
func callLinked(t *testing.T, files linker.KeyFiles, address string, kind linker.Kind) error {
	t.Helper()
	credentials, err := files.Load()
	assert.NilError(t, err)
	logger := logrus.New()
	logger.SetOutput(t.Output())
	l, err := linker.New(linker.Config{
		InstanceID:    "entry-b1",
		ListenAddress: "127.0.0.1:0",
		TLS:           credentials,
		Clock:         clockwork.NewRealClock(),
		Logger:        logger,
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), strangerLimit)
	done := l.Start(ctx)
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	l.SetPeers([]linker.Peer{{ID: "entry-a1", Address: address, FailureDomain: "a"}})
	var answer any
	return l.Call(ctx, "entry-a1", kind, map[string]any{"revision": 1}, &answer)
}
