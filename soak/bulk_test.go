package soak

import (
	"io"
	"os"
	"slices"
	"testing"
	"time"
)

// TestBulk checks the loads on memory: the plan of a seed stays the same and has both kinds
// over some seeds, a body has its whole size, and the memory of a process is seen.
func TestBulk(t *testing.T) {
	const duration, entries = 20 * time.Second, 3
	seen := map[string]bool{}
	for seed := range uint64(10) {
		plan := NewBulk(seed, duration, entries)
		if again := NewBulk(seed, duration, entries); !slices.Equal(plan, again) || len(plan) == 0 {
			t.Errorf("seed %d: got %v and %v, want one plan", seed, plan, again)
		}
		for _, s := range plan {
			seen[s.Kind] = true
			if s.Offset >= duration || s.Target < 0 || s.Target >= entries {
				t.Errorf("seed %d: got %v, want it within %v at one of %d entries", seed, s, duration, entries)
			}
		}
	}
	for _, kind := range bulkKinds {
		if !seen[kind] {
			t.Errorf("got no %s in ten seeds, want some", kind)
		}
	}
	const size = 3*uploadPieceBytes + 100
	if got, err := io.Copy(io.Discard, &slowBody{left: size}); err != nil || got != size {
		t.Errorf("got a body of %d bytes, error %v, want %d", got, err, size)
	}
	if got := residentMB(os.Getpid()); got <= 0 {
		t.Errorf("got %d MB of this process, want some", got)
	}
	if got := residentMB(1 << 30); got != 0 {
		t.Errorf("got %d MB of a process that does not exist, want 0", got)
	}
}
