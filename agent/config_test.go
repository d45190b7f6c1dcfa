package agent

import (
	"io"
	"sync"
	"testing"

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
