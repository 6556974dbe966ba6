package tester

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// certificateBackdate allows for clocks that differ a little.
	certificateBackdate = time.Hour
	// certificateLifetime is longer than any run.
	certificateLifetime = 24 * time.Hour
	// serialBits is the length of the random serial numbers.
	serialBits = 120
)

// Types of the PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Certificate names the files of a certificate.
type Certificate struct {
	CA          string // Path of the authority's certificate.
	Certificate string // Path.
	Key         string // Path of the private key.
}

// A CertificateAuthority issues the certificates of a deployment's instances.
type CertificateAuthority struct {
	Folder string
	Path   string // The authority's own certificate.

	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewCertificateAuthority makes an authority that keeps its files in folder.
func NewCertificateAuthority(folder string) (a *CertificateAuthority, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "make a certificate authority")
		}
	}()

	template, err := newTemplate("quetzalhitch test authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	content, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(content)
	if err != nil {
		return nil, err
	}
	a = &CertificateAuthority{
		Folder:      folder,
		Path:        filepath.Join(folder, "ca.pem"),
		certificate: certificate,
		key:         key,
	}
	return a, writePEM(a.Path, pemCertificate, content)
}

// Issue makes a certificate for an instance, for use as client and as server.
func (a *CertificateAuthority) Issue(instance string) (c Certificate, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "issue a certificate for %s", instance)
		}
	}()

	template, err := newTemplate(instance)
	if err != nil {
		return Certificate{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.IPAddresses = []net.IP{loopback.AsSlice()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Certificate{}, err
	}
	content, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Certificate{}, err
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Certificate{}, err
	}
	c = Certificate{
		CA:          a.Path,
		Certificate: filepath.Join(a.Folder, instance+".pem"),
		Key:         filepath.Join(a.Folder, instance+"-key.pem"),
	}
	if err := writePEM(c.Certificate, pemCertificate, content); err != nil {
		return Certificate{}, err
	}
	return c, writePEM(c.Key, pemPrivateKey, privateKey)
}

func newTemplate(commonName string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-certificateBackdate),
		NotAfter:     now.Add(certificateLifetime),
	}
	return template, nil
}

func writePEM(path, kind string, content []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	return os.WriteFile(path, block, 0o600)
}
