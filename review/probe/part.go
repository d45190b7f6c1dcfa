package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() {
	cases["early"] = runEarly
	cases["written"] = runWritten
}

const (
	// partCrashes is the number of crashes after which the rules bind.
	partCrashes = 5
	// partArrivals is how many requests with the part may arrive later than contact after
	// that (BUDGET).
	partArrivals = 3
	// partSample is the number of sound requests that the rule needs (LOST).
	partSample = 20
	deadlyPart = "0badcafe"
	firstPart  = "5c1e07a2"
)

// partPlan is a case with a part that crashes each replica that begins to write an answer.
type partPlan struct {
	replicas      int
	timeout, aim  time.Duration
	first, gap    time.Duration
	events        int
	perSecond     float64
	calm, length  time.Duration
	downtime      time.Duration
	crashAfter    int
	deadlyOfEight int
}

// runWritten crashes replicas when they have written the first event.
func runWritten(s *site, trouble bool) (bool, error) {
	return runPart(s, trouble, partPlan{
		replicas: 4, timeout: 12 * time.Second, aim: 300 * time.Millisecond, first: 60 * time.Millisecond, gap: 40 * time.Millisecond,
		events: 20, perSecond: 16, calm: 12 * time.Second, length: 50 * time.Second, downtime: 4 * time.Second, crashAfter: 1, deadlyOfEight: 2,
	})
}

// runEarly crashes replicas when they are to write the first event, before a sound stream
// has come to its end.
func runEarly(s *site, trouble bool) (bool, error) {
	return runPart(s, trouble, partPlan{
		replicas: 3, timeout: 10 * time.Second, aim: 2 * time.Second, first: 300 * time.Millisecond, gap: 290 * time.Millisecond,
		events: 30, perSecond: 8, calm: 6 * time.Second, length: 45 * time.Second, downtime: 4 * time.Second, crashAfter: 0, deadlyOfEight: 2,
	})
}

// runPart sends requests with a part that crashes replicas beside sound requests with the
// same key and first part.
func runPart(s *site, trouble bool, p partPlan) (bool, error) {
	s.engines["frostmind"] = true
	s.routes = []route{{prefix: "/help/", kind: "streaming", service: "frostmind", timeout: p.timeout, target: p.aim, attempts: 1}}
	s.putConfig(1)
	for range p.replicas {
		r, err := s.addReplica("frostmind", "tirol-a", 64)
		if err != nil {
			return false, err
		}
		r.first, r.gap, r.events, r.downtime = p.first, p.gap, p.events, p.downtime
		r.crashAfter = p.crashAfter
		r.isDeadly = func(parts []string) bool { return slices.Contains(parts, deadlyPart) }
	}
	if err := s.addEntries(2); err != nil {
		return false, err
	}
	c := newClient(s.rec)
	begin := time.Now()
	every(p.perSecond, p.length, func(i int) {
		e := s.entries[i%len(s.entries)]
		x := call{
			id: fmt.Sprintf("sound%04d", i), method: http.MethodPost, path: "/help/1", parts: []string{firstPart, fmt.Sprintf("a%07x", i%20)},
			partTokens: 150, timeout: p.timeout, events: p.events,
		}
		if trouble && (3*i)%8 < p.deadlyOfEight && time.Since(begin) > p.calm {
			x.id = fmt.Sprintf("deadly%04d", i)
			x.parts = []string{firstPart, deadlyPart}
		}
		c.start(e, x)
	})
	return judgePart(s, c.wait(), begin, p), nil
}

// judgePart compares how many sound requests began before the first crash and from twice
// contact after the fifth one, or after the last if there were fewer.
func judgePart(s *site, outcomes []*outcome, begin time.Time, p partPlan) bool {
	var crashes []time.Time
	for _, r := range s.replicas {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound := begin.Add(p.calm)
	if len(crashes) > 0 {
		bound = crashes[min(len(crashes), partCrashes)-1]
	}
	calm, trouble := [2]int{}, [2]int{}
	for _, o := range outcomes {
		if slices.Contains(o.parts, deadlyPart) {
			continue
		}
		began := 0
		if !o.firstAt.IsZero() && o.status == http.StatusOK {
			began = 1
		}
		switch {
		case o.sentAt.Before(begin.Add(p.calm)):
			calm[0]++
			calm[1] += began
		case o.sentAt.After(bound.Add(2 * contact)):
			trouble[0]++
			trouble[1] += began
		}
	}
	late := 0
	for _, at := range s.deadlyArrivals() {
		if at.After(bound.Add(contact)) {
			late++
		}
	}
	s.rec.say("%d crashes; sound requests that began: %d of %d before the first, %d of %d from %v after the fifth", len(crashes), calm[1], calm[0], trouble[1], trouble[0], 2*contact)
	s.rec.say("%d requests with the part reached replicas later than %v after the fifth crash, %d allowed", late, contact, partArrivals)
	before := float64(calm[1]) / float64(max(1, calm[0]))
	after := float64(trouble[1]) / float64(max(1, trouble[0]))
	return calm[0] >= partSample && trouble[0] >= partSample && after < before/2
}

// deadlyArrivals returns when requests with the deadly part reached replicas.
func (s *site) deadlyArrivals() []time.Time {
	var list []time.Time
	for _, r := range s.replicas {
		r.mu.Lock()
		list = append(list, r.deadlyArrivals...)
		r.mu.Unlock()
	}
	return list
}
