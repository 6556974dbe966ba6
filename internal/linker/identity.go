package linker

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
)

// protocolName is negotiated in the handshake (ALPN).
const protocolName = "quetzalhitch-link/1"

// identityPrefix precedes the instance ID in the URI subject alternative name
// of a certificate. A URI is used because a common name is free text, and a
// DNS name would invite certificates made for other purposes.
const identityPrefix = "urn:quetzalhitch:instance:"

// KeyFiles are the PEM files of an instance's credentials.
type KeyFiles struct {
	Authority   string // Certificates of the authorities that peers are checked against.
	Certificate string
	Key         string
}

// Load reads the files into a TLS configuration for New.
func (f KeyFiles) Load() (cfg *tls.Config, err error) {
	defer func() { err = merry.Prepend(err, "load TLS files for links") }()

	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, merry.Errorf("%s contains no certificate", f.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}, nil
}

// identityURI returns the URI that identifies an instance in its certificate.
func identityURI(instance string) *url.URL {
	return &url.URL{Scheme: "urn", Opaque: strings.TrimPrefix(identityPrefix, "urn:") + url.PathEscape(instance)}
}

// identityOf returns the instance ID in a certificate. Exactly one ID is
// required, so that a certificate cannot authenticate several instances.
func identityOf(certificate *x509.Certificate) (instance string, err error) {
	for _, uri := range certificate.URIs {
		name, ok := strings.CutPrefix(uri.String(), identityPrefix)
		if !ok {
			continue
		}
		if instance != "" {
			return "", merry.Prepend(ErrIdentity, "certificate names several instances")
		}
		if instance, err = url.PathUnescape(name); err != nil {
			return "", err
		}
	}
	if instance == "" {
		return "", merry.Prepend(ErrIdentity, "certificate has no URI with an instance ID")
	}
	return instance, nil
}

// peerIdentity returns the instance ID in the peer's certificate.
func peerIdentity(state tls.ConnectionState) (instance string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", merry.Prepend(ErrIdentity, "peer presented no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}

// serverTLS returns a configuration that accepts any instance with a certificate
// of the authority.
func serverTLS(base *tls.Config) *tls.Config {
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.NextProtos = []string{protocolName}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = base.RootCAs
	cfg.SessionTicketsDisabled = true
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := peerIdentity(state)
		return err
	}
	return cfg
}

// clientTLS returns a configuration that accepts only the given peer. It
// replaces the verification of the standard library, which compares host names:
// addresses of instances change, their IDs don't.
func clientTLS(base *tls.Config, peer string) *tls.Config {
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.NextProtos = []string{protocolName}
	cfg.SessionTicketsDisabled = true
	cfg.InsecureSkipVerify = true
	cfg.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyServer(state, base.RootCAs, peer)
	}
	return cfg
}

// verifyServer checks the certificate chain and the identity of the server.
func verifyServer(state tls.ConnectionState, roots *x509.CertPool, peer string) error {
	instance, err := peerIdentity(state)
	if err != nil {
		return err
	}
	if instance != peer {
		return merry.Prependf(ErrIdentity, "certificate names %q instead of %q", instance, peer)
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return err
}
