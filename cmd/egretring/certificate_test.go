package main

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/authenticator"
	"egretring.example/egretring/certifier"
)

// TestCertificateFlags guards against a client that does not present its certificate, and against one that continues
// without TLS when a file is not named or cannot be read.
func TestCertificateFlags(t *testing.T) {
	folder := t.TempDir()
	authority, err := certifier.NewAuthority("authority")
	require.NoError(t, err)
	require.NoError(t, authority.Issue(folder, "instance", "instances"))
	require.NoError(t, authority.Issue(folder, "writer", "operators"))
	file := func(name string) string { return filepath.Join(folder, name) }
	identity, err := authenticator.New(authenticator.Files{
		Certificate: file("instance.pem"), Key: file("instance-key.pem"), Authorities: file("authorities.pem"),
	})
	require.NoError(t, err)
	instance := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.True(t, authenticator.HasUnit(r.TLS, []string{"operators"}))
		_, _ = w.Write([]byte("[]"))
	}))
	instance.Listener = tls.NewListener(instance.Listener, identity.ServerConfig())
	instance.Start()
	defer instance.Close()
	base := strings.Replace(instance.URL, "http:", "https:", 1)

	tests := []struct {
		name  string
		flags []string
		want  int
	}{
		{name: "all", flags: []string{"writer.pem", "writer-key.pem", "authorities.pem"}},
		{name: "key missing", flags: []string{"writer.pem", "", "authorities.pem"}, want: 2},
		{name: "not readable", flags: []string{"writer.pem", "none.pem", "authorities.pem"}, want: 2},
		{name: "none", flags: []string{"", "", ""}, want: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			args := []string{"zones", "-json", "-instances", base}
			for i, flag := range []string{"-certificate", "-key", "-authorities"} {
				if test.flags[i] != "" {
					args = append(args, flag, file(test.flags[i]))
				}
			}
			var out, stderr strings.Builder
			code := run(t.Context(), &console{stdout: &out, stderr: &stderr, http: &http.Client{}}, args)
			require.Equal(t, test.want, code, stderr.String())
		})
	}
}
