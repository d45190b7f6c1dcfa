package usage

import (
	"sync"
	"testing"
)

// TestAggregate checks how the number of open requests is computed.
func TestAggregate(t *testing.T) {
	key := func(entry string, o Outcome) Key {
		return Key{Entry: entry, Partner: "p", Team: "t", Class: "c", Outcome: o}
	}
	counter := func(entry string, o Outcome, n int64) Counter {
		return Counter{Key: key(entry, o), Count: Count{Requests: n}}
	}
	tests := map[string]struct {
		counters   []Counter
		done, open int64
	}{
		"all settled":              {counters: []Counter{counter("e", Done, 5), counter("e", SettledAfterSend, 5), counter("e", ReceivedByAgent, 5)}, done: 5},
		"in progress":              {counters: []Counter{counter("e", Done, 5), counter("e", SettledAfterSend, 5), counter("e", ReceivedByAgent, 7), counter("e", Open, 2)}, done: 5, open: 2},
		"entry crashed":            {counters: []Counter{counter("e", Done, 5), counter("e", SettledAfterSend, 5), counter("e", ReceivedByAgent, 9)}, done: 5, open: 4},
		"agent crashed":            {counters: []Counter{counter("e", Done, 5), counter("e", SettledAfterSend, 5), counter("e", ReceivedByAgent, 1), counter("e", Open, 2)}, done: 5, open: 2},
		"entries are separate":     {counters: []Counter{counter("e", SettledAfterSend, 5), counter("f", ReceivedByAgent, 3)}, open: 3},
		"two entries are summed":   {counters: []Counter{counter("e", Done, 5), counter("f", Done, 6)}, done: 11},
		"counts of several agents": {counters: []Counter{counter("e", ReceivedByAgent, 2), counter("e", ReceivedByAgent, 2), counter("e", SettledAfterSend, 3)}, open: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[Outcome]int64{}
			for _, c := range Aggregate(test.counters) {
				got[c.Outcome] += c.Requests
			}
			if got[Done] != test.done || got[Open] != test.open || got[ReceivedByAgent]+got[SettledAfterSend] != 0 {
				t.Errorf("got %v, want %d done and %d open", got, test.done, test.open)
			}
		})
	}
}

// TestCounters adds to one counter from several goroutines.
func TestCounters(t *testing.T) {
	cs := New()
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				cs.Add(Key{Partner: "p", Outcome: Done}, Count{Requests: 1, Tokens: 2})
			}
		})
	}
	wait.Wait()
	if got := cs.Snapshot()[0]; got.Requests != 8000 || got.Tokens != 16000 {
		t.Errorf("got %+v, want 8000 requests and 16000 tokens", got)
	}
}
