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

// Load reads the files into a configuration for New.
func (f KeyFiles) Load() (cfg *tls.Config, err error) {
	defer func() { err = merry.Prepend(err, "load the key files of links") }()

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
		return nil, merry.Errorf("%s holds no certificate", f.Authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}, nil
}

// identityURI is the URI that names an instance in its certificate.
func identityURI(instance string) *url.URL {
	return &url.URL{Scheme: "urn", Opaque: strings.TrimPrefix(identityPrefix, "urn:") + url.PathEscape(instance)}
}

// identityOf returns the instance that a certificate names. Exactly one name
// is required, so that a certificate cannot speak for several instances.
func identityOf(certificate *x509.Certificate) (instance string, err error) {
	for _, uri := range certificate.URIs {
		name, ok := strings.CutPrefix(uri.String(), identityPrefix)
		if !ok {
			continue
		}
		if instance != "" {
			return "", merry.Prepend(ErrIdentity, "several instances named")
		}
		if instance, err = url.PathUnescape(name); err != nil {
			return "", err
		}
	}
	if instance == "" {
		return "", merry.Prepend(ErrIdentity, "no URI name of an instance")
	}
	return instance, nil
}

// peerIdentity returns the instance at the far end of a handshake.
func peerIdentity(state tls.ConnectionState) (instance string, err error) {
	if len(state.PeerCertificates) == 0 {
		return "", merry.Prepend(ErrIdentity, "no certificate")
	}
	return identityOf(state.PeerCertificates[0])
}

// serverTLS accepts any instance that the authority has certified.
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

// clientTLS accepts one instance only. The verification of the standard
// library is replaced because it compares host names: addresses of instances
// change, identities don't.
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

// verifyServer checks the chain and the identity of the far end.
func verifyServer(state tls.ConnectionState, roots *x509.CertPool, peer string) error {
	instance, err := peerIdentity(state)
	if err != nil {
		return err
	}
	if instance != peer {
		return merry.Prependf(ErrIdentity, "found %q instead of %q", instance, peer)
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
