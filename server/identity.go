package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/authenticator"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/router"
)

// reloadInterval is the time between two reloads of the certificate files.
const reloadInterval = time.Minute

// identities holds the certificates of the daemon. A nil one switches TLS off on its connections.
type identities struct {
	callers  *authenticator.Authenticator
	internal *authenticator.Authenticator
}

func newIdentities(settings loader.TLS) (identities, error) {
	var found identities
	var err error
	if settings.CallersCertificate != "" {
		files := authenticator.Files{Certificate: settings.CallersCertificate, Key: settings.CallersKey}
		if found.callers, err = authenticator.New(files); err != nil {
			return found, errors.Wrap(err, "load certificate for callers")
		}
	}
	if settings.InternalCertificate != "" {
		found.internal, err = authenticator.New(authenticator.Files{
			Certificate: settings.InternalCertificate, Key: settings.InternalKey, Authorities: settings.InternalAuthorities,
		})
	}
	return found, errors.Wrap(err, "load certificate for operators and entry instances")
}

// serverConfig returns the configuration of a listener; nil serves without TLS.
func serverConfig(identity *authenticator.Authenticator) *tls.Config {
	if identity == nil {
		return nil
	}
	return identity.ServerConfig()
}

// ReloadCertificates reads the certificate files again. New connections use them; after an error the earlier ones stay
// in use.
func (d *Daemon) ReloadCertificates() {
	for _, identity := range []*authenticator.Authenticator{d.identities.callers, d.identities.internal} {
		if identity == nil {
			continue
		}
		if err := identity.Reload(); err != nil {
			d.logger.Error("certificates cannot be read; the earlier ones stay in use", "Error", err.Error())
		}
	}
}

func (d *Daemon) reloadCertificates(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.ReloadCertificates()
		case <-ctx.Done():
			return nil
		}
	}
}

// dialInstance opens a connection to another entry instance, with TLS when the settings name a certificate for it.
func (d *Daemon) dialInstance(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil || d.identities.internal == nil {
		return conn, err
	}
	config := d.identities.internal.ClientConfig()
	if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "parse address of entry instance")
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "TLS handshake with entry instance %s", address)
	}
	return secured, nil
}

// exchangers sends requests to backend servers and relays them to entry instances, whose connections differ.
type exchangers struct {
	servers   router.Exchanger
	instances router.Exchanger
}

// Exchange implements router.Exchanger.
func (e exchangers) Exchange(ctx context.Context, options forwarder.ExchangeOptions) forwarder.Result {
	if options.RelayedBy != "" {
		return e.instances.Exchange(ctx, options)
	}
	return e.servers.Exchange(ctx, options)
}

// requireWriter lets only clients with a certificate of the configured organizational units apply tickets; all others
// may only read. Without TLS, clients cannot be identified and all of them may apply tickets.
func (d *Daemon) requireWriter(next http.Handler) http.Handler {
	if d.identities.internal == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isReadOnly(r) && !authenticator.HasUnit(r.TLS, d.settings.TLS.OperatorWriterGroups) {
			handler.WriteError(w, classifier.New(classifier.Forbidden,
				"the certificate belongs to none of the units that may apply tickets: %v", d.settings.TLS.OperatorWriterGroups))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isReadOnly reports whether a call of the operators' API changes nothing.
func isReadOnly(r *http.Request) bool {
	switch r.URL.Path {
	case "/v1/tickets/check", "/v1/tickets/diff":
		return true
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}
