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
	randomDatagrams = 5000
	maxRandomBytes  = 1400
	datagramSeed    = 7
	// quicLongHeader is the first byte of a QUIC Initial packet; version 1
	// follows.
	quicLongHeader = 0xc3
	// linkCallTimeout bounds a call over a link.
	linkCallTimeout = 3 * time.Second
)

// Guards against invalid datagrams that affect an entry, and against a peer that
// is accepted with a certificate of another authority.
func TestUntrustedPeers(t *testing.T) {
	d := startTestDeployment(t, testDeploymentConfig{})
	address := d.Entry("entry-a1").Addresses().Link
	before := d.revision("entry-a1")

	t.Run("random datagrams", func(t *testing.T) {
		sendRandomDatagrams(t, address)
		assertOK(t, d.mustCall("entry-a1", get("", "/services/open-label/labels/1")))
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		for _, kind := range []linker.Kind{linker.KindHeartbeat, linker.KindSnapshotRequest, linker.KindBorrow} {
			err := d.callWithUntrustedCertificate(t, address, kind)
			assert.ErrorIs(t, err, linker.ErrUnreachable, "%s reached the entry", kind)
		}
	})
	t.Run("certificate of the deployment", func(t *testing.T) {
		settings := d.Entry("entry-b1").Settings.TLS
		files := linker.KeyFiles{Authority: settings.CA, Certificate: settings.Certificate, Key: settings.Key}
		assert.NilError(t, callLinked(t, files, address, linker.KindSnapshotRequest))
	})
	t.Run("the entry still serves", func(t *testing.T) {
		assert.Equal(t, d.revision("entry-a1"), before)
		d.apply("entry-b1", d.workspaceNote("afterwards"))
		d.assertInForce(t, "afterwards", d.entryIDs()...)
		d.assertConfirmed(t, map[string]bool{"entry-a1": true, "entry-b1": true})
		a := d.mustCall("entry-a1", get(d.keys["packing"], "/services/label/labels/1"))
		assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
	})
}

// sendRandomDatagrams sends random datagrams, every other one with the header
// of a QUIC Initial packet.
func sendRandomDatagrams(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	rng := rand.New(rand.NewPCG(datagramSeed, 0)) //nolint:gosec // Reproducible data.
	for i := range randomDatagrams {
		data := make([]byte, 6+rng.IntN(maxRandomBytes))
		for j := range data {
			data[j] = byte(rng.UintN(256))
		}
		if i%2 == 0 {
			copy(data, []byte{quicLongHeader, 0, 0, 0, 1})
		}
		_, _ = conn.Write(data) // An entry that stopped listening fails the next check.
	}
}

// callWithUntrustedCertificate calls entry-a1 as entry-b1 with a certificate of
// another authority. The caller trusts the deployment's authority, so that only
// the entry can refuse the connection.
func (d *testDeployment) callWithUntrustedCertificate(t *testing.T, address string, kind linker.Kind) error {
	t.Helper()
	authority, err := tester.NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	certificate, err := authority.Issue("entry-b1")
	assert.NilError(t, err)
	files := linker.KeyFiles{Authority: d.Authority.Path, Certificate: certificate.Certificate, Key: certificate.Key}
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
	ctx, cancel := context.WithTimeout(t.Context(), linkCallTimeout)
	done := l.Start(ctx)
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()
	l.SetPeers([]linker.Peer{{ID: "entry-a1", Address: address, FailureDomain: "a"}})
	var answer any
	return l.Call(ctx, "entry-a1", kind, map[string]any{"revision": 1}, &answer)
}
