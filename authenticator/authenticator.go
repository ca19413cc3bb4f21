package authenticator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"slices"
	"sync/atomic"
)

// Authenticator holds one identity, which consists of a certificate, its key and the accepted authorities, and reloads
// it on request. It is safe for concurrent use.
type Authenticator struct {
	files   Files
	current atomic.Pointer[identity]
}

// New returns an Authenticator with the identity read from files.
func New(files Files) (*Authenticator, error) {
	a := &Authenticator{files: files}
	return a, a.Reload()
}

// Reload reads the files again. After an error the previous identity stays in use.
func (a *Authenticator) Reload() error {
	loaded, err := a.files.read()
	if err != nil {
		return err
	}
	a.current.Store(loaded)
	return nil
}

// ServerConfig returns the TLS configuration of a listener. Each new connection uses the files as last read.
func (a *Authenticator) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return a.currentServerConfig(), nil
		},
	}
}

func (a *Authenticator) currentServerConfig() *tls.Config {
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

// ClientConfig returns the TLS configuration of an outgoing connection with the files as last read.
func (a *Authenticator) ClientConfig() *tls.Config {
	current := a.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authorities,
	}
}

// Dial opens a TLS connection with the files as last read.
func (a *Authenticator) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{Config: a.ClientConfig()}
	return dialer.DialContext(ctx, network, address)
}

// HasUnit reports whether the verified certificate of the peer belongs to one of the organizational units. It returns
// false for a connection without TLS or without a peer certificate.
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
