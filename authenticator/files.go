package authenticator

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Files names the PEM files of one identity.
type Files struct {
	Certificate string
	Key         string
	// Authorities is empty when listeners require no client certificate.
	Authorities string
}

// identity is the content of the files when they were last read.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func (f Files) read() (*identity, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "read certificate %s", f.Certificate)
	}
	if f.Authorities == "" {
		return &identity{certificate: certificate}, nil
	}
	text, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("file %s contains no PEM certificate", f.Authorities)
	}
	return &identity{certificate: certificate, authorities: pool}, nil
}
