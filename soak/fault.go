package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

// invalidConfigDuration is how long an unreadable configuration stays in the store.
const invalidConfigDuration = 300 * time.Millisecond

// reopenTimeout bounds the time until an upstream that restarts has its port again.
const reopenTimeout = time.Second

// injectPlan injects the faults of the plan.
func (r *runner) injectPlan() {
	plan := NewPlan(r.opts.Seed, r.opts.FaultDuration, len(r.entries), len(r.upstreams))
	var lines []string
	for _, s := range plan {
		lines = append(lines, s.String())
	}
	if err := os.WriteFile(filepath.Join(r.opts.Dir, "plan.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		fmt.Fprintln(r.opts.Out, "soak: cannot write the plan:", err)
	}
	begin := time.Now()
	for _, s := range plan {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		r.inject(s)
	}
	time.Sleep(time.Until(begin.Add(r.opts.FaultDuration)))
}

func (r *runner) countFault(s ScheduledFault) {
	r.mu.Lock()
	r.faultCounts[s.Kind]++
	r.mu.Unlock()
	fmt.Fprintf(r.historyLog, "%s fault %s\n", time.Now().Format("05.000"), s)
}

// runAfter runs a task in the background after a delay.
func (r *runner) runAfter(d time.Duration, task func()) {
	r.delayedTasks.Go(func() {
		time.Sleep(d)
		task()
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

func (r *runner) injectEntry(s ScheduledFault, p *entryProcess) {
	switch s.Kind {
	case "kill", "term":
		r.recordDisturbance(s.Target, s.Duration+stopGracePeriod+time.Second)
		r.restartEntry(p, s.Kind == "term")
	case "pause":
		r.recordDisturbance(s.Target, s.Duration)
		r.mu.Lock()
		r.pauses = append(r.pauses, disturbance{from: time.Now(), to: time.Now().Add(s.Duration), entry: s.Target})
		r.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // It may have ended already.
		cmd := p.cmd
		r.runAfter(s.Duration, func() { _ = cmd.Process.Signal(syscall.SIGCONT) })
	case "hup":
		// A signal that arrives before the program's first instruction cannot be caught. On
		// a busy machine or in a paused process, that instruction may be late.
		if p.isListening() {
			_ = p.cmd.Process.Signal(syscall.SIGHUP) // It may have ended already.
		}
	case "storereset":
		r.recordDisturbance(s.Target, 0)
		p.storeRelay.resetAll()
	case "storecut":
		r.recordDisturbance(s.Target, s.Duration)
		p.storeRelay.stalled.Store(true)
		r.runAfter(s.Duration, func() { p.storeRelay.stalled.Store(false) })
	case "storedelay":
		r.recordDisturbance(s.Target, s.Duration)
		p.storeRelay.delay.Store(int64(s.Duration / 20))
		r.runAfter(s.Duration, func() { p.storeRelay.delay.Store(0) })
	}
}

// restartEntry stops an entry, gracefully or at once, and starts it again.
func (r *runner) restartEntry(p *entryProcess, graceful bool) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	begin := time.Now()
	r.stopEntry(p, graceful)
	r.mu.Lock()
	r.stops = append(r.stops, disturbance{from: begin, to: time.Now(), entry: slices.Index(r.entries, p)})
	r.mu.Unlock()
	if err := r.spawn(p); err != nil {
		r.reportViolation("start", "%s did not restart: %v", p.name, err)
	}
}

// isListening reports whether the entry accepts connections. A paused one still does.
func (p *entryProcess) isListening() bool {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, portReady), dialTimeout)
	if err != nil {
		return false
	}
	_ = c.Close() // Nothing was sent.
	return true
}

// stopEntry stops an entry, gracefully or at once, and waits for its exit.
func (r *runner) stopEntry(p *entryProcess, graceful bool) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
	if graceful {
		begin := time.Now()
		stalls := watchStalls()
		defer stalls.close()
		pid := p.cmd.Process.Pid
		waitsBefore := processorWaits(pid)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
			return
		case <-time.After(stopGracePeriod):
			// A process that is paused cannot stop.
			if !r.wasEntryPaused(p, begin, time.Now()) {
				r.reportViolation("stop", "%s still ran %v after SIGTERM; state %q, a thread of it waited %v for a processor; this process itself was kept waiting for up to %v meanwhile",
					p.name, stopGracePeriod, processState(pid), longestWait(waitsBefore, processorWaits(pid)), stalls.longest())
			}
		}
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (r *runner) injectUpstream(s ScheduledFault, u *upstream) {
	setFault := func(f stand.Fault) {
		u.SetFault(func(id string) stand.Fault {
			if id[len(id)-1]%2 == 0 {
				return f
			}
			return stand.FaultNone
		})
		r.runAfter(s.Duration, func() { u.SetFault(nil) })
	}
	switch s.Kind {
	case "reset":
		u.relay.resetAll()
	case "silence":
		u.relay.stalled.Store(true)
		r.runAfter(s.Duration, func() { u.relay.stalled.Store(false) })
	case "halfup":
		u.relay.upStalled.Store(true)
		r.runAfter(s.Duration, func() { u.relay.upStalled.Store(false) })
	case "halfdown":
		u.relay.downStalled.Store(true)
		r.runAfter(s.Duration, func() { u.relay.downStalled.Store(false) })
	case "delay":
		u.relay.delay.Store(int64(s.Duration / 20))
		r.runAfter(s.Duration, func() { u.relay.delay.Store(0) })
	case "drain":
		r.drain(u)
	case "reborn":
		r.restartUpstream(u)
	default:
		setFault(stand.Fault(s.Kind))
	}
}

// drain drains an upstream, later returns it to service, and checks that no request
// reaches it in between.
func (r *runner) drain(u *upstream) {
	r.takeOut(u, false)
}

// takeOut announces that an upstream leaves, later returns it to service, and checks that
// no request reaches it in between.
func (r *runner) takeOut(u *upstream, remove bool) {
	if u.draining.Swap(true) {
		return // The end of the first drain would end the second one.
	}
	u.gone.Store(remove)
	r.register(u)
	drainedAt := time.Now()
	replica := u.Replica
	r.runAfter(applyTimeout+disturbedApplyMargin+time.Second, func() {
		// Entries that have started since do not know of a drain that the store has lost.
		if again := time.Unix(0, u.announcedAt.Load()); again.After(drainedAt) {
			drainedAt = again
		}
		for _, run := range replica.ExecutedRequests() {
			if elapsed := run.Started.Sub(drainedAt); elapsed > applyTimeout+disturbedApplyMargin && !r.wasPaused(run.Started) {
				r.mu.Lock()
				r.lateRuns = append(r.lateRuns, lateRun{upstream: replica.ID, run: run, elapsed: elapsed})
				r.mu.Unlock()
			}
		}
		u.draining.Store(false)
		r.register(u)
	})
}

// register writes what an upstream says of itself.
func (r *runner) register(u *upstream) {
	switch {
	case !u.draining.Load():
		r.store.Put(u.StoreKey(), u.Registration("ready"))
	case u.gone.Load():
		r.store.Delete(u.StoreKey())
	default:
		r.store.Put(u.StoreKey(), u.Registration("draining"))
	}
}

// restartUpstream restarts an upstream under the same id.
func (r *runner) restartUpstream(u *upstream) {
	r.restartAs(u, "")
}

// restartAs restarts an upstream at the same address. With another release it has another id, and its
// streams last longer.
func (r *runner) restartAs(u *upstream, release string) {
	if u.draining.Load() {
		return // It would register as ready in the middle of its drain.
	}
	u.changing.Lock()
	defer u.changing.Unlock()
	old := u.Replica
	id, gap := old.ID, old.EventGap
	if release == "" {
		release = old.Version
	} else {
		name, _, _ := strings.Cut(old.ID, "+")
		id, gap = name+"+"+release, longEventGap
	}
	old.Close()
	u.relay.resetAll()
	next, err := stand.NewReplica(id, service, "zone-a", u.replicaAddress)
	for end := time.Now().Add(reopenTimeout); err != nil && time.Now().Before(end); {
		time.Sleep(acceptPause) // Another process may hold the port for a moment.
		next, err = stand.NewReplica(id, service, "zone-a", u.replicaAddress)
	}
	if err != nil {
		r.reportViolation("soak", "%s did not restart: %v", id, err)
		return
	}
	next.Address, next.EventCount, next.NamesVersion, next.Version, next.EventGap = old.Address, old.EventCount, true, release, gap
	u.earlierRuns = append(u.earlierRuns, old.ExecutedRequests()...)
	u.earlier = append(u.earlier, old)
	u.Replica = next
	if id != old.ID {
		r.store.Delete(old.StoreKey())
	}
	r.store.Put(next.StoreKey(), next.Registration("ready"))
}

func (r *runner) injectStore(s ScheduledFault) {
	f := stand.StoreFaults{}
	switch s.Kind {
	case "busy":
		f.Busy = true
	case "down":
		f.NoResponse = true
	case "broken":
		f.Reset = true
	case "slow":
		f.Delay = s.Duration / 4
	case "forget":
		r.recordDisturbance(-1, 0)
		r.store.Compact()
		return
	case "unreadable":
		r.changing.Lock()
		defer r.changing.Unlock()
		defer r.beginStoreBehind()()
		r.store.Put("op/config", []byte("{"))
		r.store.Put("servers/other", []byte("no entry"))
		// The platform's store rejects unreadable configurations, so one that got in is
		// soon overwritten.
		time.Sleep(invalidConfigDuration)
		r.store.Put("op/config", r.config())
		return
	case "config":
		r.changing.Lock()
		defer r.changing.Unlock()
		r.addRoute()
		return
	case "older":
		r.changing.Lock()
		defer r.changing.Unlock()
		r.writeOlderConfig()
		return
	}
	r.recordDisturbance(-1, s.Duration)
	r.store.SetFaults(f)
	r.runAfter(s.Duration, func() { r.store.SetFaults(stand.StoreFaults{}) })
}

// addRoute adds a route and checks that undisturbed entries apply it in time.
func (r *runner) addRoute() {
	r.version += 1 + r.opts.Seed%3
	route := stand.Route{Host: host, Prefix: fmt.Sprintf("/v%d/", r.version), Kind: "idempotent", Service: service, Timeout: time.Second, MaxAttempts: 2}
	r.addedRoutes = append(r.addedRoutes, route)
	r.store.Put("op/config", r.config())
	writtenAt := time.Now()
	r.mu.Lock()
	r.probed = append(r.probed, &probedRoute{Route: route, key: keyOf(route), added: writtenAt})
	name := fmt.Sprintf("v%d", r.version)
	r.mu.Unlock()
	r.runAfter(applyTimeout, func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for i := range r.entries {
			if r.wasUndisturbed(i, writtenAt, time.Now()) && r.probe(client, i, route) == http.StatusNotFound {
				r.reportViolation("config", "entry %d has not applied route %s %v after it was written", i, name, applyTimeout)
			}
		}
	})
}

