package tests

import (
	"maps"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// TestConfigInForce guards against an added route or key that is refused, a removed one that is
// served, and a version in force that goes back (CONFIG, DENIED, issue 57), at entries that are
// processes of their own while the store and the entries fail; and against a refusal that the
// entry's own log does not explain.
func TestConfigInForce(t *testing.T) {
	tests := map[string]func(d *configDrill){
		"no fault": func(d *configDrill) {
			for range 4 {
				d.write()
				time.Sleep(700 * time.Millisecond)
			}
		},
		"the store returns at once, copy 1s old": func(d *configDrill) {
			d.lose(time.Second, 0, lostWrites)
			d.writeAgain()
		},
		"the store returns after 0.4s, copy 1s old, a higher version right after": func(d *configDrill) {
			d.lose(time.Second, 400*time.Millisecond, lostWrites)
			d.writeAgain()
			d.write()
		},
		"the store returns after 1s, copy 3s old": func(d *configDrill) {
			d.lose(3*time.Second, time.Second, lostWrites)
			d.writeAgain()
		},
		"the store returns after 3s, copy 5s old": func(d *configDrill) {
			d.lose(5*time.Second, 3*time.Second, lostWrites)
			d.writeAgain()
		},
		"the store returns, a higher version in place of the lost one": func(d *configDrill) {
			d.lose(3*time.Second, 0, lostWrites)
			d.write()
			time.Sleep(time.Second)
			d.write()
		},
		"the store returns, the lost version is written again later": func(d *configDrill) {
			d.lose(3*time.Second, 400*time.Millisecond, lostWrites)
			time.Sleep(1500 * time.Millisecond)
			d.writeAgain()
		},
		"the store returns three times": func(d *configDrill) {
			for i, away := range []time.Duration{0, 400 * time.Millisecond, time.Second} {
				d.lose(time.Duration(1+i)*time.Second, away, lostWrites)
				d.writeAgain()
				d.write()
				time.Sleep(300 * time.Millisecond)
			}
		},
		"the store returns with its counter far below": func(d *configDrill) {
			d.lose(time.Second, 400*time.Millisecond, 2000)
			d.writeAgain()
			time.Sleep(time.Second)
			d.write()
		},
		"the store returns, the counter is equal at the version": func(d *configDrill) {
			c := d.store.Copy()
			d.write()
			d.count(lostWrites)
			time.Sleep(time.Second)
			lost := d.store.Revision()
			d.comeBack(c, 400*time.Millisecond)
			d.count(lost - d.store.Revision() - 1)
			d.write()
		},
		"the store returns, the counter passes at once": func(d *configDrill) {
			d.lose(time.Second, 0, lostWrites)
			d.writeAgain()
			d.count(2 * lostWrites)
			d.write()
		},
		"the store returns while all entries are killed": func(d *configDrill) {
			c := d.store.Copy()
			d.count(lostWrites)
			d.write()
			time.Sleep(time.Second)
			d.restartAll(syscall.SIGKILL)
			d.comeBack(c, 400*time.Millisecond)
			d.writeAgain()
			d.write()
		},
		"the store returns while an entry stands still": func(d *configDrill) {
			c := d.store.Copy()
			d.count(lostWrites)
			d.write()
			time.Sleep(time.Second)
			d.pause(1, 2*time.Second)
			d.comeBack(c, 400*time.Millisecond)
			d.writeAgain()
			d.write()
		},
		"the store returns, then two entries are killed": func(d *configDrill) {
			d.lose(time.Second, 400*time.Millisecond, lostWrites)
			d.writeAgain()
			time.Sleep(500 * time.Millisecond)
			for _, i := range []int{1, 3} {
				d.tasks.Go(func() { d.restart(i, syscall.SIGKILL) })
			}
			time.Sleep(500 * time.Millisecond)
			d.write()
		},
		"the store returns, then two entries get SIGTERM": func(d *configDrill) {
			d.lose(time.Second, 400*time.Millisecond, lostWrites)
			d.writeAgain()
			d.write()
			for _, i := range []int{0, 2} {
				d.tasks.Go(func() { d.restart(i, syscall.SIGTERM) })
			}
			time.Sleep(500 * time.Millisecond)
			d.write()
		},
		"the store returns while it does not answer two entries": func(d *configDrill) {
			const length = contactTime + applyTime + skewTime + 4*time.Second
			d.turnAway(stand.StoreFaults{NoResponse: true}, length, 0, 1)
			d.lose(time.Second, 0, lostWrites)
			d.writeAgain()
			d.write()
			time.Sleep(contactTime + 200*time.Millisecond)
			d.write()
			time.Sleep(applyTime + skewTime + time.Second)
		},
		"the store is away for 3s as all entries are killed, and returns": func(d *configDrill) {
			c := d.store.Copy()
			d.count(lostWrites)
			d.write()
			time.Sleep(time.Second)
			d.tasks.Go(func() {
				time.Sleep(200 * time.Millisecond)
				d.restartAll(syscall.SIGKILL)
			})
			d.comeBack(c, 3*time.Second)
			d.writeAgain()
			d.write()
		},
		"entries that the store does not answer are killed": func(d *configDrill) {
			d.turnAway(stand.StoreFaults{NoResponse: true}, contactTime+applyTime+skewTime+2*time.Second, 0, 1)
			time.Sleep(300 * time.Millisecond)
			d.tasks.Go(func() { d.restart(0, syscall.SIGKILL) })
			d.write()
			time.Sleep(time.Second)
			d.tasks.Go(func() { d.restart(1, syscall.SIGTERM) })
			d.write()
			time.Sleep(contactTime)
			d.write()
			time.Sleep(applyTime + skewTime)
		},
		"the store does not answer two entries": func(d *configDrill) { d.turnAwayWhileWriting(stand.StoreFaults{NoResponse: true}, 0, 1) },
		"the store answers two entries 503":     func(d *configDrill) { d.turnAwayWhileWriting(stand.StoreFaults{Busy: true}, 1, 2) },
		"the store resets two entries":          func(d *configDrill) { d.turnAwayWhileWriting(stand.StoreFaults{Reset: true}, 2, 3) },
		"the store does not answer three":       func(d *configDrill) { d.turnAwayWhileWriting(stand.StoreFaults{NoResponse: true}, 0, 1, 2) },
		"the store is silent, then a version": func(d *configDrill) {
			for _, length := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
				d.write()
				d.fail(stand.StoreFaults{NoResponse: true}, length)
				d.write()
			}
		},
		"the store is slow": func(d *configDrill) {
			d.tasks.Go(func() { d.fail(stand.StoreFaults{Delay: 500 * time.Millisecond}, 4*time.Second) })
			d.writeEach(700*time.Millisecond, 6)
		},
		"the history is dropped": func(d *configDrill) {
			for range 6 {
				d.write()
				d.dropHistory()
				time.Sleep(150 * time.Millisecond)
				d.dropHistory()
				d.write()
				time.Sleep(400 * time.Millisecond)
			}
		},
		"entries are killed as a version is written": func(d *configDrill) {
			for i := range 5 {
				d.tasks.Go(func() { d.restart(i%drillEntries, syscall.SIGKILL) })
				d.write()
				time.Sleep(900 * time.Millisecond)
			}
		},
		"entries get SIGTERM as a version is written": func(d *configDrill) {
			for i := range 5 {
				d.tasks.Go(func() { d.restart(i%drillEntries, syscall.SIGTERM) })
				d.write()
				time.Sleep(900 * time.Millisecond)
			}
		},
		"all entries are killed": func(d *configDrill) {
			d.write()
			d.restartAll(syscall.SIGKILL)
			d.write()
			time.Sleep(2 * time.Second)
			d.restartAll(syscall.SIGKILL)
		},
		"entries stand still": func(d *configDrill) {
			for i, length := range []time.Duration{200 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
				d.pause(i, length)
				d.write()
				time.Sleep(600 * time.Millisecond)
				d.write()
			}
		},
		"a storm of versions": func(d *configDrill) { d.writeEach(100*time.Millisecond, 20) },
		"a storm of versions while entries are killed and stand still": func(d *configDrill) {
			d.pause(0, 1500*time.Millisecond)
			d.tasks.Go(func() { d.restart(1, syscall.SIGKILL) })
			d.tasks.Go(func() { d.restart(2, syscall.SIGTERM) })
			d.writeEach(100*time.Millisecond, 20)
		},
		"a growing configuration": func(d *configDrill) {
			for range 8 {
				d.grow(500)
				d.writeEach(400*time.Millisecond, 2)
			}
		},
		"a large configuration, the store returns, entries are killed": func(d *configDrill) {
			d.grow(4000)
			d.write()
			time.Sleep(time.Second)
			d.lose(time.Second, 400*time.Millisecond, lostWrites)
			d.writeAgain()
			d.restartAll(syscall.SIGKILL)
			d.write()
		},
	}
	row := 0
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		row++
		n := row
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newConfigDrill(t, n, drillProgram(t, strings.Contains(name, "configuration")))
			h := d.finish(tests[name])
			broken := h.judge()
			t.Log(h.summary(broken))
			if os.Getenv(drillBinary) == "" {
				d.checkLines(h)
			}
			d.report(broken)
		})
	}
}

