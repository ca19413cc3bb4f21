package logger_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
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

// fullPipe takes a part of each second write and reports that it would block, like a full pipe in non-blocking mode.
type fullPipe struct {
	mu     sync.Mutex
	text   bytes.Buffer
	writes int
	// closed is set while the pipe takes nothing.
	closed bool
}

func (p *fullPipe) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if p.closed {
		return 0, syscall.EAGAIN
	}
	if p.writes%2 == 0 {
		return p.text.Write(text)
	}
	n, _ := p.text.Write(text[:len(text)/2])
	return n, syscall.EAGAIN
}

// TestIncompleteWritesLoseNoLines guards against lines that are cut off or lost without a report when the output takes
// only a part of a write.
func TestIncompleteWritesLoseNoLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fullPipe{}
		log, writer := logger.New(out, slog.LevelInfo)
		const lines = 5000
		for range lines {
			log.Info("line")
		}
		require.NoError(t, writer.Close())
		text := strings.Split(strings.TrimSpace(out.text.String()), "\n")
		require.Len(t, text, lines)
		for i, line := range text {
			require.Contains(t, line, fmt.Sprintf(`"msg":"line","Line":%d}`, i+1))
		}
	})
}

// TestLinesThatTheOutputDoesNotTakeAreReported guards against lines that are lost without a report while the output
// takes none.
func TestLinesThatTheOutputDoesNotTakeAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fullPipe{closed: true}
		log, writer := logger.New(out, slog.LevelInfo)
		log.Info("lost")
		time.Sleep(5 * time.Second)
		out.mu.Lock()
		out.closed = false
		out.mu.Unlock()
		log.Info("lost again")
		time.Sleep(5 * time.Second)
		require.NoError(t, writer.Close())
		require.Contains(t, out.text.String(), `"Count":1}`)
	})
}
