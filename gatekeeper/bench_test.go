package gatekeeper

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/meter"
)

// BenchmarkRequest shows what the gate costs for a request with a body of 1 KB on an open connection.
func BenchmarkRequest(b *testing.B) {
	for name, guarded := range map[string]bool{"Plain": false, "Guarded": true} {
		b.Run(name, func(b *testing.B) {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil || ReserveDecoded(r.Context(), body) != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})}
			limits := Limits{MemoryBytes: 43 << 20, Connections: 2000, BodySilence: DefaultBodySilence, BodyTime: DefaultBodyTime}
			if guarded {
				limits.ReceiveBuffer = ReceiveBufferFor(144<<20, 2000)
			}
			gate := New("Callers", limits, slog.New(slog.DiscardHandler), meter.New())
			accept, err := gate.Listen("127.0.0.1:0")
			require.NoError(b, err)
			address := accept.Addr().String()
			if guarded {
				accept = gate.Guard(server, accept)
			}
			go func() { _ = server.Serve(accept) }()
			defer server.Close()
			body := strings.Repeat("{\"a\":1},", 128)
			b.ReportAllocs()
			for b.Loop() {
				response, err := http.Post("http://"+address+"/", "application/json", strings.NewReader(body))
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, response.StatusCode)
				_ = response.Body.Close()
			}
		})
	}
}
