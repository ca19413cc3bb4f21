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

// bufferBytes is the size of the copy buffer. An answer of known length that fits is read completely before it is
// passed on, so that the request can still be repeated when the answer is truncated.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// deliver passes an answer on to the caller.
func (x *exchange) deliver(ctx context.Context, response *http.Response) {
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	stop := limitWrites(ctx, x.options.Writer)
	defer stop()
	if response.ContentLength >= 0 && response.ContentLength <= bufferBytes {
		x.deliverAtOnce(ctx, response, buffer[:])
		return
	}
	x.begin(response)
	x.stream(ctx, response.Body, buffer[:])
}

func (x *exchange) deliverAtOnce(ctx context.Context, response *http.Response, buffer []byte) {
	n, err := readAll(response.Body, buffer)
	if err != nil {
		x.incomplete(ctx, err)
		return
	}
	x.complete = true
	x.begin(response)
	if _, err := x.options.Writer.Write(buffer[:n]); err != nil && n > 0 {
		x.notDelivered(err)
		return
	}
	x.result.Evidence = describer.Answered
}

// readAll reads to the end of an answer of known length that fits the buffer.
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

// begin writes the header of the answer to the caller.
func (x *exchange) begin(response *http.Response) {
	header := endToEnd(response.Header)
	if !x.isRelay() {
		withoutOwn(header)
	}
	header.Del(HeaderLeaving)
	target := x.options.Writer.Header()
	for name, values := range header {
		target[name] = values
	}
	x.result.AnswerBegun = true
	x.options.Writer.WriteHeader(response.StatusCode)
}

// stream copies the answer and passes each part on at once.
func (x *exchange) stream(ctx context.Context, body io.Reader, buffer []byte) {
	controller := http.NewResponseController(x.options.Writer)
	for {
		n, readErr := body.Read(buffer)
		if _, err := x.options.Writer.Write(buffer[:n]); n > 0 && err != nil {
			x.notDelivered(err)
			return
		}
		if readErr == io.EOF {
			x.complete = true
			x.result.Evidence = describer.Answered
			return
		}
		if readErr != nil {
			x.incomplete(ctx, readErr)
			return
		}
		if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			x.notDelivered(err)
			return
		}
	}
}

// notDelivered records that the caller did not take its answer, or not before the deadline.
func (x *exchange) notDelivered(err error) {
	x.result.Evidence = describer.Aborted
	x.result.Err = errors.Wrap(err, "write answer to caller")
	x.result.CallerAborted = abortCaller(x.options.Writer)
}

// limitWrites ends writes to the caller when the context ends. The returned function removes the limit.
func limitWrites(ctx context.Context, writer http.ResponseWriter) func() {
	controller := http.NewResponseController(writer)
	limited := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(limited)
		_ = controller.SetWriteDeadline(past)
	})
	return func() {
		if stop() {
			return
		}
		<-limited
		_ = controller.SetWriteDeadline(time.Time{})
	}
}

// abortCaller breaks the connection to the caller so that an incomplete answer cannot look complete. The connection is
// reset and not just closed, because an HTTP/1.0 caller takes a closed connection for the end of an answer.
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
