package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is how many lines wait for a slow reader of the log; older
	// ones are dropped then. At the usual length it is about 1 MB.
	bufferedLines = 4096
	// flushTimeout bounds the wait for the reader when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Writer writes lines in the background, so that nothing waits for whoever
// reads the log, even if nobody does. It is safe for concurrent use.
type Writer struct {
	diode   diode.Writer
	dropped atomic.Int64
}

// NewWriter returns a writer of lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{}
	w.diode = diode.NewWriter(out, bufferedLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.diode.Write(line) }

// Dropped returns how many lines the reader was too slow for.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is left, unless the reader is stuck.
func (w *Writer) Close() {
	done := make(chan struct{})
	go func() {
		// What cannot be written when the process ends has nowhere to go.
		_ = w.diode.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
