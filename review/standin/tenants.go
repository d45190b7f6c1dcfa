package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// applyTimeout is config-apply-ms of the small sites.
	applyTimeout = 2 * time.Second
	revokeGap    = 400 * time.Millisecond
	probes       = 20
)

// noTenants takes all keys of the only tenant away, one after the other, and the tenant with
// its last key. It checks ROUTE and CONFIG: no request with a key that was never in force or
// is not in force any more may run.
func noTenants(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	for i := range 3 {
		r := &replica{id: fmt.Sprintf("i-%04d", i+1), service: "permit-ledger", slots: 6, queue: 24, work: func(string) time.Duration { return 20 * time.Millisecond }}
		if err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	doc := ledgerConfig()
	keys := []string{"office-key-1", "office-key-2", "office-key-3"}
	doc.Tenants = []tenant{{Name: "office", Keys: keys}}
	if _, err := w.putConfig(doc); err != nil {
		return false, err
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	seen := &attempts{rec: rec}
	ask := func(key string) {
		for i := range probes {
			s := issueSpec()
			s.key = key
			c := &channel{address: w.entries[i%2].front}
			seen.add(c.send(s))
			c.close()
		}
	}
	ask("a-key-that-never-was")
	ask(keys[2])
	if trouble {
		for n := 1; n <= len(keys); n++ {
			doc.Version++
			doc.Tenants = []tenant{{Name: "office", Keys: keys[n:]}}
			if n == len(keys) {
				doc.Tenants = []tenant{}
			}
			if _, err := w.putConfig(doc); err != nil {
				return false, err
			}
			rec.add("operator writes version %d: tenants %v", doc.Version, doc.Tenants)
			time.Sleep(revokeGap)
		}
	}
	time.Sleep(applyTimeout + 500*time.Millisecond)
	before := len(seen.all())
	ask("a-key-that-never-was")
	if trouble {
		ask(keys[2])
	}
	ran := map[string]string{}
	for _, r := range w.replicas {
		for _, x := range r.allRuns() {
			ran[x.id] = fmt.Sprintf("%s with tenant %q", x.replica, x.tenant)
		}
	}
	wrong := 0
	for i, a := range seen.all() {
		if where, ok := ran[a.id]; ok && (i < probes || i >= before) {
			wrong++
			rec.say("ROUTE: %s ran at %s and was answered %d", a.id, where, a.status)
		}
	}
	rec.say("answers %v, requests with no key in force that ran %d", seen.statuses(), wrong)
	return wrong > 0 && seen.statuses()[http.StatusOK] > 0, nil
}
