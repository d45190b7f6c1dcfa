package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// smallReceiveBytes is the receive buffer of every second upstream.
	smallReceiveBytes = 64 << 10
	// lateUploads is the number of large bodies that are sent while an upstream reads late.
	lateUploads = 8
)

// readerKinds are faults in how upstreams read: one leaves the rest of large bodies unread for a time,
// while it answers small requests.
var readerKinds = []string{"readlate"}

// receiveBytesOf returns the receive buffer of an upstream; 0 for the system's.
func receiveBytesOf(upstream int) int {
	if upstream%2 == 0 {
		return 0
	}
	return smallReceiveBytes
}

// NewReaders draws the faults of a run in how upstreams read, from a random source of their own.
func NewReaders(seed uint64, duration time.Duration, upstreams int) []ScheduledFault {
	random := rand.New(rand.NewPCG(seed, 18))
	var plan []ScheduledFault
	for at := time.Duration(1000+random.IntN(2000)) * time.Millisecond; at < duration; at += time.Duration(2000+random.IntN(4000)) * time.Millisecond {
		plan = append(plan, ScheduledFault{
			Offset: at, Kind: readerKinds[random.IntN(len(readerKinds))], Target: random.IntN(upstreams),
			Duration: time.Duration(500+random.IntN(9500)) * time.Millisecond,
		})
	}
	return plan
}

// injectReaders makes upstreams read late while large bodies come.
func (r *runner) injectReaders() {
	begin := time.Now()
	var uploads sync.WaitGroup
	for n, s := range NewReaders(r.opts.Seed, r.opts.FaultDuration, len(r.upstreams)) {
		time.Sleep(time.Until(begin.Add(s.Offset)))
		r.countFault(s)
		relay := r.upstreams[s.Target].relay
		relay.readsLate.Store(true)
		r.runAfter(s.Duration, func() { relay.readsLate.Store(false) })
		for i := range lateUploads {
			uploads.Go(func() { r.upload(i%len(r.entries), fmt.Sprintf("lr%02x%04x", n, i)) })
		}
	}
	uploads.Wait()
}
