package watchdog_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/watchdog"
)

const timeout = time.Second

// TestTransferWithProgressOutlivesTimeout guards against transfers that end after the timeout although data arrives.
func TestTransferWithProgressOutlivesTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := watchdog.Watch(t.Context(), 0, timeout)
		defer w.Stop()
		source, sink := io.Pipe()
		go func() {
			for range 10 {
				time.Sleep(timeout * 9 / 10)
				_, _ = sink.Write([]byte("x"))
			}
			_ = sink.Close()
		}()
		text, err := io.ReadAll(watchdog.Reader(ctx, source))
		require.NoError(t, err)
		require.Len(t, text, 10)
		require.NoError(t, ctx.Err())
	})
}

// TestSilentCallEndsWithTimeout guards against calls that wait forever for a silent peer, from their start or in the middle of
// a transfer.
func TestSilentCallEndsWithTimeout(t *testing.T) {
	for _, progress := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := watchdog.Watch(t.Context(), 0, timeout)
			defer w.Stop()
			for range progress {
				time.Sleep(timeout / 2)
				w.Progress()
			}
			silentSince := time.Now()
			<-ctx.Done()
			require.Equal(t, timeout, time.Since(silentSince))
			require.ErrorIs(t, context.Cause(ctx), watchdog.ErrNoProgress)
		})
	}
}

// TestWaitCountsOnlyForFirstProgress guards against a peer that goes silent in the middle of its response and is noticed only
// after the time for which it may wait before it responds.
func TestWaitCountsOnlyForFirstProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 10 * time.Second
		ctx, w := watchdog.Watch(t.Context(), wait, timeout)
		defer w.Stop()
		time.Sleep(wait + timeout/2)
		require.NoError(t, ctx.Err())
		w.Progress()
		time.Sleep(timeout)
		synctest.Wait()
		require.Error(t, ctx.Err())
	})
}

// fillingReader fills the whole buffer of its caller, at 32 bytes a millisecond.
type fillingReader struct{ left int }

func (r *fillingReader) Read(data []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(data), r.left)
	time.Sleep(time.Duration(n) * time.Millisecond / 32)
	r.left -= n
	return n, nil
}

// TestReadIntoLargeBufferReportsProgress guards against transfers that end although data arrives, because the buffer into
// which it is read takes longer to fill than the timeout.
func TestReadIntoLargeBufferReportsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w := watchdog.Watch(t.Context(), 0, timeout)
		defer w.Stop()
		const bytes = 1 << 20
		n, err := io.ReadFull(watchdog.Reader(ctx, &fillingReader{left: bytes}), make([]byte, bytes))
		require.NoError(t, err)
		require.Equal(t, bytes, n)
		require.NoError(t, ctx.Err())
	})
}

// TestProgressReachesOuterWatchdog guards against a caller whose timeout ends a transfer although the client that it calls
// receives data.
func TestProgressReachesOuterWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, w := watchdog.Watch(t.Context(), 0, timeout)
		defer w.Stop()
		inner, w := watchdog.Watch(outer, 0, timeout)
		defer w.Stop()
		for range 10 {
			time.Sleep(timeout * 9 / 10)
			w.Progress()
		}
		require.NoError(t, inner.Err())
		require.NoError(t, outer.Err())
	})
}
