package tester

import (
	"context"
	"crypto/tls"
	"os"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// Guards against settings that an entry rejects or reads with other values.
func TestSettingsAreRead(t *testing.T) {
	d := startFakeDeployment(t, func(cfg *DeploymentConfig) { cfg.Entries[0].Disk = true })
	e := d.Entry("entry-a")
	read, err := configurer.Load(e.settingsPath)
	assert.NilError(t, err)

	assert.Equal(t, read.InstanceID, "entry-a")
	assert.Equal(t, read.FailureDomain, "a")
	assert.Equal(t, read.Region, "r")
	assert.Equal(t, read.PlatformAddress, e.PlatformRelay.Address)
	assert.Equal(t, read.DataFolder, e.Settings.DataFolder)
	assert.DeepEqual(t, read.OperatorKeyDigests, []string{d.KeyDigest(d.OperatorKey)})
	assert.Equal(t, read.TLS.CAFile, d.Authority.Path)
	assert.Equal(t, len(read.Peers()), 1)
	assert.Equal(t, read.Peers()[0].Address, d.Entry("entry-b").LinkRouter.Address)
}

// Guards against a baseline that is not written to the settings of entries.
func TestSettingsBaseline(t *testing.T) {
	d := startFakeDeployment(t, func(cfg *DeploymentConfig) { cfg.Baseline = "round-robin" })
	content, err := os.ReadFile(d.Entry("entry-a").settingsPath)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(content), "[experimental]\n  baseline = \"round-robin\""))
}

// Guards against certificates with which two instances of a deployment cannot
// link to each other, or that accept an instance of another authority.
func TestCertificates(t *testing.T) {
	trusted, err := NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	untrusted, err := NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	server := startLinker(t, trusted, "entry-a")

	t.Run("same authority", func(t *testing.T) {
		assert.NilError(t, callLinker(t, startLinker(t, trusted, "entry-b"), server))
	})
	t.Run("other authority", func(t *testing.T) {
		err := callLinker(t, startLinker(t, untrusted, "entry-b"), server)
		assert.ErrorIs(t, err, linker.ErrUnreachable)
	})
}

// startLinker starts the linker of an instance.
func startLinker(t *testing.T, a *CertificateAuthority, instance string) *linker.Linker {
	t.Helper()
	l, err := linker.New(linker.Config{
		InstanceID: instance, ListenAddress: anyPort, TLS: issue(t, a, instance), Clock: clockwork.NewRealClock(), Logger: logrus.New(),
	})
	assert.NilError(t, err)
	l.Handle(linker.KindHeartbeat, echo{})
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Start(ctx)
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return l
}

// issue issues a certificate for an instance and loads it.
func issue(t *testing.T, a *CertificateAuthority, instance string) *tls.Config {
	t.Helper()
	c, err := a.Issue(instance)
	assert.NilError(t, err)
	cfg, err := linker.KeyFiles{Authority: c.CA, Certificate: c.Certificate, Key: c.Key}.Load()
	assert.NilError(t, err)
	return cfg
}

// callLinker calls entry-a at the linker to from the linker from.
func callLinker(t *testing.T, from, to *linker.Linker) error {
	t.Helper()
	from.SetPeers([]linker.Peer{{ID: "entry-a", Address: to.Address()}})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return from.Call(ctx, "entry-a", linker.KindHeartbeat, "ping", nil)
}

// echo answers with the payload that it was sent.
type echo struct{}

func (echo) Handle(_ context.Context, _ string, payload []byte) ([]byte, error) {
	return payload, nil
}
