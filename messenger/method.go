package messenger

import (
	"context"
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// concurrentRequests bounds the requests of one connection that are answered at the same time.
const concurrentRequests = 64

// Method answers the calls of one method. Its parameters are JSON.
type Method func(ctx context.Context, parameters json.RawMessage) (any, error)

// Methods are the methods of a listener by name.
type Methods map[string]Method

// NewMethod returns a Method with typed parameters.
func NewMethod[Q, A any](handle func(ctx context.Context, question Q) (A, error)) Method {
	return func(ctx context.Context, parameters json.RawMessage) (any, error) {
		var question Q
		if err := json.Unmarshal(parameters, &question); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handle(ctx, question)
	}
}

// ServeMethods serves methods on an open listener. The requests of a connection are answered concurrently.
func ServeMethods(accept net.Listener, methods Methods, options ...Option) *Listener {
	l := Serve(accept, nil, append(options, withMethods(methods))...)
	return l
}

// Call calls a method of a peer.
func Call[Q, A any](ctx context.Context, c *Client, address, method string, question Q) (A, error) {
	var reply A
	err := c.call(ctx, address, method, question, &reply)
	return reply, err
}

// concurrent answers each request in a goroutine of its own.
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
		reply(ctx, conn, request, nil, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "method " + request.Method + " is unknown or has no parameters",
		})
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		reply(ctx, conn, request, nil, errors.Errorf("more than %d calls at a time", concurrentRequests))
		return
	}
	go func() {
		defer func() { <-h.slots }()
		result, err := method(ctx, *request.Params)
		reply(ctx, conn, request, result, err)
	}()
}
