package logger_test

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/logger"
)

// slowOutput blocks until it is released.
type slowOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *slowOutput) Write(text []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(text)
}

// TestSlowOutputDropsLinesWithoutBlocking guards against a slow output that blocks the code that logs, and against
// dropped lines that are not reported.
func TestSlowOutputDropsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowOutput{release: make(chan struct{})}
		log, writer := logger.New(out, slog.LevelInfo)
		startedAt := time.Now()
		for range 20_000 {
			log.Info("line")
		}
		require.Zero(t, time.Since(startedAt))
		require.Positive(t, writer.Dropped())
		close(out.release)
		time.Sleep(3 * time.Second)
		require.NoError(t, writer.Close())
		require.Contains(t, out.text.String(), "log lines were dropped")
		require.Zero(t, writer.Dropped())
	})
}
