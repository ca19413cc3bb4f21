package messenger

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// timedConn is a connection with a timeout for each read and write. jsonrpc2 writes without a context, so without the
// timeout a peer that does not read would block all callers of the connection.
type timedConn struct {
	net.Conn
	idle  time.Duration
	write time.Duration
}

// Read implements net.Conn.
func (c timedConn) Read(data []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(data)
}

// Write implements net.Conn.
func (c timedConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (s settings) stream(conn net.Conn) jsonrpc2.ObjectStream {
	timed := timedConn{Conn: conn, idle: s.idleTimeout, write: s.callTimeout}
	return jsonrpc2.NewBufferedStream(timed, codec{limit: s.messageBytes})
}

func sprintf(format string, values ...any) string {
	return strings.TrimSpace(fmt.Sprintf(format, values...))
}
