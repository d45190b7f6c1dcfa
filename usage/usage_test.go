package usage

import (
	"sync"
	"testing"
)

// TestSettle checks how open requests are found.
func TestSettle(t *testing.T) {
	key := func(entry string, o Outcome) Key {
		return Key{Entry: entry, Partner: "p", Team: "t", Class: "c", Outcome: o}
	}
	line := func(entry string, o Outcome, n int64) Counter {
		return Counter{Key: key(entry, o), Count: Count{Requests: n}}
	}
	tests := map[string]struct {
		lines      []Counter
		done, open int64
	}{
		"all settled":             {lines: []Counter{line("e", Done, 5), line("e", SettledAfterSend, 5), line("e", ReceivedByAgent, 5)}, done: 5},
		"in progress":             {lines: []Counter{line("e", Done, 5), line("e", SettledAfterSend, 5), line("e", ReceivedByAgent, 7), line("e", Open, 2)}, done: 5, open: 2},
		"entry died":              {lines: []Counter{line("e", Done, 5), line("e", SettledAfterSend, 5), line("e", ReceivedByAgent, 9)}, done: 5, open: 4},
		"agent died":              {lines: []Counter{line("e", Done, 5), line("e", SettledAfterSend, 5), line("e", ReceivedByAgent, 1), line("e", Open, 2)}, done: 5, open: 2},
		"entry hides no other":    {lines: []Counter{line("e", SettledAfterSend, 5), line("f", ReceivedByAgent, 3)}, open: 3},
		"two entries are summed":  {lines: []Counter{line("e", Done, 5), line("f", Done, 6)}, done: 11},
		"marks of several agents": {lines: []Counter{line("e", ReceivedByAgent, 2), line("e", ReceivedByAgent, 2), line("e", SettledAfterSend, 3)}, open: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[Outcome]int64{}
			for _, l := range Aggregate(test.lines) {
				got[l.Outcome] += l.Requests
			}
			if got[Done] != test.done || got[Open] != test.open || got[ReceivedByAgent]+got[SettledAfterSend] != 0 {
				t.Errorf("got %v, want %d done and %d open", got, test.done, test.open)
			}
		})
	}
}

// TestBook adds from many goroutines.
func TestBook(t *testing.T) {
	b := New()
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				b.Add(Key{Partner: "p", Outcome: Done}, Count{Requests: 1, Tokens: 2})
			}
		})
	}
	wait.Wait()
	if got := b.Snapshot()[0]; got.Requests != 8000 || got.Tokens != 16000 {
		t.Errorf("got %+v, want 8000 requests and 16000 tokens", got)
	}
}
