package messenger

import (
	"context"
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// concurrentRequests bounds the requests of one connection that are handled at the same time.
const concurrentRequests = 64

// Method handles the calls of one method. Its parameters are JSON.
type Method func(ctx context.Context, parameters json.RawMessage) (any, error)

// Methods maps names to the methods of a listener.
type Methods map[string]Method

// NewMethod returns a Method with typed parameters.
func NewMethod[Q, A any](handle func(ctx context.Context, arguments Q) (A, error)) Method {
	return func(ctx context.Context, parameters json.RawMessage) (any, error) {
		var arguments Q
		if err := json.Unmarshal(parameters, &arguments); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handle(ctx, arguments)
	}
}

// ServeMethods serves methods on an open listener. The requests of a connection are handled concurrently; those beyond
// concurrentRequests are rejected.
func ServeMethods(listener net.Listener, methods Methods, options ...Option) *Listener {
	l := Serve(listener, nil, append(options, withMethods(methods))...)
	return l
}

// Call calls a method of a peer.
func Call[Q, A any](ctx context.Context, c *Client, address, method string, arguments Q) (A, error) {
	var reply A
	err := c.call(ctx, address, method, arguments, &reply)
	return reply, err
}

// concurrent handles each request in its own goroutine.
type concurrent struct {
	methods Methods
	slots   chan struct{}
}

func newConcurrent(methods Methods) *concurrent {
	return &concurrent{methods: methods, slots: make(chan struct{}, concurrentRequests)}
}

// Handle implements jsonrpc2.Handler.
func (h *concurrent) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	method := h.methods[request.Method]
	if method == nil || request.Params == nil {
		respond(ctx, conn, request, nil, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "method " + request.Method + " is unknown or has no parameters",
		})
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		respond(ctx, conn, request, nil, errors.Errorf("more than %d calls at a time", concurrentRequests))
		return
	}
	go func() {
		defer func() { <-h.slots }()
		result, err := method(ctx, *request.Params)
		respond(ctx, conn, request, result, err)
	}()
}
