package messenger

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"egretring.example/egretring/buffer"
)

// requests handles the requests of one connection. Heartbeats and releases are handled immediately, in order of
// arrival; requests for tickets and reports wait in a bounded queue, so that they do not delay heartbeats.
type requests struct {
	handler Handler
	queue   *buffer.Queue[*jsonrpc2.Request]
}

func newRequests(handler Handler) *requests {
	return &requests{handler: handler, queue: buffer.NewQueue[*jsonrpc2.Request](queuedRequests)}
}

// Handle implements jsonrpc2.Handler.
func (r *requests) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != MethodTickets && request.Method != MethodReport {
		r.dispatch(ctx, conn, request)
		return
	}
	if err := r.queue.Offer(request); err != nil {
		respond(ctx, conn, request, nil, err)
	}
}

// run handles queued requests until the connection is closed.
func (r *requests) run(ctx context.Context, conn *jsonrpc2.Conn) {
	for {
		select {
		case request := <-r.queue.Items():
			r.dispatch(ctx, conn, request)
		case <-conn.DisconnectNotify():
			return
		}
	}
}

func (r *requests) dispatch(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case MethodHeartbeat:
		invoke(ctx, conn, request, r.handler.Heartbeat)
	case MethodRelease:
		invoke(ctx, conn, request, r.handler.Release)
	case MethodTickets:
		invoke(ctx, conn, request, r.handler.Tickets)
	case MethodReport:
		invoke(ctx, conn, request, r.handler.Report)
	default:
		unknown := &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + request.Method + " is unknown"}
		respond(ctx, conn, request, nil, unknown)
	}
}

func invoke[Q, A any](
	ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, handle func(context.Context, Q) (A, error),
) {
	var arguments Q
	if request.Params == nil {
		respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"})
		return
	}
	if err := json.Unmarshal(*request.Params, &arguments); err != nil {
		respond(ctx, conn, request, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	result, err := handle(ctx, arguments)
	respond(ctx, conn, request, result, err)
}

// respond sends a response. When a result cannot be sent, it sends an error instead. A connection on which a response
// could not be written completely is closed.
func respond(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any, err error) {
	if request.Notif {
		return
	}
	if err == nil {
		err = conn.Reply(ctx, request.ID, result)
		if err == nil {
			return
		}
	}
	failure, ok := err.(*jsonrpc2.Error)
	if !ok {
		failure = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	if conn.ReplyWithError(ctx, request.ID, failure) != nil {
		_ = conn.Close()
	}
}
