package tester

import (
	"encoding/pem"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// Certificate holds the file paths of an instance's certificate.
type Certificate struct {
	CA          string // The authority's certificate.
	Certificate string
	Key         string // The private key.
}

// A CertificateAuthority issues the certificates of a deployment's instances
// and writes them to files.
type CertificateAuthority struct {
	Folder string
	Path   string // File of the authority's own certificate.

	authority *linker.Authority
}

// NewCertificateAuthority creates an authority that writes its files to folder.
func NewCertificateAuthority(folder string) (a *CertificateAuthority, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "create a certificate authority")
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

// Issue creates a certificate for an instance, valid for client and server use.
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
