package entry

import (
	"io"
	"sync"
	"testing"
	"time"

	"cactustide/config"
	"cactustide/meter"
	"cactustide/setup"
	"cactustide/wire"
)

// TestConfigOrder guards against an entry that decides by an older configuration than the
// one it has adopted, when two arrive at once.
func TestConfigOrder(t *testing.T) {
	m := meter.New("e")
	defer m.Close()
	e := New(&setup.Settings{Name: "e", Platform: "127.0.0.1:1"}, meter.NewLogger(io.Discard, "error", "json", "entry"), m)
	for round := range uint64(3000) {
		var wait sync.WaitGroup
		for i := range uint64(3) {
			data, err := wire.EncodeDocument(&config.Document{Generation: 3*round + i + 1})
			if err != nil {
				t.Fatal(err)
			}
			wait.Go(func() { e.applyDocument(time.Now(), sourceStore, data) })
		}
		wait.Wait()
		if got, want := e.configIndex.Load().document.Generation, e.config.Generation(); got != want {
			t.Fatalf("got decisions by generation %d, want %d", got, want)
		}
	}
}
