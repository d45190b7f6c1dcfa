package soak

import (
	"sync"
	"time"
)

// stallInterval is the time after which a stall watcher wants to run again.
const stallInterval = 5 * time.Millisecond

// stallWatcher measures for how long this process itself is kept from running, so that a bound
// of time that was broken can be compared with what the machine gave.
type stallWatcher struct {
	mu   sync.Mutex
	most time.Duration
	done chan struct{}
	wg   sync.WaitGroup
}

func watchStalls() *stallWatcher {
	w := &stallWatcher{done: make(chan struct{})}
	w.wg.Go(func() {
		for {
			begin := time.Now()
			select {
			case <-w.done:
				return
			case <-time.After(stallInterval):
			}
			w.mu.Lock()
			w.most = max(w.most, time.Since(begin)-stallInterval)
			w.mu.Unlock()
		}
	})
	return w
}

// longest returns the longest delay so far.
func (w *stallWatcher) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most.Round(time.Millisecond)
}

func (w *stallWatcher) close() {
	close(w.done)
	w.wg.Wait()
}
