// Package certifier issues short-lived certificates for tests and for the demo.
package certifier

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

	"github.com/pkg/errors"
)

const validity = 24 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of authority")
	}
	template := template(name, 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate of authority")
	}
	certificate, err := x509.ParseCertificate(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of authority")
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, nil
}

// Issue creates a certificate for the loopback address and writes NAME.pem, NAME-key.pem and authorities.pem into a
// folder. The last one holds the certificate of the authority.
func (a *Authority) Issue(folder, name, organizationalUnit string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	a.serial++
	template := template(name, a.serial)
	template.Subject.OrganizationalUnit = []string{organizationalUnit}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "create certificate")
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	files := []struct {
		name, block string
		content     []byte
	}{
		{name + ".pem", "CERTIFICATE", encoded},
		{name + "-key.pem", "EC PRIVATE KEY", encodedKey},
		{"authorities.pem", "CERTIFICATE", a.certificate.Raw},
	}
	for _, file := range files {
		text := pem.EncodeToMemory(&pem.Block{Type: file.block, Bytes: file.content})
		if err := os.WriteFile(filepath.Join(folder, file.name), text, 0o600); err != nil {
			return errors.Wrap(err, "write certificate")
		}
	}
	return nil
}

func template(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}
