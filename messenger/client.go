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
	// order lists the addresses, the least recently used first.
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

// Release tells a peer that this instance gives up its positions.
func (c *Client) Release(ctx context.Context, address string, release Release) (ReleaseReply, error) {
	var reply ReleaseReply
	err := c.call(ctx, address, MethodRelease, release, &reply)
	return reply, err
}

// Tickets asks a peer for tickets.
func (c *Client) Tickets(ctx context.Context, address string, request TicketsRequest) (TicketsReply, error) {
	var reply TicketsReply
	err := c.call(ctx, address, MethodTickets, request, &reply)
	return reply, err
}

// Report asks a peer what it knows at first hand.
func (c *Client) Report(ctx context.Context, address string, request ReportRequest) (ReportReply, error) {
	var reply ReportReply
	err := c.call(ctx, address, MethodReport, request, &reply)
	return reply, err
}

// Close ends all connections.
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

func (c *Client) call(ctx context.Context, address, method string, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTimeout)
	defer cancel()
	link := c.link(address)
	conn, err := link.connect(ctx)
	if err != nil {
		return errors.Wrapf(err, "call %s of peer %s", method, address)
	}
	err = conn.Call(ctx, method, question, answer)
	if err == nil {
		link.succeed()
		return nil
	}
	var rejected *jsonrpc2.Error
	if errors.As(err, &rejected) {
		link.succeed()
		return errors.Wrapf(ErrRejected, "call %s of peer %s: %s", method, address, rejected.Message)
	}
	if IsErrTooLarge(err) {
		return errors.Wrapf(err, "call %s of peer %s", method, address)
	}
	// A call that got no answer ends its connection, because jsonrpc2 keeps such calls until the connection ends.
	link.drop(conn)
	return errors.Wrapf(ErrSilent, "call %s of peer %s: %v", method, address, err)
}

// link returns the connection to an address. The pool is bounded: the least recently used connection ends for it.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, known := range c.order {
		if known == address {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	c.order = append(c.order, address)
	found := c.links[address]
	if found != nil {
		return found
	}
	if len(c.order) > c.settings.connections {
		oldest := c.order[0]
		c.order = c.order[1:]
		go c.links[oldest].close()
		delete(c.links, oldest)
	}
	created := &link{address: address, settings: c.settings}
	c.links[address] = created
	return created
}
