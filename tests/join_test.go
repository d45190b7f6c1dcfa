package tests

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactustide/platform/stand"
)

const (
	// joinEntries and joinUpstreams are their numbers in TestKilledTogether.
	joinEntries   = 9
	joinUpstreams = 12
	// joinPrefix and "x" is the path that crashes upstreams, which are away for joinDowntime.
	joinPrefix   = "/moved/deadly"
	joinDowntime = 250 * time.Millisecond
)

// deadlyArrivals returns the number of requests for the deadly path that reached upstreams after a time.
func (d *configDrill) deadlyArrivals(after time.Time) int {
	n := 0
	for _, u := range d.upstreams {
		for _, x := range u.ExecutedRequests() {
			if x.RequestURI == joinPrefix+"x" && x.Started.After(after) {
				n++
			}
		}
	}
	return n
}

// crashes returns when upstreams crashed, in order.
func (d *configDrill) crashes() []time.Time {
	var times []time.Time
	for _, u := range d.upstreams {
		times = append(times, u.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// TestKilledTogether guards against entries, as processes, that are killed together and forget which request
// crashes upstreams, though the others know it (BUDGET, "herd kills" of the third review).
func TestKilledTogether(t *testing.T) {
	tests := map[string]struct {
		killed int
		signal syscall.Signal
		// wait is the time from the kill to the copies; zero: they come from the first moment on.
		wait time.Duration
	}{
		"none":                                {wait: time.Second},
		"1 of 9":                              {killed: 1, signal: syscall.SIGKILL},
		"4 of 9":                              {killed: 4, signal: syscall.SIGKILL},
		"5 of 9":                              {killed: 5, signal: syscall.SIGKILL},
		"5 of 9, copies after 5 s":            {killed: 5, signal: syscall.SIGKILL, wait: 5 * time.Second},
		"8 of 9":                              {killed: 8, signal: syscall.SIGKILL},
		"8 of 9, copies after 5 s":            {killed: 8, signal: syscall.SIGKILL, wait: 5 * time.Second},
		"5 of 9 get SIGTERM":                  {killed: 5, signal: syscall.SIGTERM},
		"8 of 9 get SIGTERM, copies after 5s": {killed: 8, signal: syscall.SIGTERM, wait: 5 * time.Second},
	}
	row := 100
	for name, test := range tests {
		row++
		n := row
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newConfigDrill(t, n, drillProgram(t, false))
			close(d.stop)
			d.callers.Wait()
			for i := drillEntries; i < joinEntries; i++ {
				d.addEntry(i, d.entries[0].ip[:len(d.entries[0].ip)-1])
			}
			for i := len(d.upstreams); i < joinUpstreams; i++ {
				u, err := stand.NewReplica(fmt.Sprint("u-desk-", i), "desk", "zone-a", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				d.upstreams = append(d.upstreams, u)
			}
			for _, u := range d.upstreams {
				d.store.Put(u.StoreKey(), u.Registration("ready"))
				u.SetDeadly(joinPrefix+"x", joinDowntime, func() { d.store.Put(u.StoreKey(), u.Registration("ready")) })
			}
			for i := range d.entries {
				d.waitReady(i)
			}
			time.Sleep(time.Second) // All entries know all upstreams and each other.
			client := newDrillClient()
			defer client.CloseIdleConnections()
			for i := 0; len(d.crashes()) < 3 && i < 12; i++ {
				d.probe(client, drillProbe{entry: i % joinEntries, prefix: joinPrefix, key: drillKey})
				time.Sleep(400 * time.Millisecond)
			}
			crashes := d.crashes()
			if len(crashes) < 3 {
				t.Fatalf("got %d crashes, want 3", len(crashes))
			}
			time.Sleep(time.Second) // All entries have heard of them.
			for i := range test.killed {
				d.tasks.Go(func() { d.restart(i, test.signal) })
			}
			killedAt := time.Now()
			d.tasks.Wait()
			var sending sync.WaitGroup
			for i := range d.entries {
				sending.Go(func() {
					d.waitReady(i)
					time.Sleep(time.Until(killedAt.Add(test.wait)))
					client := newDrillClient()
					defer client.CloseIdleConnections()
					d.probe(client, drillProbe{entry: i, prefix: joinPrefix, key: drillKey})
				})
			}
			sending.Wait()
			if late := d.deadlyArrivals(crashes[2]); late > 3 {
				t.Errorf("got %d requests at upstreams after the third crash, want at most 3", late)
			}
		})
	}
}
