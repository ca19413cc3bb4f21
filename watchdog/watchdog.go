// Package watchdog ends calls that make no progress. Its timeout bounds the time between two pieces of progress instead of
// the whole call, so that a large transfer over a slow link can end, while a silent peer is still noticed. A caller sets the
// timeout with Watch, and the client that transfers the data reports its progress with Reader.
package watchdog

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrNoProgress is the cause with which the context of a call ends that makes no progress.
var ErrNoProgress = errors.New("no progress within the timeout")

// Watchdog cancels the context of a call when no progress is reported for its timeout.
type Watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	// outer is the watchdog of the context that this one's is derived from, if there is one. It gets the same progress.
	outer *Watchdog
}

// contextKey is the key of a context's Watchdog.
type contextKey struct{}

// Watch returns a context that ends with ErrNoProgress when the watchdog gets no first report of progress within the wait
// and the timeout, or no further one within the timeout. Stop must be called when the call has ended.
func Watch(ctx context.Context, wait, timeout time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watchdog{timeout: timeout, cancel: cancel, outer: of(ctx)}
	w.timer = time.AfterFunc(wait+timeout, func() { cancel(ErrNoProgress) })
	return context.WithValue(ctx, contextKey{}, w), w
}

// of returns the Watchdog of a context, or nil.
func of(ctx context.Context) *Watchdog {
	w, _ := ctx.Value(contextKey{}).(*Watchdog)
	return w
}

// Progress restarts the timeout. It does nothing without a Watchdog.
func (w *Watchdog) Progress() {
	for ; w != nil; w = w.outer {
		w.timer.Reset(w.timeout)
	}
}

// Stop ends the context and releases the watchdog's timer.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Reader returns a reader that reports progress to the context's Watchdog with each piece of data that it reads.
func Reader(ctx context.Context, source io.Reader) io.Reader {
	return &reader{source: source, watchdog: of(ctx)}
}
