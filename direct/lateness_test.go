package direct

import (
	"testing"
	"time"
)

// TestLateness guards against a copy that counts as confirmed by messages that lay unread while the
// process stood still, or were on their way for long (CONFIG, DENIED, ORDER).
func TestLateness(t *testing.T) {
	const every = 250 * time.Millisecond
	type pause struct{ from, to time.Duration }
	tests := map[string]struct {
		// offset of the peer's clock, delay of all messages, drift of its clock for each second.
		offset, delay, drift time.Duration
		paused               pause
	}{
		"steady":                         {delay: time.Millisecond},
		"a clock that is far away":       {offset: 1000 * time.Hour, delay: 3 * time.Millisecond},
		"stands still for half a second": {delay: time.Millisecond, paused: pause{10 * time.Second, 10500 * time.Millisecond}},
		"stands still for 8 s":           {delay: time.Millisecond, paused: pause{10 * time.Second, 18 * time.Second}},
		"stands still for 2 min":         {delay: time.Millisecond, paused: pause{10 * time.Second, 130 * time.Second}},
		"soon after the start":           {delay: time.Millisecond, paused: pause{300 * time.Millisecond, 8 * time.Second}},
		"a clock that drifts":            {delay: time.Millisecond, drift: 50 * time.Microsecond, paused: pause{25 * time.Minute, 25*time.Minute + 5*time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			l := newLateness(start)
			known := 0
			for sent := time.Duration(0); sent < test.paused.to+30*time.Second; sent += every {
				read := sent + test.delay
				if read > test.paused.from && read < test.paused.to {
					read = test.paused.to
				}
				drift := time.Duration(sent.Seconds() * float64(test.drift))
				clock := 1 + uint64((sent + drift + test.offset).Milliseconds())
				got, ok := l.measure(start.Add(read), 7, clock)
				if !ok {
					continue
				}
				known++
				want := read - sent - test.delay
				// Clock readings are whole milliseconds; two windows of drift make it older.
				if tolerance := time.Millisecond; got < want-tolerance-2*time.Duration(offsetWindow.Seconds()*float64(test.drift)) ||
					got > want+tolerance+2*time.Duration(offsetWindow.Seconds()*float64(test.drift)) {
					t.Fatalf("sent after %v, read after %v: got %v late, want %v", sent, read, got, want)
				}
			}
			if known < 20 {
				t.Errorf("got the lateness of %d messages, want that of most", known)
			}
		})
	}
	if _, ok := newLateness(time.Unix(1000, 0)).measure(time.Unix(1000, 0), 7, 0); ok {
		t.Error("got the lateness of a message without a clock, want none")
	}
}
