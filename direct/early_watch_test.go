package direct

import (
	"testing"
	"time"
)

// TestAnsweredFrom guards against a copy that counts as younger than it is, as an answer that the store gave
// at once came as late as the wait (CONFIG, DENIED), and against one that counts as older for good after one
// early answer.
func TestAnsweredFrom(t *testing.T) {
	type watch struct {
		wait, took time.Duration
		changed    bool
		// atEnd is set if the store is taken to have answered at the end of the wait.
		atEnd bool
	}
	const long, path = 800 * time.Millisecond, 2 * time.Millisecond
	full := watch{wait: long, took: long + path}
	proven := watch{wait: long, took: long + path, atEnd: true}
	early := watch{wait: long, took: path}
	late := watch{wait: long, took: long + 500*time.Millisecond}
	short := watch{wait: minWait, took: minWait + path}
	tests := map[string][]watch{
		"waits":                         {proven, proven},
		"waits, late":                   {proven, {wait: long, took: long + 3*time.Second, atEnd: true}},
		"a change":                      {{wait: long, took: long + path, changed: true}, proven},
		"a change at once":              {{wait: long, took: path, changed: true}, proven},
		"ends a little early":           {{wait: long, took: long - time.Millisecond}, proven},
		"answers at once, then late":    {early, late, late, late, late, late},
		"answers at once, then short":   {early, short, short, short, short, full},
		"answers once early":            {early, full, full, proven, proven},
		"answers early, waits in turns": {early, full, full, early, full, full, proven, early, full},
	}
	for name, watches := range tests {
		t.Run(name, func(t *testing.T) {
			w := &prefixWatcher{}
			began := time.Unix(1000, 0)
			for i, watch := range watches {
				began = began.Add(time.Minute)
				w.changed = watch.changed
				want := began
				if watch.atEnd {
					want = began.Add(watch.wait)
				}
				if got := w.answeredFrom(began, began.Add(watch.took), watch.wait); !got.Equal(want) {
					t.Errorf("watch %d: got an answer of %v after its begin, want %v", i, got.Sub(began), want.Sub(began))
				}
			}
		})
	}
}
