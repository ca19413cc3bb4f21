package connector

import (
	"context"
	"net"
	"sync"
)

// Tally describes the connections of a Pool. Its counters are those since its beginning.
type Tally struct {
	// Servers is the number of servers with open connections. Open is the number of connections, InCall that of calls
	// under way, and Idle that of connections without a call.
	Servers, Open, InCall, Idle int
	// Left is the largest number of connections that may be open at a server although nobody uses them any more.
	Left int
	// Opened counts the connections that were opened.
	Opened int
	// Refused counts the new connections that servers have reset, and Refusing is the number of servers that did so last.
	Refused, Refusing int
	// Abandoned counts the kept connections that were closed because a call had no response. The server may still have them open.
	Abandoned int
}

// Tally returns the present figures.
func (p *Pool) Tally() Tally {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeTally()
}

func (p *Pool) takeTally() Tally {
	tally := p.tally
	for _, s := range p.servers {
		if s.open > 0 {
			tally.Servers++
		}
		tally.Open += s.open
		tally.InCall += s.Calls()
		tally.Idle += max(0, s.open-s.Calls())
		tally.Left = max(tally.Left, s.Left())
		if s.refusing {
			tally.Refusing++
		}
	}
	return tally
}

func (t Tally) fields() []any {
	return []any{
		"Servers", t.Servers, "Open", t.Open, "InCall", t.InCall, "Idle", t.Idle, "Left", t.Left, "Opened", t.Opened,
		"Refused", t.Refused, "Refusing", t.Refusing, "Abandoned", t.Abandoned,
	}
}

// open opens a connection and counts it until it is closed.
func (p *Pool) open(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	s := p.stateOf(address)
	s.open++
	p.tally.Opened++
	p.mu.Unlock()
	p.meter.Count("ServerConnections.Opened", 1)
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		p.closed(s)
		return nil, err
	}
	return &countedConn{Conn: conn, closed: func() { p.closed(s) }}, nil
}

func (p *Pool) closed(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.open--
}

// countedConn reports once that it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// answered notes a response of a server.
func (p *Pool) answered(r *reservation) {
	p.mu.Lock()
	refusing := r.server.refusing
	r.server.refusing = false
	p.mu.Unlock()
	if refusing {
		p.logger.Info("backend server accepts connections again", "Server", string(r.id))
	}
}

// refused notes that a server has reset a new connection, and logs the first of several in succession with what this owner has open at
// the server and what others may have left open.
func (p *Pool) refused(r *reservation) {
	p.mu.Lock()
	refusing := r.server.refusing
	r.server.refusing = true
	p.tally.Refused++
	open, calls, left := r.server.open, r.server.Calls(), r.server.Left()
	p.mu.Unlock()
	p.meter.Count("ServerConnections.Refused", 1)
	if !refusing {
		p.logger.Warn("backend server resets new connections", "Server", string(r.id), "Open", open, "InCall", calls, "Left", left)
	}
}

// abandoned notes that a call on an open connection had no response, so that the server may keep the connection.
func (p *Pool) abandoned(r *reservation) {
	p.mu.Lock()
	r.server.NoteAbandoned()
	p.tally.Abandoned++
	p.mu.Unlock()
	p.meter.Count("ServerConnections.Abandoned", 1)
}
