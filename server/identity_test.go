package server

import (
	"bytes"
	"crypto/tls"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/authenticator"
	"egretring.example/egretring/certifier"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/messenger"
)

const anyPort = "127.0.0.1:0"

func issue(t *testing.T, authority *certifier.Authority, name, unit string) authenticator.Files {
	folder := t.TempDir()
	require.NoError(t, authority.Issue(folder, name, unit))
	return authenticator.Files{
		Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+"-key.pem"),
		Authorities: filepath.Join(folder, "authorities.pem"),
	}
}

func newAuthority(t *testing.T) *certifier.Authority {
	authority, err := certifier.NewAuthority("authority")
	require.NoError(t, err)
	return authority
}

func startSecured(t *testing.T, files authenticator.Files) *Daemon {
	daemon, err := New(loader.Settings{
		Instance: "a1", AvailabilityZone: "a", Zones: []string{"a"}, ListInterval: time.Second, MaxRequestBytes: 1 << 20,
		Listeners: loader.Listeners{Callers: anyPort, Operators: anyPort, Peers: anyPort, Relay: anyPort},
		TLS: loader.TLS{
			CallersCertificate: files.Certificate, CallersKey: files.Key, InternalCertificate: files.Certificate,
			InternalKey: files.Key, InternalAuthorities: files.Authorities, OperatorWriterGroups: []string{"operators"},
		},
	}, WithStore(fakekeeper.New()), WithList(fakelister.New(lister.Listing{})), WithSeed(20261204))
	require.NoError(t, err)
	daemon.Start()
	t.Cleanup(func() { require.NoError(t, daemon.Stop()) })
	return daemon
}

func clientOf(t *testing.T, files authenticator.Files) *http.Client {
	identity, err := authenticator.New(files)
	require.NoError(t, err)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: identity.ClientConfig(), DisableKeepAlives: true}}
}

// TestOperatorsAndPeersNeedCertificates guards against accepting a ticket from a client whose certificate is of another
// unit or of an unknown authority, and a peer message or a relayed request without a certificate.
func TestOperatorsAndPeersNeedCertificates(t *testing.T) {
	authority := newAuthority(t)
	daemon := startSecured(t, issue(t, authority, "a1", "instances"))
	operators := "https://" + daemon.Addresses().Operators
	apply := func(files authenticator.Files) (int, error) {
		body := bytes.NewBufferString(`{"ID": "t1", "Base": 7}`)
		response, err := clientOf(t, files).Post(operators+"/v1/tickets", "application/json", body)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	reader, writer := issue(t, authority, "reader", "auditors"), issue(t, authority, "writer", "operators")
	untrusted := issue(t, newAuthority(t), "stranger", "operators")
	untrusted.Authorities = writer.Authorities

	status, err := apply(reader)
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, status)
	status, err = apply(writer)
	require.NoError(t, err)
	require.NotEqual(t, http.StatusForbidden, status)
	_, err = apply(untrusted)
	require.Error(t, err, "certificate of another authority")
	response, err := clientOf(t, reader).Get(operators + "/v1/status")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode, "others read")
	response, err = http.Get("http://" + daemon.Addresses().Relay + "/tally/count")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode, "plain HTTP on a TLS listener")

	heartbeat := messenger.Heartbeat{Heartbeat: assigner.Heartbeat{Owner: assigner.Owner{Instance: "a2"}}}
	plain := messenger.NewClient()
	defer func() { require.NoError(t, plain.Close()) }()
	_, err = plain.Heartbeat(t.Context(), daemon.Addresses().Peers, heartbeat)
	require.Error(t, err, "peer without a certificate")
	_, err = daemon.messages.Heartbeat(t.Context(), daemon.Addresses().Peers, heartbeat)
	require.NoError(t, err, "peer with a certificate")
}

// TestCertificateReload guards against a replaced certificate that stays in use after a reload, and against a reload of
// an invalid file that interrupts the service.
func TestCertificateReload(t *testing.T) {
	files := issue(t, newAuthority(t), "a1", "instances")
	daemon := startSecured(t, files)
	served := func() string {
		conn, err := tls.Dial("tcp", daemon.Addresses().Callers, &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer func() { require.NoError(t, conn.Close()) }()
		return string(conn.ConnectionState().PeerCertificates[0].Raw)
	}
	first := served()
	require.NoError(t, newAuthority(t).Issue(filepath.Dir(files.Certificate), "a1", "instances"))
	require.Equal(t, first, served(), "not read yet")
	daemon.ReloadCertificates()
	second := served()
	require.NotEqual(t, first, second)
	require.NoError(t, os.WriteFile(files.Key, []byte("not a key"), 0o600))
	daemon.ReloadCertificates()
	require.Equal(t, second, served(), "the earlier certificate stays in use")
}
