package soak

import (
	"sync"
	"syscall"
	"time"
)

// seriesLength is the number of steps of a series of signals or changes.
const seriesLength = 3

// injectSeries injects the events in series, beside the faults of the plan.
func (r *runner) injectSeries() {
	begin := time.Now()
	for _, s := range NewSeries(r.opts.Seed, r.opts.FaultDuration, len(r.entries), len(r.upstreams)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		switch s.Kind {
		case "terms":
			r.stopTwo(s)
		case "hups":
			r.hangUp(s)
		case "changes":
			r.changeInSeries(s.Duration / seriesLength)
		case "leave":
			r.leave(r.upstreams[s.Target])
		case "silent":
			r.changeAfterSilence(s)
		}
	}
}

// stopTwo stops and starts two entries, the second one during the stop of the first.
func (r *runner) stopTwo(s ScheduledFault) {
	var stops sync.WaitGroup
	for i := range 2 {
		target := (s.Target + i) % len(r.entries)
		delay := time.Duration(i) * s.Duration / 2
		r.recordDisturbance(target, delay+stopGracePeriod+time.Second)
		stops.Go(func() {
			time.Sleep(delay)
			r.restartEntry(r.entries[target], true)
		})
	}
	stops.Wait()
}

// hangUp sends SIGHUP to an entry again and again.
func (r *runner) hangUp(s ScheduledFault) {
	p := r.entries[s.Target]
	for range seriesLength {
		p.restarting.Lock()
		if p.isListening() {
			_ = p.cmd.Process.Signal(syscall.SIGHUP) // It may have ended already.
		}
		p.restarting.Unlock()
		time.Sleep(s.Duration / seriesLength)
	}
}

// changeInSeries changes the configuration again and again.
func (r *runner) changeInSeries(interval time.Duration) {
	for range seriesLength {
		r.changing.Lock()
		r.addRoute()
		r.changing.Unlock()
		time.Sleep(interval)
	}
}

// leave removes the registration of an upstream that never says that it drains.
func (r *runner) leave(u *upstream) {
	r.takeOut(u, true)
}

// changeAfterSilence keeps the store silent. At its return the configuration changes and
// an upstream leaves.
func (r *runner) changeAfterSilence(s ScheduledFault) {
	r.injectStore(ScheduledFault{Kind: "down", Duration: s.Duration})
	time.Sleep(s.Duration + 50*time.Millisecond)
	r.changeInSeries(0)
	r.leave(r.upstreams[s.Target])
}
