package direct_test

import (
	"testing"
	"time"
)

// TestRetryShareAfterLoss guards against entries that together exceed the retry budget: when
// some of them are no longer heard, the others must not take over their share at once, since
// they may be alive beyond a cut, or have used it within the window.
func TestRetryShareAfterLoss(t *testing.T) {
	const entries = 4
	s := newStack(t, entries)
	first := s.entries[0]
	waitFor(t, "all entries known", func() bool { return len(s.status(first).GetMembers()) == entries })
	share := s.status(first).GetServices()[0].GetBudget()
	for _, e := range s.entries[1:] {
		e.Close()
		e.closed = true
	}
	waitFor(t, "the others are down", func() bool { return len(s.status(first).GetMembers()) == 1 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := s.status(first).GetServices()[0].GetBudget(); got > share+0.5 {
			t.Fatalf("got a budget of %.1f retries right after the others were lost, want at most the share before, %.1f", got, share)
		}
	}
}
