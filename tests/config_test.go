package tests

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cactustide/config"
	"cactustide/entry"
	"cactustide/fakes"
)

// generations returns the generation in force at each entry and agent.
func (s *testStack) generations() map[string]uint64 {
	out := map[string]uint64{}
	for _, e := range s.entries {
		var status entry.Status
		s.getAdmin(e, entry.PathStatus, &status)
		out[status.Name] = status.Generation
		for _, a := range status.Agents {
			out[a.Name] = max(out[a.Name], a.Generation)
		}
	}
	return out
}

// TestPresetSwitch switches the preset a hundred times. Each switch is in force in
// every process within three seconds, and no generation decreases.
func TestPresetSwitch(t *testing.T) {
	const switches = 100
	s := newStack(t, stackOptions{entries: 2, engines: 8, plains: 2, slots: 4, queue: 16})
	presets := []string{"peak", "ordinary"}
	var latencies []time.Duration
	last := map[string]uint64{}
	for i := range switches {
		begin := time.Now()
		d, err := config.Change(s.documentStore(), fmt.Sprint("switch-", i), "test", func(d *config.Document) { d.Preset = presets[i%2] })
		if err != nil {
			t.Fatal(err)
		}
		s.waitFor("switch in force", 3*time.Second, func() bool {
			all := true
			for name, g := range s.generations() {
				if g < last[name] {
					t.Errorf("%s: generation decreased from %d to %d", name, last[name], g)
				}
				last[name] = g
				all = all && g == d.Generation
			}
			return all
		})
		latencies = append(latencies, time.Since(begin))
	}
	slices.Sort(latencies)
	t.Logf("%d switches in 12 processes: median %v, p99 %v, worst %v", switches, latencies[switches/2], latencies[switches-2], latencies[switches-1])
}

// TestPresetSwitchPartitioned cuts one entry off from the platform. It gets a switch
// from the agents, and so does one that restarts while the platform is down.
func TestPresetSwitchPartitioned(t *testing.T) {
	relay := newRelay(t)
	s := newStack(t, stackOptions{entries: 2, engines: 2, slots: 4, queue: 16, platformFor: func(role string, i int, address string) string {
		if role == "entry" && i == 1 {
			return relay.forwardTo(address)
		}
		return address
	}})
	relay.setCut(true)
	d, err := config.Change(s.documentStore(), "cut-off", "test", func(d *config.Document) { d.Preset = "peak" })
	if err != nil {
		t.Fatal(err)
	}
	inForce := func() bool {
		g := s.generations()
		return g["entry-0"] == d.Generation && g["entry-1"] == d.Generation
	}
	s.waitFor("switch at the partitioned entry", 3*time.Second, inForce)

	s.kv.SetFaults(fakes.KVFaults{Down: true})
	s.entries[0].kill()
	s.entries[0].start()
	s.waitFor("restarted entry ready", 5*time.Second, func() bool { return s.isReady(s.entries[0]) })
	if !inForce() {
		t.Errorf("got %v after a restart without the platform, want generation %d", s.generations(), d.Generation)
	}
	r := s.sendChat(s.entries[0], "hello tokens=3 ", true, 5*time.Second)
	if r.status != 200 || !strings.Contains(r.body, "[DONE]") {
		t.Errorf("got %d %q, want a complete response without the platform", r.status, r.body)
	}
	s.kv.SetFaults(fakes.KVFaults{})
	// Stale reads must not bring back an older document.
	s.kv.SetFaults(fakes.KVFaults{Stale: 1})
	time.Sleep(1500 * time.Millisecond)
	if !inForce() {
		t.Errorf("got %v after stale reads, want generation %d", s.generations(), d.Generation)
	}
}

// TestConcurrentOperators changes the document with two ctl processes at once, while
// responses of the key-value service are lost. Every change that ctl reports as
// accepted is in the document's generation.
func TestConcurrentOperators(t *testing.T) {
	s := newStack(t, stackOptions{entries: 1, engines: 1, slots: 4, queue: 16, seed: 3})
	file := filepath.Join(s.dir, "ctl.yaml")
	if err := os.WriteFile(file, []byte("platform: "+s.kv.Address()+"\noperator: o\nadmins: ["+s.entries[0].admin+"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.kv.SetFaults(fakes.KVFaults{Lose: 0.3, Slow: 5})
	var mu sync.Mutex
	codes := map[int]int{}
	// On a busy machine the two processes may miss each other for a whole round.
	const maxRounds = 6
	for round := 0; round < maxRounds && codes[4] == 0; round++ {
		s.changeByTwo(file, &mu, codes)
	}
	s.kv.SetFaults(fakes.KVFaults{})
	d, _, err := s.documentStore().Read()
	if err != nil {
		t.Fatal(err)
	}
	// The first document is generation 1. Changes with an unknown outcome may count.
	low, high := uint64(1+codes[0]), uint64(1+codes[0]+codes[5])
	t.Logf("exit codes %v, generation %d", codes, d.Generation)
	if d.Generation < low || d.Generation > high {
		t.Errorf("got generation %d, want from %d to %d", d.Generation, low, high)
	}
	if codes[4] == 0 {
		t.Error("got no conflict, want some")
	}
}

// changeByTwo changes the document fifteen times with each of two ctl processes at once, and
// counts their exit codes.
func (s *testStack) changeByTwo(file string, mu *sync.Mutex, codes map[int]int) {
	var wg sync.WaitGroup
	for operator := range 2 {
		wg.Go(func() {
			for i := range 15 {
				cmd := exec.Command(binary, "ctl", "--settings", file, "--author", fmt.Sprint("operator-", operator), "share", "eisklang", fmt.Sprint(1+i))
				out, _ := cmd.CombinedOutput()
				code := cmd.ProcessState.ExitCode()
				mu.Lock()
				codes[code]++
				mu.Unlock()
				if code == 4 && !strings.Contains(string(out), "went first") {
					s.t.Errorf("got %q, want a message that names the change that was stored first", out)
				}
				if code != 0 && code != 4 && code != 5 {
					s.t.Errorf("got exit code %d (%s), want 0, 4 or 5", code, out)
				}
			}
		})
	}
	wg.Wait()
}
