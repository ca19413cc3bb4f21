package authenticator_test

import (
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/authenticator"
	"egretring.example/egretring/certifier"
)

func issue(t *testing.T, authority *certifier.Authority, folder, name, unit string) authenticator.Files {
	t.Helper()
	require.NoError(t, authority.Issue(folder, name, unit))
	return authenticator.Files{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+"-key.pem"),
		Authorities: filepath.Join(folder, "authorities.pem"),
	}
}

func newAuthority(t *testing.T, name string) *certifier.Authority {
	t.Helper()
	authority, err := certifier.NewAuthority(name)
	require.NoError(t, err)
	return authority
}

// handshakeResult holds the results of one handshake at both ends; state is that of the server.
type handshakeResult struct {
	serverErr error
	clientErr error
	state     tls.ConnectionState
}

func (r handshakeResult) accepted() bool {
	return r.serverErr == nil && r.clientErr == nil
}

func handshake(t *testing.T, server, client *authenticator.Authenticator) handshakeResult {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	clientErr := make(chan error, 1)
	go func() {
		conn, err := client.Dial(t.Context(), "tcp", listener.Addr().String())
		if err == nil {
			// With TLS 1.3 the client receives the refusal of its certificate only at its first read.
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		clientErr <- err
	}()
	conn, err := listener.Accept()
	require.NoError(t, err)
	serverConn := tls.Server(conn, server.ServerConfig())
	result := handshakeResult{serverErr: serverConn.Handshake()}
	if result.serverErr == nil {
		_, result.serverErr = serverConn.Write([]byte{0})
	}
	_ = serverConn.Close()
	result.clientErr = <-clientErr
	result.state = serverConn.ConnectionState()
	return result
}

// TestOnlyCertificatesOfTheAuthorityAreAccepted guards against a listener that accepts a client certificate of another
// authority, and against a certificate that gives write access without the organizational unit for it.
func TestOnlyCertificatesOfTheAuthorityAreAccepted(t *testing.T) {
	authority := newAuthority(t, "cell")
	server, err := authenticator.New(issue(t, authority, t.TempDir(), "server", "instances"))
	require.NoError(t, err)
	cases := []struct {
		name     string
		issuer   *certifier.Authority
		unit     string
		accepted bool
		writer   bool
	}{
		{"operator", authority, "operators", true, true},
		{"reader", authority, "auditors", true, false},
		{"stranger", newAuthority(t, "other"), "operators", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folder := t.TempDir()
			files := issue(t, c.issuer, folder, "client", c.unit)
			require.NoError(t, authority.Issue(folder, "unused", ""))
			client, err := authenticator.New(files)
			require.NoError(t, err)
			result := handshake(t, server, client)
			require.Equal(t, c.accepted, result.accepted())
			require.Equal(t, c.writer, c.accepted && authenticator.HasUnit(&result.state, []string{"operators"}))
		})
	}
}

// TestReloadReplacesTheAuthority guards against replaced certificates and authorities that take effect only after a
// restart.
func TestReloadReplacesTheAuthority(t *testing.T) {
	folder := t.TempDir()
	server, err := authenticator.New(issue(t, newAuthority(t, "old"), folder, "server", ""))
	require.NoError(t, err)
	next := newAuthority(t, "new")
	client, err := authenticator.New(issue(t, next, t.TempDir(), "client", ""))
	require.NoError(t, err)

	require.False(t, handshake(t, server, client).accepted())
	issue(t, next, folder, "server", "")
	require.NoError(t, server.Reload())
	require.True(t, handshake(t, server, client).accepted())
}
