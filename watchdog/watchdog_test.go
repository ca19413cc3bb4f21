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
		text, err := io.ReadAll(w.Reader(source))
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
