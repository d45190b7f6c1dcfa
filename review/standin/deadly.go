package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	deadlyDuration = 60 * time.Second
	deadlyInterval = 2500 * time.Millisecond
	deadlyDowntime = 2 * time.Second
	deadlyPath     = "/issue/deadly"
	// maxRetries is the number of retries that may still reach replicas later than
	// contactTimeout after the third crash.
	maxRetries = 3
)

// deadlyRequest lets one request crash the replicas that run it, and come again, while the
// replicas start again under their ids. It checks BUDGET.
func deadlyRequest(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	for i := range 2 {
		r := &replica{
			id: fmt.Sprintf("i-%04d", i+1), service: "permit-ledger", slots: 6, queue: 24, work: func(string) time.Duration { return ledgerWork },
			deadly: func(path string) bool { return path == deadlyPath }, downtime: deadlyDowntime,
		}
		if err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	if _, err := w.putConfig(ledgerConfig()); err != nil {
		return false, err
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	seen := &attempts{rec: rec}
	var clients sync.WaitGroup
	end := time.Now().Add(deadlyDuration)
	for i := range 8 {
		clients.Go(func() {
			c := &channel{address: w.entries[i%2].front}
			defer c.close()
			for time.Now().Before(end) {
				seen.add(c.send(issueSpec()))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	if trouble {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(deadlyInterval)
				c := &channel{address: w.entries[n%2].front}
				id := newID("deadly")
				seen.add(c.send(spec{id: id, method: http.MethodPost, path: deadlyPath, key: "office-key", limit: 1500 * time.Millisecond, body: []byte("deadly")}))
				c.close()
			}
		})
	}
	clients.Wait()
	return judgeDeadly(w, seen), nil
}

func judgeDeadly(w *world, seen *attempts) bool {
	var crashes []time.Time
	var runs []run
	for _, r := range w.replicas {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
		for _, x := range r.allRuns() {
			if strings.HasPrefix(x.id, "deadly") {
				runs = append(runs, x)
			}
		}
	}
	late := 0
	if len(crashes) >= 3 {
		sortTimes(crashes)
		for _, x := range runs {
			if x.at.After(crashes[2].Add(contactTimeout)) {
				late++
				w.rec.say("BUDGET: %s reached %s %.1f s after the third crash", x.id, x.replica, x.at.Sub(crashes[2]).Seconds())
			}
		}
	}
	lost := 0
	for _, a := range seen.all() {
		if strings.HasPrefix(a.id, "issue") && a.status != http.StatusOK {
			lost++
		}
	}
	w.rec.say("answers %v, crashes %d, late retries of the deadly request %d, other requests not served %d", seen.statuses(), len(crashes), late, lost)
	return late > maxRetries
}

func sortTimes(list []time.Time) { slices.SortFunc(list, time.Time.Compare) }