// writeOlderConfig writes a version that was in force before and checks that no
// entry reverts to it.
func (r *runner) writeOlderConfig() {
	if len(r.addedRoutes) == 0 {
		return
	}
	route := r.addedRoutes[len(r.addedRoutes)-1]
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var upToDate []int
	for i := range r.entries {
		if r.probe(client, i, route) != http.StatusNotFound && r.wasUndisturbed(i, time.Now(), time.Now()) {
			upToDate = append(upToDate, i)
		}
	}
	defer r.beginStoreBehind()()
	r.store.Put("op/config", stand.EncodeConfig(1, r.initialRoutes(), []string{service}, map[string][]string{"team": {apiKey}}))
	writtenAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for _, i := range upToDate {
		if r.probe(client, i, route) == http.StatusNotFound && r.wasUndisturbed(i, writtenAt, time.Now()) {
			r.reportViolation("backwards", "entry %d reverted to an older configuration", i)
		}
	}
	r.store.Put("op/config", r.config())
}

// probe sends a request to a route and returns the status, 0 without a response. The
// request is not a caller's and is not recorded in the history.
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

// checkRecovery clears all faults and checks that all requests are served again.
func (r *runner) checkRecovery() {
	r.store.SetFaults(stand.StoreFaults{})
	for _, p := range r.entries {
		p.storeRelay.clearFaults()
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
	}
	for _, u := range r.upstreams {
		u.relay.clearFaults()
		u.SetFault(nil)
		u.SetRate("")
		r.store.Put(u.StoreKey(), u.Registration("ready"))
	}
	r.version++
	r.store.Put("op/config", r.config())
	time.Sleep(applyTimeout)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range r.entries {
		if !r.waitReady(i, recoveryTimeout) {
			r.reportViolation("recover", "entry %d is not ready %v after the last fault", i, recoveryTimeout)
			continue
		}
		served := 0
		const requests = 20
		for n := range requests {
			if ex := r.send(client, i, "read", fmt.Sprintf("ff%02x%04x", i, n), r.routes["read"], false); ex.status == http.StatusOK {
				served++
			}
		}
		if served < requests*9/10 {
			r.reportViolation("recover", "entry %d served %d of %d requests after the last fault", i, served, requests)
		}
		for _, route := range r.addedRoutes {
			if status := r.probe(client, i, route); status == http.StatusNotFound {
				r.reportViolation("config", "entry %d has not applied route %s at the end of the run", i, route.Prefix)
			}
		}
	}
}
