package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"sync/atomic"
)

// Authenticator holds one identity and reloads it on request. It is safe for concurrent use.
type Authenticator struct {
	files   Files
	current atomic.Pointer[identity]
}

// New reads the files of an identity.
func New(files Files) (*Authenticator, error) {
	a := &Authenticator{files: files}
	return a, a.Reload()
}

// Reload reads the files again. After an error the earlier identity stays in use.
func (a *Authenticator) Reload() error {
	read, err := a.files.read()
	if err != nil {
		return err
	}
	a.current.Store(read)
	return nil
}

// ServerConfig returns the configuration of a listener. New connections use the files as last read.
func (a *Authenticator) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return a.serverConfigNow(), nil
		},
	}
}

func (a *Authenticator) serverConfigNow() *tls.Config {
	current := a.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
	}
	if current.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = current.authorities
	}
	return config
}

// ClientConfig returns the configuration of a connection with the files as last read.
func (a *Authenticator) ClientConfig() *tls.Config {
	current := a.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
	}
}

// Dial opens a connection with the files as last read.
func (a *Authenticator) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: a.ClientConfig()}
	return dialer.DialContext(ctx, network, address)
}

// HasUnit reports whether a verified certificate belongs to one of the organizational units.
func HasUnit(state *tls.ConnectionState, units []string) bool {
	if state == nil || len(state.PeerCertificates) == 0 {
		return false
	}
	return certificateHasUnit(state.PeerCertificates[0], units)
}

func certificateHasUnit(certificate *x509.Certificate, units []string) bool {
	return slices.ContainsFunc(certificate.Subject.OrganizationalUnit, func(unit string) bool {
		return slices.Contains(units, unit)
	})
}
