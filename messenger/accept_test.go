package messenger_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/messenger"
)

// exhaustedListener fails while the process has no descriptor left.
type exhaustedListener struct {
	pipeListener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.pipeListener.Accept()
}

// TestListenerOutlivesFailedAccepts guards against a process that no longer responds to any peer after it was out of
// descriptors for a moment.
func TestListenerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accept := &exhaustedListener{pipeListener: make(pipeListener, 1)}
		accept.failures.Store(20)
		listener := messenger.Serve(accept, echoHandler{})
		time.Sleep(2 * time.Second)
		near, far := net.Pipe()
		accept.pipeListener <- far
		time.Sleep(time.Second)
		require.Empty(t, accept.pipeListener, "the connection is not accepted")
		require.NoError(t, near.Close())
		require.NoError(t, listener.Close())
		time.Sleep(time.Minute)
	})
}
