// Package authenticator provides the TLS configuration of listeners and connections from certificate files that can be
// reloaded without a restart. It also checks the organizational unit of a peer's certificate.
package authenticator
