package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	deadlyDuration = 98 * time.Second
	// A request that crashes replicas comes again after deadlyInterval at the ledger, and
	// after rareInterval at the archive, which has no other requests.
	deadlyInterval = 2500 * time.Millisecond
	rareInterval   = 8 * time.Second
	// maxRetries is the number of retries that may still reach replicas later than
	// contactTimeout after the third crash.
	maxRetries = 3
)

// deadlyRequest lets a request crash the replicas that run it, and come again, at two
// services: a busy ledger whose two replicas start again under their ids, and an archive
// without other requests whose three replicas come back with new ids. It checks BUDGET.
func deadlyRequest(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	for _, id := range []string{"i-ledger1", "i-ledger2", "i-archive1", "i-archive2", "i-archive3"} {
		r := ledgerReplica(id)
		r.deadly = func(path string) bool { return strings.HasSuffix(path, "/deadly") }
		if strings.HasPrefix(id, "i-archive") {
			r.service = "permit-archive"
			r.renew = func() { w.renew(r, r.id+"x") }
		}
		if err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	doc := ledgerConfig()
	archive := doc.Routes[0]
	archive.Name, archive.Prefix, archive.Service = "permit-archive", "/archive/", "permit-archive"
	doc.Routes = append(doc.Routes, archive)
	doc.Services = append(doc.Services, service{Name: "permit-archive", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"})
	if _, err := w.putConfig(doc); err != nil {
		return false, err
	}
	if err := w.startEntries(4); err != nil {
		return false, err
	}
	seen := &attempts{rec: rec}
	var clients sync.WaitGroup
	end := time.Now().Add(deadlyDuration)
	for i := range 8 {
		clients.Go(func() {
			c := &channel{address: w.entries[i%len(w.entries)].front}
			defer c.close()
			for time.Now().Before(end) {
				seen.add(c.send(issueSpec()))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	repeat := func(kind, path string, interval time.Duration) {
		clients.Go(func() {
			at := time.Now().Add(interval)
			for n := 0; at.Before(end); n++ {
				time.Sleep(time.Until(at))
				at = at.Add(interval)
				c := &channel{address: w.entries[n%len(w.entries)].front}
				seen.add(c.send(spec{id: newID(kind), method: http.MethodPost, path: path, key: "office-key", limit: 1500 * time.Millisecond, body: []byte("deadly")}))
				c.close()
			}
		})
	}
	if trouble {
		repeat("deadly", "/issue/deadly", deadlyInterval)
		repeat("rare", "/archive/deadly", rareInterval)
	}
	clients.Wait()
	ledger := judgeDeadly(w, "permit-ledger", "deadly")
	rare := judgeDeadly(w, "permit-archive", "rare")
	lost := 0
	for _, a := range seen.all() {
		if strings.HasPrefix(a.id, "issue") && a.status != http.StatusOK {
			lost++
		}
	}
	rec.say("answers %v, late retries at the ledger %d, at the archive %d, other requests not served %d", seen.statuses(), ledger, rare, lost)
	return ledger > maxRetries || rare > maxRetries, nil
}

// judgeDeadly returns how many retries of a deadly request reached replicas of a service later
// than contactTimeout after the third crash.
func judgeDeadly(w *world, service, kind string) int {
	var crashes []time.Time
	var runs []run
	w.mu.Lock()
	replicas := slices.Clone(w.replicas)
	w.mu.Unlock()
	for _, r := range replicas {
		if r.service != service {
			continue
		}
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
		for _, x := range r.allRuns() {
			if strings.HasPrefix(x.id, kind) {
				runs = append(runs, x)
			}
		}
	}
	late := 0
	if len(crashes) >= 3 {
		slices.SortFunc(crashes, time.Time.Compare)
		for _, x := range runs {
			if x.at.After(crashes[2].Add(contactTimeout)) {
				late++
				w.rec.say("BUDGET: %s reached %s %.1f s after the third crash", x.id, x.replica, x.at.Sub(crashes[2]).Seconds())
			}
		}
	}
	w.rec.say("%s: %d crashes", service, len(crashes))
	return late
}
