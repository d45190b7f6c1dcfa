package retry

import (
	"reflect"
	"testing"
	"time"
)

func TestAbortTracker(t *testing.T) {
	tracker := NewAbortTracker()
	now := time.Unix(1000, 0)
	tracker.Record(now, "a", Abort{Fingerprint: 1})
	tracker.Record(now.Add(900*time.Millisecond), "a", Abort{StartedAt: 7, Fingerprint: 2, Parts: []string{"p"}})
	tracker.Record(now.Add(1200*time.Millisecond), "a", Abort{StartedAt: 8, Fingerprint: 3})
	tracker.Record(now, "b", Abort{Fingerprint: 4})
	want := []Abort{{At: now.Add(900 * time.Millisecond), StartedAt: 7, Fingerprint: 2, Parts: []string{"p"}}, {At: now.Add(1200 * time.Millisecond), StartedAt: 8, Fingerprint: 3}}
	if got := tracker.TakeAborted(now.Add(1500*time.Millisecond), "a"); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := tracker.TakeAborted(now.Add(1500*time.Millisecond), "a"); len(got) != 0 {
		t.Errorf("got %v a second time, want none", got)
	}
	if got := tracker.TakeAborted(now.Add(1500*time.Millisecond), "b"); len(got) != 0 {
		t.Errorf("got %v after the crash window, want none", got)
	}
	for i := range uint64(2 * maxAborts) {
		tracker.Record(now, "c", Abort{Fingerprint: i})
	}
	if got := len(tracker.TakeAborted(now, "c")); got > maxAborts {
		t.Errorf("got %d aborted exchanges stored, want at most %d", got, maxAborts)
	}
}
