package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["grace"] = runGrace
}

const (
	// oldGrace and newGrace are grace-s before and after the change of the settings, seconds.
	oldGrace = 4.0
	newGrace = 8.0
	// graceCalm is the time before the change, graceTaken the time from it to SIGTERM.
	graceCalm  = 4 * time.Second
	graceTaken = 8 * time.Second
)

// runGrace changes the settings of an entry to a longer time for a stop and stops it while
// streams run that end within this time.
func runGrace(s *site, trouble bool) (bool, error) {
	s.grace = newGrace
	if trouble {
		s.grace = oldGrace
	}
	s.engines["frostmind"] = true
	s.routes = []route{{prefix: "/brief/", kind: "streaming", service: "frostmind", timeout: 10 * time.Second, target: 2 * time.Second, attempts: 1, priority: 2}}
	s.putConfig(1)
	for range 3 {
		r, err := s.addReplica("frostmind", "tirol-a", 64)
		if err != nil {
			return false, err
		}
		r.first, r.gap, r.events = 300*time.Millisecond, 170*time.Millisecond, 30 // 5.2 s in all.
	}
	if err := s.addEntries(2); err != nil {
		return false, err
	}
	c := newClient(s.rec)
	e := s.entries[0]
	stopped := make(chan time.Time, 1)
	failed := make(chan error, 1)
	go func() {
		time.Sleep(graceCalm)
		if trouble {
			if err := s.writeBoot(e, newGrace); err != nil {
				failed <- err
			}
			e.signal(syscall.SIGHUP)
			s.rec.line("settings of %s: grace-s %v, SIGHUP", e.name, newGrace)
		}
		time.Sleep(graceTaken)
		s.rec.line("SIGTERM to %s", e.name)
		stopped <- time.Now()
		e.signal(syscall.SIGTERM)
		select {
		case <-e.done:
			s.rec.line("%s has ended", e.name)
		case <-time.After(newGrace * time.Second):
			s.rec.line("SIGKILL to %s", e.name)
			e.signal(syscall.SIGKILL)
		}
	}()
	every(8, graceCalm+graceTaken, func(i int) {
		c.start(s.entries[i%len(s.entries)], call{id: fmt.Sprintf("brief%04d", i), method: http.MethodPost, path: "/brief/1", parts: []string{"5c1e07a2"}, partTokens: 900, timeout: 10 * time.Second, events: 30})
	})
	outcomes := c.wait()
	select {
	case err := <-failed:
		return false, err
	default:
	}
	at := <-stopped
	// Not counted: a replica still at work in the last sixth of grace-s.
	last := at.Add(newGrace * 5 * time.Second / 6)
	cut, all, first := 0, 0, time.Duration(0)
	for _, o := range outcomes {
		if o.entry != e || o.ended.Before(at) {
			continue
		}
		all++
		if o.whole || !o.ended.Before(last) {
			continue
		}
		cut++
		if d := o.ended.Sub(at); first == 0 || d < first {
			first = d
		}
	}
	s.rec.say("%d streams were in progress at SIGTERM; %d were cut before the last sixth of grace-s (%v), the first %v after SIGTERM", all, cut, newGrace, first.Round(time.Millisecond))
	return cut > 0, nil
}
