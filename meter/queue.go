package meter

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds the log lines that wait to be written.
	queueBytes = 1 << 20
	// queuePause gathers lines, so that a busy process writes them together.
	queuePause = 50 * time.Millisecond
)

// AsyncWriter writes log lines from a bounded buffer. Lines that find no room are
// dropped and counted; a writer never waits.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  bytes.Buffer
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	closed  bool
}

// NewAsyncWriter returns a queue in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a line, or drops it if there is no room.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.buffer.Len()+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	_, _ = q.buffer.Write(line) // A buffer never fails.
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *AsyncWriter) Dropped() int64 { return q.dropped.Load() }

func (q *AsyncWriter) run() {
	defer close(q.done)
	var spare []byte
	for range q.wake {
		time.Sleep(queuePause)
		spare = q.flush(spare)
	}
	q.flush(spare)
}

func (q *AsyncWriter) flush(spare []byte) []byte {
	q.mu.Lock()
	spare = append(spare[:0], q.buffer.Bytes()...)
	q.buffer.Reset()
	q.mu.Unlock()
	if len(spare) == 0 {
		return spare
	}
	if _, err := q.out.Write(spare); err != nil {
		q.dropped.Add(int64(bytes.Count(spare, []byte{'\n'})))
	}
	return spare
}

// Close writes what waits and ends the queue.
func (q *AsyncWriter) Close() {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return
	}
	q.closed = true
	close(q.wake)
	q.mu.Unlock()
	<-q.done
}
