package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// exchange is the state of one exchange in progress.
type exchange struct {
	forwarder *Forwarder
	options   ExchangeOptions
	// use is nil until a connection has been obtained.
	use *connUse
	// complete is true when the server's response has arrived completely.
	complete bool
	result   Result
}

// Exchange sends a request to a server and streams the response to the caller. It writes nothing to the caller before
// the header of a response that is forwarded has arrived.
func (f *Forwarder) Exchange(ctx context.Context, options ExchangeOptions) Result {
	ctx, cancel := deadlineContext(ctx, options)
	defer cancel()
	x := &exchange{forwarder: f, options: options, result: Result{Evidence: describer.Broken}}
	x.run(ctx)
	return x.result
}

func deadlineContext(ctx context.Context, options ExchangeOptions) (context.Context, context.CancelFunc) {
	if options.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, options.Deadline)
}

func (x *exchange) run(ctx context.Context) {
	pool := x.forwarder.pool(x.options.Server.Address)
	pool.budget.beginExchange()
	defer pool.exchangeEnded()
	response, err := x.send(ctx, pool)
	if err == nil {
		x.receive(ctx, response)
		_ = response.Body.Close()
	}
	x.finish(ctx, err)
}

func (x *exchange) send(ctx context.Context, pool *pool) (*http.Response, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	request, err := x.forwarder.newRequest(traced, x.options)
	if err != nil {
		return nil, err
	}
	return pool.transport.RoundTrip(request)
}

// gotConn is called by RoundTrip, on the goroutine that called it, before the request is written.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*trackedConn); ok {
		x.use = conn.use()
	}
}

// finish determines the evidence of an exchange without a response, and releases the connection.
func (x *exchange) finish(ctx context.Context, err error) {
	if x.complete {
		x.use.done()
		x.notifyEnded()
		return
	}
	sent := x.use != nil && x.use.abort()
	if err != nil {
		x.result.Err = errors.Wrapf(err, "exchange with %s", x.options.Server.Address)
		x.result.Evidence = evidenceOf(ctx, sent)
	}
	x.notifyEnded()
	if x.use != nil {
		mayRun := sent && x.result.Evidence != describer.Refused
		x.result.MayStillRun = !x.use.release(mayRun, x.forwarder.abortWait)
	}
}

func (x *exchange) notifyEnded() {
	if x.options.OnEnded != nil {
		x.options.OnEnded(x.result)
	}
}

// evidenceOf returns the evidence of an exchange that ended without a response. NotSent is returned even when the
// caller or the deadline ended the exchange, since it proves that the request was not run.
func evidenceOf(ctx context.Context, sent bool) describer.Evidence {
	if !sent {
		return describer.NotSent
	}
	if ctx.Err() != nil {
		return describer.Aborted
	}
	return describer.Broken
}

// recordIncomplete records that a response did not arrive completely, or that its end cannot be recognised.
func (x *exchange) recordIncomplete(ctx context.Context, err error) {
	x.result.Evidence = describer.Truncated
	if ctx.Err() != nil {
		x.result.Evidence = describer.Aborted
	}
	x.result.Err = errors.Wrapf(err, "response of %s", x.options.Server.Address)
	if x.result.ResponseStarted {
		x.result.CallerAborted = abortCaller(x.options.Writer)
	}
}

// discard reads the remainder of a response that is not forwarded.
func (x *exchange) discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	x.complete = err == nil
	return err
}
