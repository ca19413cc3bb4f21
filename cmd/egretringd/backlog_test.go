package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
)

// TestTerminationServesWaitingConnections guards against a graceful stop that resets waiting connections.
func TestTerminationServesWaitingConnections(t *testing.T) {
	cell, processes := newProcessCell(t, "entry-1")
	const waiting = 12
	processes[0].signal(t, syscall.SIGSTOP)
	connections := make([]net.Conn, waiting)
	for i := range connections {
		conn, err := net.Dial("tcp", processes[0].listeners.Callers)
		require.NoError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /tally/count HTTP/1.1\r\nHost: entry\r\n%s: waiting-%d\r\n%s: %s\r\n\r\n",
			forwarder.HeaderRequest, i, fakebackend.HeaderRunTime, shortRun)
		require.NoError(t, err)
		connections[i] = conn
	}
	processes[0].signal(t, syscall.SIGTERM)
	processes[0].signal(t, syscall.SIGCONT)
	for i, conn := range connections {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "connection %d", i)
		require.Equal(t, http.StatusOK, response.StatusCode, "connection %d", i)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, <-processes[0].exited)
	require.Zero(t, cell.OverCapacity())
}
