package meter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	mu      sync.Mutex
	release chan struct{}
	buffer  bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

func TestQueueNeverBlocks(t *testing.T) {
	out := &slowWriter{release: make(chan struct{})}
	q := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	const lines = 4096
	for range lines {
		if n, err := q.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v, want the whole line taken", n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("got %v while the output was blocked, want below 1s", took)
	}
	if q.Dropped() == 0 {
		t.Error("got no lines dropped, want some")
	}
	close(out.release)
	q.Close()
	if got := int64(out.buffer.Len()/len(line)) + q.Dropped(); got != lines {
		t.Errorf("got %d lines written or dropped, want %d", got, lines)
	}
}

func TestQueueCloseWrites(t *testing.T) {
	var out bytes.Buffer
	q := NewAsyncWriter(&out)
	_, _ = q.Write([]byte("last line\n"))
	q.Close()
	if got := out.String(); got != "last line\n" {
		t.Errorf("got %q, want the line", got)
	}
	if _, _ = q.Write([]byte("late\n")); q.Dropped() != 1 {
		t.Errorf("got %d dropped, want the late line", q.Dropped())
	}
	q.Close()
}
