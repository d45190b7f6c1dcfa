package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var now = time.Unix(100, 0)

func agent(name string, edit func(*Agent)) Agent {
	a := Agent{Name: name, Incarnation: 1, Centre: "c", Model: "m", Slots: 4, QueueSpace: 4, Healthy: true}
	if edit != nil {
		edit(&a)
	}
	return a
}

// TestChooseEligible checks that only agents that may run a request get it.
func TestChooseEligible(t *testing.T) {
	tests := map[string]struct {
		edit     func(*Agent)
		excluded bool
		age      time.Duration
		tier     int
		want     bool
	}{
		"free":            {want: true},
		"draining":        {edit: func(a *Agent) { a.Draining = true }},
		"down":            {edit: func(a *Agent) { a.Healthy = false }},
		"other model":     {edit: func(a *Agent) { a.Model = "x" }},
		"a plain service": {edit: func(a *Agent) { a.Service = "s" }},
		"refused before":  {excluded: true},
		"state too old":   {age: 3 * time.Second},
		"full":            {edit: func(a *Agent) { a.Running, a.QueueSpace = 4, 0 }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(3 * time.Second)
			table.Update(now, agent("a", test.edit))
			req := Requirements{Model: "m", Tier: test.tier, Excluded: map[string]bool{"a": test.excluded}}
			if _, got := table.Choose(now.Add(test.age), req, rand.IntN); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestChooseAdmitting checks that a full agent with queued lower-tier requests is
// preferred to one without.
func TestChooseAdmitting(t *testing.T) {
	table := New(3 * time.Second)
	full := func(a *Agent) { a.Running, a.QueueSpace = 4, 0; a.Queued[1] = 4 }
	table.Update(now, agent("same", full))
	table.Update(now, agent("lower", func(a *Agent) { full(a); a.Queued[5] = 1 }))
	for range 20 {
		if got, _ := table.Choose(now, Requirements{Model: "m", Tier: 1}, rand.IntN); got != "lower" {
			t.Fatalf("got %q, want the agent that can evict lower-tier work", got)
		}
	}
}

// TestUpdateIgnoresReplaced checks that the state of a lower incarnation is ignored.
func TestUpdateIgnoresReplaced(t *testing.T) {
	table := New(3 * time.Second)
	table.Update(now, agent("a", func(a *Agent) { a.Incarnation = 2; a.Draining = true }))
	if table.Update(now, agent("a", nil)) {
		t.Error("got the replaced process's state accepted, want it ignored")
	}
	if _, ok := table.Choose(now, Requirements{Model: "m"}, rand.IntN); ok {
		t.Error("got the draining agent chosen, want none")
	}
}

// TestStragglerProbed checks that a straggler gets one request in each interval.
func TestStragglerProbed(t *testing.T) {
	const (
		choices = 2000
		step    = 100 * time.Millisecond
	)
	tests := map[string]struct {
		tier     int
		interval time.Duration
	}{
		"low tier":  {tier: 5, interval: probeIntervalLowTiers},
		"high tier": {tier: 0, interval: probeIntervalHighTiers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New(3 * time.Second)
			got := 0
			for n := range choices {
				at := now.Add(time.Duration(n) * step)
				for i := range 4 {
					timePerToken := time.Millisecond
					if i == 0 {
						timePerToken = 10 * time.Millisecond
					}
					table.Update(at, agent(fmt.Sprint("a", i), func(a *Agent) { a.TimePerToken = timePerToken; a.Slots = 100 }))
				}
				if name, _ := table.Choose(at, Requirements{Model: "m", Tier: test.tier}, rand.IntN); name == "a0" {
					got++
				}
			}
			span := choices * step
			if want := int((span-step)/test.interval) + 1; got != want {
				t.Errorf("got %d of %d at the straggler, want %d", got, choices, want)
			}
		})
	}
}

// TestSubset checks that subsets spread evenly over the agents and change by at most
// one agent when one leaves.
func TestSubset(t *testing.T) {
	var agents []string
	for i := range 200 {
		agents = append(agents, fmt.Sprintf("agent-%03d", i))
	}
	connections := map[string]int{}
	for e := range 100 {
		entry := fmt.Sprint("entry-", e)
		before := Subset(entry, agents, 20)
		if got := len(before); got != 20 {
			t.Fatalf("got %d agents, want 20", got)
		}
		after := map[string]bool{}
		for _, a := range Subset(entry, agents[1:], 20) {
			after[a] = true
		}
		changed := 0
		for _, a := range before {
			connections[a]++
			if !after[a] {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("got %d changes after one agent left, want at most 1", changed)
		}
	}
	for _, a := range agents {
		if got := connections[a]; got == 0 || got > 30 {
			t.Errorf("%s: got %d of 100 entries, want about 10", a, got)
		}
	}
}

// TestLeavingBeforeUpdate guards against requests to an agent on a host that is leaving
// when the entry first sees it: the list of hosts arrives before the agent's state.
func TestLeavingBeforeUpdate(t *testing.T) {
	table := New(3 * time.Second)
	table.SetLeaving(map[string]bool{"a": true})
	table.Update(now, agent("a", nil))
	if got, ok := table.Choose(now, Requirements{Model: "m"}, rand.IntN); ok {
		t.Errorf("got %q chosen, want none", got)
	}
	table.SetLeaving(map[string]bool{})
	if _, ok := table.Choose(now, Requirements{Model: "m"}, rand.IntN); !ok {
		t.Error("got no agent once the host does not leave any more, want one")
	}
}
