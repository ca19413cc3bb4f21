// Package logger writes JSON log lines without blocking the code that logs: lines pass through a bounded queue, and
// those that do not fit are dropped, counted and reported.
package logger

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"egretring.example/egretring/buffer"
)

const (
	// maxQueuedLines bounds the lines that wait for the output; they take about 2 MB.
	maxQueuedLines = 8192
	// reportInterval is the interval between two reports of dropped lines.
	reportInterval = time.Second
	// batchBytes is the size from which a batch of queued lines is written; further lines go into the next write.
	batchBytes = 32 << 10
)

// Writer is an io.Writer that queues complete lines for a goroutine, which writes them to the output.
type Writer struct {
	out     io.Writer
	lines   *buffer.Queue[[]byte]
	dropped atomic.Int64
	tomb    tomb.Tomb
}

// NewWriter returns a writer to an output and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: buffer.NewQueue[[]byte](maxQueuedLines)}
	w.tomb.Go(w.run)
	return w
}

// New returns a logger of JSON lines and its writer, which the caller closes when it no longer logs.
func New(out io.Writer, level slog.Level) (*slog.Logger, *Writer) {
	w := NewWriter(out)
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler), w
}

// Write queues a line, or drops and counts it when the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Offer(append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and stops the goroutine.
func (w *Writer) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Writer) run() error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	direct := slog.New(slog.NewJSONHandler(w.out, nil))
	for {
		select {
		case line := <-w.lines.Items():
			w.flush(line)
		case <-report.C:
			if dropped := w.dropped.Swap(0); dropped > 0 {
				direct.Warn("log lines were dropped because the output was too slow", "Count", dropped)
			}
		case <-w.tomb.Dying():
			w.drain()
			return nil
		}
	}
}

// flush writes a line together with the queued lines that follow it, until the batch has reached batchBytes.
func (w *Writer) flush(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines.Items():
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// A failed write of the log cannot be logged; the line is lost.
	_, _ = w.out.Write(batch)
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines.Items():
			w.flush(line)
		default:
			return
		}
	}
}
