package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["stall"] = runStall
}

const (
	// stallParts is the number of shared parts in a prompt: a conversation of as many turns.
	stallParts = 1000
	// stallCalm is the time before the crash, stallLength that of the traffic.
	stallCalm   = 8 * time.Second
	stallLength = 25 * time.Second
	// lateSlack is how long after its route's timeout a request may be unanswered (CONFIG).
	lateSlack = 500 * time.Millisecond
	// lateRequests is the number of requests from which on the rule counts.
	lateRequests = 8
)

// runStall crashes one of four model replicas while requests with long prompts wait for
// their first event, and looks for lookups without an answer.
func runStall(s *site, trouble bool) (bool, error) {
	s.routes = []route{
		{prefix: "/brief/", kind: "streaming", service: "frostmind", timeout: 10 * time.Second, target: 2 * time.Second, attempts: 1, priority: 2},
		{prefix: "/lookup/", kind: "idempotent", service: "orderdesk", timeout: 1200 * time.Millisecond, target: 150 * time.Millisecond, attempts: 2, priority: 2},
	}
	s.putConfig(1)
	for range 4 {
		r, err := s.addReplica("frostmind", "tirol-a", 64)
		if err != nil {
			return false, err
		}
		r.first, r.gap, r.events, r.downtime = 1950*time.Millisecond, 40*time.Millisecond, 15, 2*time.Second
	}
	for range 3 {
		if _, err := s.addReplica("orderdesk", "tirol-a", 6); err != nil {
			return false, err
		}
	}
	if err := s.addEntries(2); err != nil {
		return false, err
	}
	c := newClient(s.rec)
	defer s.watchMemory()()
	if trouble {
		time.AfterFunc(stallCalm, func() { s.busiest("frostmind").crash("killed") })
	}
	every(110, stallLength, func(i int) {
		e := s.entries[i%len(s.entries)]
		if (i/2)%5 < 3 {
			c.start(e, call{id: fmt.Sprintf("brief%04d", i), method: http.MethodPost, path: "/brief/1", parts: conversation(i), partTokens: 4, timeout: 10 * time.Second, events: 15})
			return
		}
		c.start(e, call{id: fmt.Sprintf("lookup%04d", i), method: http.MethodGet, path: fmt.Sprintf("/lookup/%d", i%7), timeout: 2500 * time.Millisecond})
	})
	return judgeLate(s, c.wait()), nil
}

// busiest returns the replica of a service that runs the most requests.
func (s *site) busiest(service string) *replica {
	var best *replica
	most := -1
	for _, r := range s.replicas {
		r.mu.Lock()
		if r.service == service && r.running > most {
			best, most = r, r.running
		}
		r.mu.Unlock()
	}
	return best
}

// conversation returns the parts of a prompt: one that all share and those of a session.
func conversation(session int) []string {
	parts := []string{"5c1e07a2"}
	for n := range stallParts - 1 {
		parts = append(parts, fmt.Sprintf("%04x%04x", session, n))
	}
	return parts
}

// judgeLate reports whether of the lookups that are unanswered at their route's timeout more
// than half have no answer lateSlack later.
func judgeLate(s *site, outcomes []*outcome) bool {
	timeout := s.routes[1].timeout
	open, late, longest := 0, 0, time.Duration(0)
	counts := map[string]int{}
	for _, o := range outcomes {
		if len(o.parts) > 0 {
			counts[fmt.Sprintf("streams with status %d, whole %v", o.status, o.whole)]++
			continue
		}
		counts[fmt.Sprintf("lookups with status %d", o.status)]++
		longest = max(longest, o.took())
		if o.took() > timeout {
			open++
		}
		if o.took() > timeout+lateSlack {
			late++
		}
	}
	s.rec.say("%v", counts)
	s.rec.say("%d lookups unanswered at their route's timeout of %v, %d of them %v later; the longest took %v", open, timeout, late, lateSlack, longest.Round(time.Millisecond))
	return late >= lateRequests && 2*late > open
}
