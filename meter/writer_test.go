package meter

import (
	"bytes"
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
