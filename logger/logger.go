// Package logger writes numbered JSON log lines without blocking the code that logs: lines pass through a bounded queue,
// and those that do not fit, or that the output does not take, are dropped, counted and reported.
package logger

import (
	"bytes"
	"context"
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
	// writeRetryInterval is the pause after an incomplete write, as to a full pipe in non-blocking mode, and
	// maxWriteRetryTime is how long the rest of a batch is retried.
	writeRetryInterval = time.Millisecond
	maxWriteRetryTime  = 500 * time.Millisecond
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
	return slog.New(numberingHandler{Handler: handler, last: new(atomic.Int64)}), w
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
	direct := slog.NewJSONHandler(w.out, nil)
	for {
		select {
		case line := <-w.lines.Items():
			w.flush(line)
		case <-report.C:
			w.reportDropped(direct)
		case <-w.tomb.Dying():
			w.drain()
			return nil
		}
	}
}

// reportDropped writes how many lines were dropped since the last report, or keeps the count when the output does not take
// the report.
func (w *Writer) reportDropped(direct slog.Handler) {
	dropped := w.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	report := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines were dropped because the output was too slow", 0)
	report.AddAttrs(slog.Int64("Count", dropped))
	if err := direct.Handle(context.Background(), report); err != nil {
		w.dropped.Add(dropped)
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
	w.writeAll(batch)
}

// writeAll writes a batch and retries the rest of it after an incomplete write. Lines that the output does not take for
// maxWriteRetryTime are dropped and counted.
func (w *Writer) writeAll(batch []byte) {
	giveUpAt := time.Now().Add(maxWriteRetryTime)
	for {
		n, err := w.out.Write(batch)
		batch = batch[n:]
		if err == nil || len(batch) == 0 {
			return
		}
		if !time.Now().Before(giveUpAt) {
			w.dropped.Add(int64(bytes.Count(batch, []byte{'\n'})))
			return
		}
		time.Sleep(writeRetryInterval)
	}
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
