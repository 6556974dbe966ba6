package tester

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// Certificate names the files of a certificate.
type Certificate struct {
	CA          string // Path of the authority's certificate.
	Certificate string // Path.
	Key         string // Path of the private key.
}

// A CertificateAuthority issues the certificates of a deployment's instances
// as files.
type CertificateAuthority struct {
	Folder string
	Path   string // The authority's own certificate.

	authority *linker.Authority
}

// NewCertificateAuthority makes an authority that keeps its files in folder.
func NewCertificateAuthority(folder string) (a *CertificateAuthority, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "make a certificate authority")
		}
	}()

	authority, err := linker.NewAuthority(time.Now())
	if err != nil {
		return nil, err
	}
	a = &CertificateAuthority{Folder: folder, Path: filepath.Join(folder, "ca.pem"), authority: authority}
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.Certificate.Raw})
	return a, os.WriteFile(a.Path, block, 0o600)
}

// Issue makes a certificate for an instance, for use as client and as server.
func (a *CertificateAuthority) Issue(instance string) (c Certificate, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "issue a certificate for %s", instance)
		}
	}()

	credentials, err := a.authority.Issue(instance)
	if err != nil {
		return Certificate{}, err
	}
	c = Certificate{
		CA:          a.Path,
		Certificate: filepath.Join(a.Folder, instance+".pem"),
		Key:         filepath.Join(a.Folder, instance+"-key.pem"),
	}
	if err := os.WriteFile(c.Certificate, credentials.Certificate, 0o600); err != nil {
		return Certificate{}, err
	}
	return c, os.WriteFile(c.Key, credentials.Key, 0o600)
}
