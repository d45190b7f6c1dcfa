package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// processorWaits returns for how long each thread of a process has waited for a processor so far.
func processorWaits(pid int) map[string]time.Duration {
	waits := map[string]time.Duration{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // The pattern is valid.
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has ended.
		}
		// The time on a processor, that of waiting for one, and the number of turns.
		fields := strings.Fields(string(data))
		if len(fields) < 2 {
			continue
		}
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			waits[file] = time.Duration(n)
		}
	}
	return waits
}

// longestWait returns the longest time for which a thread waited between two readings.
func longestWait(before, after map[string]time.Duration) time.Duration {
	var most time.Duration
	for thread, d := range after {
		most = max(most, d-before[thread])
	}
	return most.Round(time.Millisecond)
}

// processState returns the state letter of a process: Z if it has ended and this program has not
// been told yet; "" if there is none.
func processState(pid int) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	state, _, _ := strings.Cut(rest, " ")
	return state
}
