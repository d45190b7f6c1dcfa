package soak

import (
	"testing"
	"time"
)

// TestStalls: the watcher ends, and its longest delay is no more than the time that passed.
func TestStalls(t *testing.T) {
	begin := time.Now()
	w := watchStalls()
	time.Sleep(10 * stallInterval)
	w.close()
	if got := w.longest(); got < 0 || got > time.Since(begin) {
		t.Errorf("got a delay of %v within %v, want at most that", got, time.Since(begin))
	}
}
