// Package authenticator provides the TLS configuration of listeners and connections from files that it reloads when
// they change, and the role of a certificate.
package authenticator
