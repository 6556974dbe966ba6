package linker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

// Validity of an Authority and of the certificates that it issues. Neither is
// renewed, so the links of a fleet work for at most certificateLifetime after its
// Authority was created.
const (
	certificateLifetime = 30 * 24 * time.Hour
	clockSkewAllowance  = time.Hour // By which certificates are backdated, as clocks of instances may differ.
	serialBits          = 127
)

// An Authority is a certificate authority that issues the certificates of the
// instances of one fleet. Its key stays in memory unless it is exported.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Credentials are an instance's certificate and key, and the authority's
// certificate, in PEM.
type Credentials struct {
	Authority   []byte
	Certificate []byte
	Key         []byte
}

// NewAuthority creates an authority whose certificates are valid from now on.
func NewAuthority(now time.Time) (authority *Authority, err error) {
	defer func() { err = merry.Prepend(err, "make a certificate authority") }()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("quetzalhitch development authority", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	certificate, err := sign(template, template, key, key)
	return &Authority{Certificate: certificate, key: key}, err
}

// Issue generates a key and a certificate for an instance.
func (a *Authority) Issue(instance string) (c Credentials, err error) {
	defer func() { err = merry.Prependf(err, "issue a certificate for %s", instance) }()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Credentials{}, err
	}
	template, err := newTemplate(instance, a.Certificate.NotBefore.Add(clockSkewAllowance))
	if err != nil {
		return Credentials{}, err
	}
	template.URIs = []*url.URL{identityURI(instance)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	certificate, err := sign(template, a.Certificate, key, a.key)
	if err != nil {
		return Credentials{}, err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Credentials{}, err
	}
	return Credentials{
		Authority:   encodePEM("CERTIFICATE", a.Certificate.Raw),
		Certificate: encodePEM("CERTIFICATE", certificate.Raw),
		Key:         encodePEM("PRIVATE KEY", encodedKey),
	}, nil
}

// TLS returns the credentials as a TLS configuration for New.
func (c Credentials) TLS() (cfg *tls.Config, err error) {
	certificate, err := tls.X509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, merry.Prepend(err, "read credentials")
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(c.Authority)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}, nil
}

// Write stores the credentials as files in a folder. The key is readable by
// its owner only.
func (c Credentials) Write(folder string) (files KeyFiles, err error) {
	defer func() { err = merry.Prepend(err, "write credentials") }()

	files = KeyFiles{
		Authority:   filepath.Join(folder, "authority.pem"),
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
	}
	if err := os.WriteFile(files.Authority, c.Authority, 0o644); err != nil {
		return KeyFiles{}, err
	}
	if err := os.WriteFile(files.Certificate, c.Certificate, 0o644); err != nil {
		return KeyFiles{}, err
	}
	return files, os.WriteFile(files.Key, c.Key, 0o600)
}

// newTemplate returns a certificate template with the fields that authority and
// instance certificates have in common.
func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(certificateLifetime),
		BasicConstraintsValid: true,
	}, nil
}

func sign(template, parent *x509.Certificate, subject, issuer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &subject.PublicKey, issuer)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(raw)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Export encodes the authority with its private key. The result must be kept in
// a store that only instances of the same fleet can read.
func (a *Authority) Export() (data []byte, err error) {
	defer func() { err = merry.Prepend(err, "export the certificate authority") }()
	key, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return nil, err
	}
	return Marshal(exportedAuthority{Certificate: a.Certificate.Raw, Key: key})
}

type exportedAuthority struct {
	Certificate []byte `cbor:"certificate"`
	Key         []byte `cbor:"key"`
}

// ImportAuthority decodes an exported authority.
func ImportAuthority(data []byte) (a *Authority, err error) {
	defer func() { err = merry.Prepend(err, "import a certificate authority") }()
	var exported exportedAuthority
	if err := Unmarshal(data, &exported); err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(exported.Certificate)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(exported.Key)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, merry.Errorf("authority key has type %T instead of *ecdsa.PrivateKey", parsed)
	}
	return &Authority{Certificate: certificate, key: key}, nil
}
