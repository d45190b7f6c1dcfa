package direct_test

import (
	"testing"
	"time"
)

// TestCalmCalls guards against calls beyond those of the waits in a calm system: the wait that the store was
// told was shorter than the one from which its answer is dated, so that the next watch had no time left.
func TestCalmCalls(t *testing.T) {
	const (
		calmTime = 6 * time.Second
		// registrations is the wait of watches of the registrations.
		registrations = time.Second
		// begun is the number of watches that may begin at the ends of the time.
		begun = 4
	)
	for apply, wait := range map[time.Duration]time.Duration{
		500 * time.Millisecond: 150 * time.Millisecond,
		time.Second:            300 * time.Millisecond,
		2 * time.Second:        800 * time.Millisecond,
		5 * time.Second:        time.Second,
	} {
		t.Run(apply.String(), func(t *testing.T) {
			t.Parallel()
			s := newStackOf(t, stackOptions{entries: 1, fullWait: true, applyTimeout: apply})
			time.Sleep(time.Second) // The first watches have ended.
			before := s.store.CallCounts()["/v1/kv-watch"]
			time.Sleep(calmTime)
			got := s.store.CallCounts()["/v1/kv-watch"] - before
			if want := int(calmTime/wait+calmTime/registrations) + begun; got > want {
				t.Errorf("got %d watches in %v, want at most %d", got, calmTime, want)
			}
		})
	}
}
