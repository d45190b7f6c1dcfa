package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// TestStalls: the watcher ends, and its longest delay is no more than the time that passed.
func TestStalls(t *testing.T) {
	begin := time.Now()
	w := watchStalls()
	time.Sleep(10 * stallInterval)
	w.close()
	if got := w.longest(); got < 0 || got > time.Since(begin) {
		t.Errorf("got a delay of %v within %v, want at most that", got, time.Since(begin))
	}
}

// TestProcessState guards against a report of a late stop that does not tell a process that has ended
// from one that runs.
func TestProcessState(t *testing.T) {
	if got := processState(os.Getpid()); got != "R" && got != "S" {
		t.Errorf("got state %q of this process, want R or S", got)
	}
	cmd := exec.Command("true")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	got := ""
	for end := time.Now().Add(5 * time.Second); got != "Z" && time.Now().Before(end); time.Sleep(stallInterval) {
		got = processState(cmd.Process.Pid)
	}
	if got != "Z" {
		t.Errorf("got state %q of a process that has ended, want Z", got)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := processState(cmd.Process.Pid); got != "" {
		t.Errorf("got state %q of no process, want none", got)
	}
}

// TestLongestWait: the longest wait of any thread counts, also of one that began meanwhile.
func TestLongestWait(t *testing.T) {
	tests := map[string]struct {
		before, after map[string]time.Duration
		want          time.Duration
	}{
		"no thread":      {nil, nil, 0},
		"one thread":     {map[string]time.Duration{"a": 5 * time.Second}, map[string]time.Duration{"a": 7 * time.Second}, 2 * time.Second},
		"a new one":      {map[string]time.Duration{"a": 5 * time.Second}, map[string]time.Duration{"a": 6 * time.Second, "b": 3 * time.Second}, 3 * time.Second},
		"one that ended": {map[string]time.Duration{"a": 5 * time.Second}, nil, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := longestWait(test.before, test.after); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	if waits := processorWaits(os.Getpid()); len(waits) == 0 {
		t.Error("got no threads of this process, want some")
	}
}
