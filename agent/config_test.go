package agent

import (
	"io"
	"sync"
	"testing"
	"time"

	"cactustide/config"
	"cactustide/meter"
	"cactustide/setup"
)

// TestConfigOrder guards against an agent that decides by an older configuration than the
// one it has adopted, when two arrive at once.
func TestConfigOrder(t *testing.T) {
	m := meter.New("a")
	defer m.Close()
	a := New(&setup.Settings{Name: "a", Platform: "127.0.0.1:1"}, meter.NewLogger(io.Discard, "error", "json", "agent"), m)
	for round := range uint64(3000) {
		var wait sync.WaitGroup
		for i := range uint64(3) {
			wait.Go(func() { a.applyConfig(&config.Document{Generation: 3*round + i + 1}) })
		}
		wait.Wait()
		if got, want := a.effective.Load().Generation, a.config.Generation(); got != want {
			t.Fatalf("got decisions by generation %d, want %d", got, want)
		}
	}
}

// TestDrainBesideDocument guards against an agent that accepts work again while it
// stops, because a document is put in force at that moment.
func TestDrainBesideDocument(t *testing.T) {
	m := meter.New("a")
	defer m.Close()
	drains := make([]string, 20000) // A long list makes the race likely.
	for round := range 300 {
		a := New(&setup.Settings{Name: "a", Platform: "127.0.0.1:1"}, meter.NewLogger(io.Discard, "error", "json", "agent"), m)
		var wait sync.WaitGroup
		for i := range uint64(4) {
			wait.Go(func() { a.applyConfig(&config.Document{Generation: i + 1, Drains: drains}) })
		}
		time.Sleep(time.Duration(round%100) * time.Microsecond)
		a.Drain(0)
		wait.Wait()
		a.queue.mu.Lock()
		got := a.queue.draining
		a.queue.mu.Unlock()
		if !got {
			t.Fatalf("round %d: got an agent that accepts work while it stops, want it draining", round)
		}
	}
}