// drillProgram returns the program of a drill. Under the race detector, the processor would be busy
// with a large configuration for longer than the time bounds.
func drillProgram(t *testing.T, large bool) string {
	t.Helper()
	if other := os.Getenv(drillBinary); other != "" {
		return other
	}
	if !large {
		return binary
	}
	path, err := plainBinary()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// lostWrites is the number of writes of others that the store loses.
const lostWrites = 50

// lose makes the store come back from a copy, and writes versions and others in the time that it
// loses.
func (d *configDrill) lose(age, away time.Duration, others uint64) {
	c := d.store.Copy()
	d.write()
	d.count(others)
	time.Sleep(age / 2)
	d.write()
	time.Sleep(age / 2)
	d.comeBack(c, away)
	d.register()
}

// turnAwayWhileWriting adds routes while the store turns some entries away.
func (d *configDrill) turnAwayWhileWriting(f stand.StoreFaults, entries ...int) {
	const length = applyTime + skewTime + 2*time.Second
	d.turnAway(f, length, entries...)
	time.Sleep(300 * time.Millisecond)
	d.write()
	time.Sleep(time.Second)
	d.write()
	time.Sleep(length - time.Second)
}

// writeEach writes a number of versions, one in each interval.
func (d *configDrill) writeEach(interval time.Duration, versions int) {
	for range versions {
		d.write()
		time.Sleep(interval)
	}
}

// restartAll stops all entries at once and starts them again.
func (d *configDrill) restartAll(s syscall.Signal) {
	for i := range d.entries {
		d.tasks.Go(func() { d.restart(i, s) })
	}
	time.Sleep(100 * time.Millisecond)
}
