package tester

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/quetzalhitch/quetzalhitch/internal/configurer"
)

// Guards against settings that an entry refuses or reads otherwise.
func TestSettingsAreRead(t *testing.T) {
	d := toyDeployment(t, func(cfg *DeploymentConfig) { cfg.Entries[0].Disk = true })
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

// Guards against a baseline that does not reach the entries.
func TestSettingsBaseline(t *testing.T) {
	d := toyDeployment(t, func(cfg *DeploymentConfig) { cfg.Baseline = "round-robin" })
	content, err := os.ReadFile(d.Entry("entry-a").settingsPath)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(content), "[experimental]\n  baseline = \"round-robin\""))
}

// Guards against certificates that do not let two instances of a deployment
// trust each other, or that let in a stranger.
func TestCertificates(t *testing.T) {
	ours, err := NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)
	strangers, err := NewCertificateAuthority(t.TempDir())
	assert.NilError(t, err)

	t.Run("same authority", func(t *testing.T) {
		state, err := handshake(t, issue(t, ours, "entry-a"), issue(t, ours, "entry-b"))
		assert.NilError(t, err)
		assert.Equal(t, state.PeerCertificates[0].Subject.CommonName, "entry-b")
	})
	t.Run("other authority", func(t *testing.T) {
		stranger := issue(t, strangers, "entry-b")
		stranger.InsecureSkipVerify = true //nolint:gosec // Only the server's check counts.
		_, err := handshake(t, issue(t, ours, "entry-a"), stranger)
		assert.ErrorContains(t, err, "unknown authority")
	})
}

func issue(t *testing.T, a *CertificateAuthority, instance string) *tls.Config {
	t.Helper()
	c, err := a.Issue(instance)
	assert.NilError(t, err)
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	assert.NilError(t, err)
	ca, err := os.ReadFile(c.CA)
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(ca))
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		RootCAs:      roots,
		ServerName:   loopback.String(),
		MinVersion:   tls.VersionTLS13,
	}
}

// handshake returns what the server learns of the client.
func handshake(t *testing.T, server, client *tls.Config) (state tls.ConnectionState, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			_ = conn.Close()
		}
	}()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	end := tls.Server(conn, server)
	err = end.Handshake()
	return end.ConnectionState(), err
}
