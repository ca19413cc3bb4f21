package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// bufferBytes is the size of the copy buffer. A response of known length that fits is read completely before it is
// forwarded, so that the request can still be retried when the response is truncated.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// deliver forwards a response to the caller.
func (x *exchange) deliver(ctx context.Context, response *http.Response) {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	stop := limitWrites(ctx, x.options.Writer)
	defer stop()
	if response.ContentLength >= 0 && response.ContentLength <= bufferBytes {
		x.deliverBuffered(ctx, response, buffer[:])
		return
	}
	x.writeHeader(response)
	x.stream(ctx, response.Body, buffer[:])
}

func (x *exchange) deliverBuffered(ctx context.Context, response *http.Response, buffer []byte) {
	n, err := readAll(response.Body, buffer)
	if err != nil {
		x.recordIncomplete(ctx, err)
		return
	}
	x.complete = true
	x.writeHeader(response)
	if _, err := x.options.Writer.Write(buffer[:n]); err != nil && n > 0 {
		x.recordWriteError(err)
		return
	}
	x.result.Evidence = describer.Answered
}

// readAll reads to the end of a response body of known length that fits the buffer.
func readAll(body io.Reader, buffer []byte) (int, error) {
	total := 0
	for {
		n, err := body.Read(buffer[total:])
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		if n == 0 && total == len(buffer) {
			return total, io.ErrShortBuffer
		}
	}
}

// writeHeader forwards the status and the header of the response to the caller.
func (x *exchange) writeHeader(response *http.Response) {
	header := endToEnd(response.Header)
	if !x.isRelay() {
		removeOwnHeaders(header)
	}
	header.Del(HeaderLeaving)
	target := x.options.Writer.Header()
	for name, values := range header {
		target[name] = values
	}
	x.result.ResponseStarted = true
	x.options.Writer.WriteHeader(response.StatusCode)
}

// stream copies the response body to the caller and flushes each part as soon as it is read.
func (x *exchange) stream(ctx context.Context, body io.Reader, buffer []byte) {
	controller := http.NewResponseController(x.options.Writer)
	for {
		n, readErr := body.Read(buffer)
		if _, err := x.options.Writer.Write(buffer[:n]); n > 0 && err != nil {
			x.recordWriteError(err)
			return
		}
		if readErr == io.EOF {
			x.complete = true
			x.result.Evidence = describer.Answered
			return
		}
		if readErr != nil {
			x.recordIncomplete(ctx, readErr)
			return
		}
		if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			x.recordWriteError(err)
			return
		}
	}
}

// recordWriteError records that the response could not be written to the caller, or not before the deadline.
func (x *exchange) recordWriteError(err error) {
	x.result.Evidence = describer.Aborted
	x.result.Err = errors.Wrap(err, "write response to caller")
	x.result.CallerAborted = abortCaller(x.options.Writer)
}

// limitWrites makes writes to the caller fail when the context ends. The returned function removes that limit.
func limitWrites(ctx context.Context, writer http.ResponseWriter) func() {
	controller := http.NewResponseController(writer)
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(limited)
		_ = controller.SetWriteDeadline(pastDeadline)
	})
	return func() {
		if stop() {
			return
		}
		<-limited
		_ = controller.SetWriteDeadline(time.Time{})
	}
}

// abortCaller aborts the connection to the caller so that an incomplete response cannot look complete, and reports
// whether it could. The connection is reset and not just closed, because an HTTP/1.0 caller takes a closed connection
// for the end of a response.
func abortCaller(writer http.ResponseWriter) bool {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return false
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	return true
}
