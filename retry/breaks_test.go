package retry

import (
	"slices"
	"testing"
	"time"
)

func TestBreaks(t *testing.T) {
	b := NewAbortTracker()
	now := time.Unix(1000, 0)
	b.Record(now, "a", 1)
	b.Record(now.Add(900*time.Millisecond), "a", 2)
	b.Record(now.Add(1200*time.Millisecond), "a", 3)
	b.Record(now, "b", 4)
	if got, want := b.TakeAborted(now.Add(1500*time.Millisecond), "a"), []uint64{2, 3}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := b.TakeAborted(now.Add(1500*time.Millisecond), "a"); len(got) != 0 {
		t.Errorf("got %v a second time, want none", got)
	}
	if got := b.TakeAborted(now.Add(1500*time.Millisecond), "b"); len(got) != 0 {
		t.Errorf("got %v long after, want none", got)
	}
	for i := range uint64(2 * maxBreaks) {
		b.Record(now, "c", i)
	}
	if got := len(b.TakeAborted(now, "c")); got > maxBreaks {
		t.Errorf("got %d remembered, want at most %d", got, maxBreaks)
	}
}
