package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	refusedDuration = 95 * time.Second
	refusedReplicas = 2
	// waveInterval is the time between two waves of requests at the second entry, each of
	// which fills the replicas for a moment.
	waveInterval = 240 * time.Millisecond
	waveRequests = 24
	// waveLead is the time from a wave to the request at the first entry.
	waveLead = 12 * time.Millisecond
	// doubledShare is the share of the faulty replica's answers that come twice.
	doubledShare = 0.03
	ledgerSlots  = 6
	ledgerQueue  = 4
	ledgerWork   = 60 * time.Millisecond
	lookupWork   = 4 * time.Millisecond
	ledgerPause  = 100 * time.Millisecond
)

// refusedButRun runs a plain service whose replicas are full for a moment, again and again,
// and ask for a short pause then. One of the two repeats 3 in 100 of its answers late. It
// checks TWICE and REFUSED.
func refusedButRun(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, 284)
	if err != nil {
		return false, err
	}
	defer w.close()
	for i := range refusedReplicas {
		r := &replica{
			id: fmt.Sprintf("i-%04d", i+1), service: "permit-ledger", slots: ledgerSlots, queue: ledgerQueue, pause: ledgerPause,
			work: func(path string) time.Duration {
				if strings.HasPrefix(path, "/lookup/") {
					return lookupWork
				}
				return ledgerWork
			},
		}
		if trouble && i == 0 {
			r.doubled = func() bool { return rand.Float64() < doubledShare }
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
	channels := make([]*channel, waveRequests)
	for i := range channels {
		channels[i] = &channel{address: w.entries[1].front}
	}
	quiet := &channel{address: w.entries[0].front}
	for end := time.Now().Add(refusedDuration); time.Now().Before(end); {
		next := time.Now().Add(waveInterval)
		for _, c := range channels {
			clients.Go(func() { seen.add(c.send(issueSpec())) })
		}
		time.Sleep(waveLead)
		seen.add(quiet.send(issueSpec()))
		for time.Now().Before(next) {
			seen.add(quiet.send(lookupSpec()))
		}
		clients.Wait()
	}
	time.Sleep(500 * time.Millisecond)
	return judgeOnce(w, seen), nil
}

// ledgerConfig is a configuration with the plain routes of a small site.
func ledgerConfig() document {
	return document{
		Version: 1,
		Routes: []route{
			{Name: "permit-issue", Host: host, Prefix: "/issue/", Kind: "non_idempotent", Timeout: 800, Target: 300, Priority: 2, Service: "permit-ledger", MaxAttempts: 1},
			{Name: "permit-lookup", Host: host, Prefix: "/lookup/", Kind: "idempotent", Timeout: 800, Target: 300, Priority: 2, Service: "permit-ledger", MaxAttempts: 2},
		},
		Services: []service{{Name: "permit-ledger", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}},
		Limits:   limits(), Tenants: []tenant{{Name: "office", Keys: []string{"office-key"}}},
	}
}

func issueSpec() spec {
	id := newID("issue")
	return spec{id: id, method: http.MethodPost, path: "/issue/" + id, key: "office-key", limit: 1500 * time.Millisecond, body: []byte("permit for " + id)}
}

func lookupSpec() spec {
	id := newID("lookup")
	return spec{id: id, method: http.MethodGet, path: "/lookup/" + id, key: "office-key", limit: 1500 * time.Millisecond}
}

// judgeOnce checks that no request ran twice, and none that was answered 429 or 503 ran.
func judgeOnce(w *world, seen *attempts) bool {
	runs := map[string][]string{}
	for _, r := range w.replicas {
		for _, x := range r.allRuns() {
			runs[x.id] = append(runs[x.id], x.replica)
		}
	}
	twice, refused := 0, 0
	for id, where := range runs {
		if strings.HasPrefix(id, "lookup") {
			continue // These may run more than once.
		}
		if len(where) > 1 {
			twice++
			w.rec.say("TWICE: %s ran at %v", id, where)
		}
	}
	for _, a := range seen.all() {
		if !strings.HasPrefix(a.id, "lookup") && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(runs[a.id]) > 0 {
			refused++
			w.rec.say("REFUSED: %s was answered %d and ran at %v", a.id, a.status, runs[a.id])
		}
	}
	w.rec.say("answers %v, requests run %d, run twice %d, refused but run %d", seen.statuses(), len(runs), twice, refused)
	return twice+refused > 0
}
