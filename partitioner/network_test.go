package partitioner_test

import (
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/partitioner"
)

// TestIsolateClosesAndBlocksConnections guards against a partition that leaves a connection usable, and against one
// that refuses connections instead of letting them time out, as if the process at the address had ended.
func TestIsolateClosesAndBlocksConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	network := partitioner.New()
	network.Register(listener.Addr().String(), "zone-a")
	dial := network.Dialer("zone-b")

	conn, err := dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	network.Isolate("zone-a", true)
	_, err = conn.Write([]byte{0})
	require.ErrorIs(t, err, net.ErrClosed)

	_, err = dial(t.Context(), "tcp", listener.Addr().String())
	var timeout net.Error
	require.True(t, errors.As(err, &timeout) && timeout.Timeout())

	network.Isolate("zone-a", false)
	conn, err = dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
