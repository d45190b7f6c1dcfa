package main

import "time"

const (
	heartbeat = 1200 * time.Millisecond
	// crashDowntime is how long a crashed replica is away.
	crashDowntime = 2 * time.Second
)

// ledgerReplica returns a replica of the plain service.
func ledgerReplica(id string) *replica {
	return &replica{id: id, service: "permit-ledger", slots: 6, queue: 24, work: func(string) time.Duration { return ledgerWork }, downtime: crashDowntime}
}

func (w *world) replicaAt(n int) *replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replicas[n]
}

// renew crashes a replica and starts another one at its address. The store drops the
// registration of the first after three heartbeats.
func (w *world) renew(old *replica, id string) {
	if !old.fall() {
		return
	}
	time.Sleep(crashDowntime)
	next := ledgerReplica(id)
	next.service, next.address, next.deadly = old.service, old.address, old.deadly
	if old.renew != nil {
		next.renew = func() { w.renew(next, id+"x") }
	}
	if err := w.addReplica(next); err != nil {
		w.rec.say("no replica at %s again: %v", old.address, err)
	}
	time.Sleep(3*heartbeat - crashDowntime)
	w.store.Delete("servers/" + old.id)
}
