package meter

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes bounds the buffered log lines.
	maxBufferedBytes = 1 << 20
	// flushDelay batches lines, so that a busy process writes many at once.
	flushDelay = 50 * time.Millisecond
	// closeTimeout bounds the wait of Close for an output that takes no lines.
	closeTimeout = 100 * time.Millisecond
)

// AsyncWriter writes log lines in the background, from a bounded buffer. Lines that
// do not fit are dropped and counted; Write never blocks on the output.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	closed  bool
}

// NewAsyncWriter returns a writer in front of out and starts its goroutine, which
// Close ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full or the writer closed. It
// never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.buffer.Len()+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	_, _ = w.buffer.Write(line) // bytes.Buffer returns no errors.
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	var scratch []byte
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.flush(scratch)
			return
		}
		timer.Reset(flushDelay)
		select {
		case <-timer.C:
		case <-w.closing:
		}
		scratch = w.flush(scratch)
	}
}

func (w *AsyncWriter) flush(scratch []byte) []byte {
	w.mu.Lock()
	scratch = append(scratch[:0], w.buffer.Bytes()...)
	w.buffer.Reset()
	w.mu.Unlock()
	if len(scratch) == 0 {
		return scratch
	}
	if _, err := w.out.Write(scratch); err != nil {
		w.dropped.Add(int64(bytes.Count(scratch, []byte{'\n'})))
	}
	return scratch
}

// Close writes the buffered lines and ends the goroutine. If the output takes none for closeTimeout,
// it returns without that.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.closing)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
