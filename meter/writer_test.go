package meter

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks until release is closed.
type blockingWriter struct {
	mu      sync.Mutex
	release chan struct{}
	buffer  bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	const lines = 4096
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v, want the whole line accepted", n, err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("got %v while the output was blocked, want below 1s", elapsed)
	}
	if w.Dropped() == 0 {
		t.Error("got no lines dropped, want some")
	}
	close(out.release)
	w.Close()
	<-w.done // Close waits for a bounded time.
	if got := int64(out.buffer.Len()/len(line)) + w.Dropped(); got != lines {
		t.Errorf("got %d lines written or dropped, want %d", got, lines)
	}
}

func TestAsyncWriterCloseFlushes(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	_, _ = w.Write([]byte("last line\n"))
	w.Close()
	if got := out.String(); got != "last line\n" {
		t.Errorf("got %q, want the line", got)
	}
	if _, _ = w.Write([]byte("late\n")); w.Dropped() != 1 {
		t.Errorf("got %d dropped, want the late line", w.Dropped())
	}
	w.Close()
}

// TestAsyncWriterCloseEnds guards against a process that does not end after a planned stop, because
// nobody reads what it logs.
func TestAsyncWriterCloseEnds(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	_, _ = w.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("got no end of Close while the output was blocked, want it within 1 s")
	}
	close(out.release)
	<-closed
}

// TestAsyncWriterCloseAtOnce guards against a stop that waits until lines are collected.
func TestAsyncWriterCloseAtOnce(t *testing.T) {
	least := time.Hour
	for range 10 {
		w := NewAsyncWriter(io.Discard)
		_, _ = w.Write([]byte("first\n"))
		time.Sleep(flushDelay / 10) // It collects lines.
		_, _ = w.Write([]byte("second\n"))
		begin := time.Now()
		w.Close()
		least = min(least, time.Since(begin))
	}
	if least > flushDelay/2 {
		t.Errorf("got %v for the fastest of 10, want at most %v", least, flushDelay/2)
	}
}
