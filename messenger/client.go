package messenger

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Client is a pool of connections to peers, one for each address.
type Client struct {
	settings settings

	mu    sync.Mutex
	links map[string]*link
	// order lists the addresses in order of use, the least recently used first.
	order []string
}

// NewClient returns a client without connections.
func NewClient(options ...Option) *Client {
	return &Client{settings: newSettings(options), links: make(map[string]*link)}
}

// Heartbeat sends a heartbeat to a peer.
func (c *Client) Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (HeartbeatReply, error) {
	var reply HeartbeatReply
	err := c.call(ctx, address, MethodHeartbeat, heartbeat, &reply)
	return reply, err
}

// Release notifies a peer that this instance gives up its positions.
func (c *Client) Release(ctx context.Context, address string, release Release) (ReleaseReply, error) {
	var reply ReleaseReply
	err := c.call(ctx, address, MethodRelease, release, &reply)
	return reply, err
}

// Tickets requests tickets from a peer.
func (c *Client) Tickets(ctx context.Context, address string, request TicketsRequest) (TicketsReply, error) {
	var reply TicketsReply
	err := c.call(ctx, address, MethodTickets, request, &reply)
	return reply, err
}

// Report requests the report of a peer on what it observes itself.
func (c *Client) Report(ctx context.Context, address string, request ReportRequest) (ReportReply, error) {
	var reply ReportReply
	err := c.call(ctx, address, MethodReport, request, &reply)
	return reply, err
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		link.close()
	}
	clear(c.links)
	c.order = nil
	return nil
}

func (c *Client) call(ctx context.Context, address, method string, arguments, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTimeout)
	defer cancel()
	link := c.link(address)
	conn, err := link.connect(ctx)
	if err != nil {
		return errors.Wrapf(err, "call %s of peer %s", method, address)
	}
	err = conn.Call(ctx, method, arguments, result)
	if err == nil {
		link.recordSuccess()
		return nil
	}
	var rejected *jsonrpc2.Error
	if errors.As(err, &rejected) {
		link.recordSuccess()
		return errors.Wrapf(ErrRejected, "call %s of peer %s: %s", method, address, rejected.Message)
	}
	if IsErrTooLarge(err) {
		return errors.Wrapf(err, "call %s of peer %s", method, address)
	}
	// The connection of a call without a response is closed, because jsonrpc2 keeps the state of such a call until its
	// connection is closed.
	link.drop(conn)
	return errors.Wrapf(ErrNoResponse, "call %s of peer %s: %v", method, address, err)
}

// link returns the connection to an address and adds it to the pool if needed. The pool is bounded: when it is full,
// the least recently used connection is closed and removed.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, listed := range c.order {
		if listed == address {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	c.order = append(c.order, address)
	existing := c.links[address]
	if existing != nil {
		return existing
	}
	if len(c.order) > c.settings.connections {
		leastRecent := c.order[0]
		c.order = c.order[1:]
		go c.links[leastRecent].close()
		delete(c.links, leastRecent)
	}
	created := &link{address: address, settings: c.settings}
	c.links[address] = created
	return created
}
