package fresh

import (
	"testing"
	"time"
)

// TestConfirmedTime guards against a copy that counts as confirmed for longer than a change may take.
func TestConfirmedTime(t *testing.T) {
	for name, test := range map[string]struct{ limit, want time.Duration }{
		"none":  {0, 1800 * time.Millisecond},
		"short": {time.Second, 900 * time.Millisecond},
		"long":  {10 * time.Second, 9 * time.Second},
	} {
		if got := ConfirmedTime(test.limit); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// TestConfirmation guards against an age that an overtaken answer makes older, or one below zero.
func TestConfirmation(t *testing.T) {
	var c Confirmation
	now := time.Now()
	if _, ok := c.Age(now); ok {
		t.Error("got an age before the first confirmation, want none")
	}
	c.Confirm(now)
	c.Confirm(now.Add(-time.Second))
	for after, want := range map[time.Duration]time.Duration{time.Second: time.Second, 0: 0, -time.Second: 0} {
		if got, ok := c.Age(now.Add(after)); got != want || !ok {
			t.Errorf("got age %v, %v after %v, want %v", got, ok, after, want)
		}
	}
}
