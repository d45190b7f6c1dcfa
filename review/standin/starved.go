package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	starvedDuration = 105 * time.Second
	starvedReplicas = 4
	// crashGap is the time between two crashes, of one replica of four each.
	crashGap   = 2500 * time.Millisecond
	maxCrashes = 10
	displays   = 24
	desks      = 32
	// readInterval is the time between two requests of a client.
	readInterval = 250 * time.Millisecond
)

// crashedLookup lets replicas crash on their own, one after the other, while many displays of
// one tenant read the same page again and again. It checks Starved.
func crashedLookup(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	for i := range starvedReplicas {
		if err := w.addReplica(ledgerReplica(fmt.Sprintf("i-%04d", i+1))); err != nil {
			return false, err
		}
	}
	doc := ledgerConfig()
	doc.Tenants = append(doc.Tenants, tenant{Name: "display", Keys: []string{"display-key"}})
	if _, err := w.putConfig(doc); err != nil {
		return false, err
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	seen := &attempts{rec: rec}
	var clients sync.WaitGroup
	end := time.Now().Add(starvedDuration)
	run := func(i int, next func() spec) {
		clients.Go(func() {
			c := &channel{address: w.entries[i%2].front}
			defer c.close()
			for at := time.Now(); at.Before(end); at = at.Add(readInterval) {
				time.Sleep(time.Until(at))
				seen.add(c.send(next()))
			}
		})
	}
	for i := range displays {
		run(i, boardSpec)
	}
	for i := range desks {
		run(i, lookupSpec)
	}
	if trouble {
		for n := range maxCrashes {
			time.Sleep(crashGap)
			clients.Go(func() { w.renew(w.replicaAt(n), fmt.Sprintf("i-%04d", n+1+starvedReplicas)) })
		}
	}
	clients.Wait()
	asked, served := map[string]int{}, map[string]int{}
	for _, a := range seen.all() {
		kind, _, _ := strings.Cut(a.id, "-")
		asked[kind]++
		asked["all"]++
		if a.status == http.StatusOK {
			served[kind]++
			served["all"]++
		}
	}
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(1, asked[kind])) }
	rec.say("answers %v; served: tenant display %.3f, all %.3f", seen.statuses(), share("board"), share("all"))
	return share("board") < share("all")/4, nil
}

// boardSpec is a request for the page that all displays show.
func boardSpec() spec {
	return spec{id: newID("board"), method: http.MethodGet, path: "/lookup/board", key: "display-key", limit: 1500 * time.Millisecond}
}
