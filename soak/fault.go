package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

// unreadableTime is how long an unreadable configuration lies in the store.
const unreadableTime = 300 * time.Millisecond

// play injects the faults of the plan.
func (r *runner) play() {
	plan := NewPlan(r.o.Seed, r.o.FaultDuration, len(r.entries), len(r.upstreams))
	var lines []string
	for _, s := range plan {
		lines = append(lines, s.String())
	}
	if err := os.WriteFile(filepath.Join(r.o.Dir, "plan.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(r.o.Out, "plan not written:", err)
	}
	begin := time.Now()
	for _, s := range plan {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.faults[s.Kind]++
		fmt.Fprintf(r.log, "%s fault %s\n", time.Now().Format("05.000"), s)
		r.inject(s)
	}
	time.Sleep(time.Until(begin.Add(r.o.FaultDuration)))
}

// after heals something later.
func (r *runner) after(d time.Duration, heal func()) {
	r.healing.Go(func() {
		time.Sleep(d)
		heal()
	})
}

func (r *runner) inject(s ScheduledFault) {
	switch s.Kind {
	case "kill", "term", "pause", "hup", "storereset", "storecut", "storedelay":
		r.injectEntry(s, r.entries[s.Target])
	case "busy", "down", "broken", "slow", "forget", "config", "unreadable", "older":
		r.injectStore(s)
	default:
		r.injectUpstream(s, r.upstreams[s.Target])
	}
}

func (r *runner) injectEntry(s ScheduledFault, p *process) {
	switch s.Kind {
	case "kill", "term":
		r.disturb(s.Target, s.Duration+grace+time.Second)
		r.end(p, s.Kind == "term")
		if err := r.spawn(p); err != nil {
			r.violate("start", "%s did not start again: %v", p.name, err)
		}
	case "pause":
		r.disturb(s.Target, s.Duration)
		r.mu.Lock()
		r.pauses = append(r.pauses, span{from: time.Now(), to: time.Now().Add(s.Duration), entry: s.Target})
		r.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // It may have ended already.
		cmd := p.cmd
		r.after(s.Duration, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
	case "hup":
		// Nothing can catch a signal before a program's first instruction, which may be
		// late on a busy machine or in a paused process.
		if p.hasBegun() {
			_ = p.cmd.Process.Signal(syscall.SIGHUP) // It may have ended already.
		}
	case "storereset":
		r.disturb(s.Target, 0)
		p.store.resetAll()
	case "storecut":
		r.disturb(s.Target, s.Duration)
		p.store.silent.Store(true)
		r.after(s.Duration, func() { p.store.silent.Store(false) })
	case "storedelay":
		r.disturb(s.Target, s.Duration)
		p.store.delay.Store(int64(s.Duration / 20))
		r.after(s.Duration, func() { p.store.delay.Store(0) })
	}
}

// hasBegun reports whether the entry listens. A paused one still does.
func (p *process) hasBegun() bool {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, portReady), dialLimit)
	if err != nil {
		return false
	}
	_ = c.Close() // Nothing was sent.
	return true
}

// end stops an entry, planned or not, and waits for its end.
func (r *runner) end(p *process, planned bool) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
	if planned {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
			return
		case <-time.After(grace):
			r.violate("stop", "%s outlived the %v of its stop", p.name, grace)
		}
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (r *runner) injectUpstream(s ScheduledFault, u *upstream) {
	fault := func(f stand.Fault) {
		u.SetFault(func(id string) stand.Fault {
			if id[len(id)-1]%2 == 0 {
				return f
			}
			return stand.FaultNone
		})
		r.after(s.Duration, func() { u.SetFault(nil) })
	}
	switch s.Kind {
	case "reset":
		u.relay.resetAll()
	case "silence":
		u.relay.silent.Store(true)
		r.after(s.Duration, func() { u.relay.silent.Store(false) })
	case "halfup":
		u.relay.up.Store(true)
		r.after(s.Duration, func() { u.relay.up.Store(false) })
	case "halfdown":
		u.relay.down.Store(true)
		r.after(s.Duration, func() { u.relay.down.Store(false) })
	case "delay":
		u.relay.delay.Store(int64(s.Duration / 20))
		r.after(s.Duration, func() { u.relay.delay.Store(0) })
	case "drain":
		r.drain(u)
	case "reborn":
		r.reborn(u)
	default:
		fault(stand.Fault(s.Kind))
	}
}

// drain lets an upstream leave and come back, and checks that nothing reaches it
// in between.
func (r *runner) drain(u *upstream) {
	if u.leaving.Swap(true) {
		return // The end of the first drain would end the second one.
	}
	r.store.Put(u.Key(), u.Entry("draining"))
	from := time.Now()
	replica := u.Replica
	r.after(applyTime+outerTime+time.Second, func() {
		for _, run := range replica.Runs() {
			if late := run.Started.Sub(from); late > applyTime+outerTime && !r.wasPaused(run.Started) {
				r.violate("drain", "%s ran %s %v after it was draining", replica.ID, run.ID, late)
			}
		}
		u.leaving.Store(false)
		r.store.Put(replica.Key(), replica.Entry("ready"))
	})
}

