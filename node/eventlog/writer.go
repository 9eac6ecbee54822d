package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the capacity of the ring buffer; when it is full, the oldest
	// lines are dropped. At the usual line length it takes about 1 MB.
	bufferedLines = 4096
	// flushTimeout limits how long Close waits for the buffered lines to be written.
	flushTimeout = 200 * time.Millisecond
)

// Writer writes lines in the background, so that a slow or stuck reader of the log
// never blocks the process. It is safe for concurrent use.
type Writer struct {
	diode   diode.Writer
	dropped atomic.Int64
}

func NewWriter(out io.Writer) *Writer {
	w := &Writer{}
	w.diode = diode.NewWriter(out, bufferedLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write buffers a line. It never blocks.
func (w *Writer) Write(line []byte) (int, error) { return w.diode.Write(line) }

// Dropped returns how many lines were dropped because the buffer was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines, but waits for at most flushTimeout.
func (w *Writer) Close() {
	done := make(chan struct{})
	go func() {
		// The log itself is what failed, so there is nowhere to report the error.
		_ = w.diode.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