// reborn restarts an upstream under its id.
func (r *runner) reborn(u *upstream) {
	if u.leaving.Load() {
		return // It would come back as ready in the middle of its drain.
	}
	old := u.Replica
	old.Close()
	u.relay.resetAll()
	next, err := stand.NewReplica(old.ID, service, "zone-a", u.real)
	if err != nil {
		r.violate("soak", "%s did not start again: %v", old.ID, err)
		return
	}
	next.Address, next.Events = old.Address, old.Events
	u.past = append(u.past, old.Runs()...)
	u.Replica = next
	r.store.Put(next.Key(), next.Entry("ready"))
}

func (r *runner) injectStore(s ScheduledFault) {
	f := stand.StoreFaults{}
	switch s.Kind {
	case "busy":
		f.Busy = true
	case "down":
		f.Silent = true
	case "broken":
		f.Reset = true
	case "slow":
		f.Slow = s.Duration / 4
	case "forget":
		r.disturb(-1, 0)
		r.store.Forget()
		return
	case "unreadable":
		r.store.Put("op/config", []byte("{"))
		r.store.Put("servers/other", []byte("no entry"))
		// The store refuses unreadable configurations, so one that slipped in is soon
		// written over.
		time.Sleep(unreadableTime)
		r.store.Put("op/config", r.config())
		return
	case "config":
		r.change()
		return
	case "older":
		r.older()
		return
	}
	r.disturb(-1, s.Duration)
	r.store.SetFaults(f)
	r.after(s.Duration, func() { r.store.SetFaults(stand.StoreFaults{}) })
}

// change adds a route and checks that calm entries know it in time.
func (r *runner) change() {
	r.version += 1 + r.o.Seed%3
	route := stand.Route{Host: host, Prefix: fmt.Sprintf("/v%d/", r.version), Kind: "idempotent", Service: service, Timeout: time.Second, Attempts: 2}
	r.added = append(r.added, route)
	r.store.Put("op/config", r.config())
	from := time.Now()
	r.mu.Lock()
	kind := fmt.Sprintf("v%d", r.version)
	r.mu.Unlock()
	r.after(applyTime, func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for i := range r.entries {
			if r.isCalm(i, from, time.Now()) && r.probe(client, i, route) == http.StatusNotFound {
				r.violate("config", "entry %d does not know route %s %v after it was written", i, kind, applyTime)
			}
		}
	})
}

// older writes a version that was in force before and checks that no entry goes
// back to it.
func (r *runner) older() {
	if len(r.added) == 0 {
		return
	}
	route := r.added[len(r.added)-1]
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var known []int
	for i := range r.entries {
		if r.probe(client, i, route) != http.StatusNotFound && r.isCalm(i, time.Now(), time.Now()) {
			known = append(known, i)
		}
	}
	r.store.Put("op/config", stand.Config(1, r.basic(), []string{service}, map[string][]string{"team": {apiKey}}))
	from := time.Now()
	time.Sleep(300 * time.Millisecond)
	for _, i := range known {
		if r.probe(client, i, route) == http.StatusNotFound && r.isCalm(i, from, time.Now()) {
			r.violate("backwards", "entry %d went back to an older configuration", i)
		}
	}
	r.store.Put("op/config", r.config())
}

// probe asks for a route and returns the status. It is no caller's request, so
// it is sent without being kept in the history.
func (r *runner) probe(client *http.Client, entry int, route stand.Route) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%sx", r.entries[entry].ip, portListen, route.Prefix), nil)
	if err != nil {
		return 0
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// recover heals everything and checks that all is served again.
func (r *runner) recover() {
	r.store.SetFaults(stand.StoreFaults{})
	for _, p := range r.entries {
		p.store.heal()
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
	}
	for _, u := range r.upstreams {
		u.relay.heal()
		u.SetFault(nil)
		r.store.Put(u.Key(), u.Entry("ready"))
	}
	r.version++
	r.store.Put("op/config", r.config())
	time.Sleep(applyTime)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range r.entries {
		if !r.waitReady(i, recoverTime) {
			r.violate("recover", "entry %d is not ready %v after the last fault", i, recoverTime)
			continue
		}
		good := 0
		const tries = 20
		for n := range tries {
			if a := r.send(client, i, "read", fmt.Sprintf("ff%02x%04x", i, n), r.routes["read"], false); a.status == http.StatusOK {
				good++
			}
		}
		if good < tries*9/10 {
			r.violate("recover", "entry %d served %d of %d after the last fault", i, good, tries)
		}
		for _, route := range r.added {
			if status := r.probe(client, i, route); status == http.StatusNotFound {
				r.violate("config", "entry %d does not know route %s in the end", i, route.Prefix)
			}
		}
	}
}
