package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	configDuration = 104 * time.Second
	// The small sites' settings and doses: memory of a front machine, routes that one
	// big_config adds, pace of a config_storm.
	frontMemoryMB   = 284
	bigConfigRoutes = 350
	bigConfigs      = 11
	stormGap        = 330 * time.Millisecond
	// valueBytes is the largest value that the store takes.
	valueBytes     = 1048576
	streamClients  = 12
	streamEvents   = 24
	streamGap      = 80 * time.Millisecond
	lostThreshold  = 3
	contactTimeout = 3 * time.Second
)

// configMemory lets the configuration grow by many routes and then change again and again,
// while the platform enforces the memory of the machines. It checks LOST.
func configMemory(rec *record, trouble bool) (bool, error) {
	w, err := newWorld(rec, frontMemoryMB)
	if err != nil {
		return false, err
	}
	defer w.close()
	if err := w.addEngines(2); err != nil {
		return false, err
	}
	doc := assistantConfig()
	if _, err := w.putConfig(doc); err != nil {
		return false, err
	}
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var kills killLog
	all.Go(func() { w.enforceMemory(stop, kills.add(w)) })
	seen := &attempts{rec: rec}
	end := time.Now().Add(configDuration)
	w.streamClients(&all, seen, end)
	peak := 0
	if trouble {
		changes := 0
		write := func() error {
			doc.Version++
			size, err := w.putConfig(doc)
			if err == nil && size > valueBytes {
				err = fmt.Errorf("configuration of %d bytes", size)
			}
			changes++
			rec.add("operator writes version %d: %d routes, %d bytes; memory of the entries: %v MB", doc.Version, len(doc.Routes), size, w.memory())
			return err
		}
		for range bigConfigs {
			doc.Routes = append(doc.Routes, moreRoutes(len(doc.Routes), bigConfigRoutes)...)
			if err := write(); err != nil {
				return false, err
			}
			time.Sleep(stormGap)
		}
		// One config_storm follows the other: 12 changes, each of which gives the last route
		// another time-out.
		for next := time.Now(); next.Before(end) && kills.count() < len(w.entries); next = next.Add(stormGap) {
			time.Sleep(time.Until(next))
			doc.Routes[len(doc.Routes)-1].Timeout = 900 + doc.Version%100
			if err := write(); err != nil {
				return false, err
			}
		}
		rec.say("%d versions were written", changes)
	}
	if kills.count() > 0 {
		time.Sleep(contactTimeout) // The other entries may follow.
	} else {
		time.Sleep(time.Until(end))
	}
	for _, mb := range w.memory() {
		peak = max(peak, mb)
	}
	rec.say("memory at the end: at most %d MB", peak)
	close(stop)
	all.Wait()
	return judgeLost(w, seen, &kills), nil
}

// memory returns the memory of the entries, MB.
func (w *world) memory() []int {
	var list []int
	for _, e := range w.entries {
		list = append(list, residentMB(e.pid()))
	}
	return list
}

// killLog holds the processes that exceeded their memory.
type killLog struct {
	mu sync.Mutex
	at []time.Time
}

func (k *killLog) add(w *world) func(e *entry, mb int) {
	return func(e *entry, mb int) {
		w.rec.say("%s uses %d MB, more than its machine's %d MB; the platform kills it", e.name, mb, w.memoryMB)
		k.mu.Lock()
		k.at = append(k.at, time.Now())
		k.mu.Unlock()
	}
}

func (k *killLog) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.at)
}

func (w *world) addEngines(n int) error {
	for i := range n {
		r := &replica{id: fmt.Sprintf("i-e%03d", i+1), service: "permit-assistant", slots: 48, queue: 100, events: streamEvents, gap: streamGap}
		if err := w.addReplica(r); err != nil {
			return err
		}
	}
	return nil
}

// assistantConfig is a configuration with a route to model engines.
func assistantConfig() document {
	return document{
		Version: 1,
		Routes: []route{
			{Name: "desk-query", Host: host, Prefix: "/chat/", Kind: "streaming", Timeout: 10000, Target: 400, Service: "permit-assistant", MaxAttempts: 1, Sticky: true, GapAim: 200},
			{Name: "upload", Host: host, Prefix: "/upload/", Kind: "non_idempotent", Timeout: 8000, Target: 1500, Service: "permit-ledger", MaxAttempts: 1},
		},
		Services: []service{
			{Name: "permit-assistant", HealthPath: "/healthz", MaxConns: 300, Protocol: "h1", Engine: map[string]any{
				"slots": 48, "kv-capacity-tokens": 444000, "kv-bytes": 131072, "link-mbps": 740000.0, "stride": 5, "models": []map[string]string{{"name": "m"}},
			}},
			{Name: "permit-ledger", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
		},
		Limits: limits(), Tenants: []tenant{{Name: "office", Keys: []string{"office-key"}}},
	}
}

// moreRoutes returns n routes, named from a number on.
func moreRoutes(from, n int) []route {
	var list []route
	for i := range n {
		name := fmt.Sprintf("desk-%05d", from+i)
		list = append(list, route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: "idempotent", Timeout: 800, Target: 300, Priority: 2, Service: "permit-ledger", MaxAttempts: 2})
	}
	return list
}

// streamClients runs clients that ask for one stream after the other on kept channels.
func (w *world) streamClients(group *sync.WaitGroup, seen *attempts, end time.Time) {
	for i := range streamClients * len(w.entries) {
		group.Go(func() {
			c := &channel{address: w.entries[i%len(w.entries)].front}
			defer c.close()
			for time.Now().Before(end) {
				a := c.send(chatSpec())
				seen.add(a)
				if a.status == 0 && !a.started && !a.ended {
					return // The entry is gone; the platform would start it again.
				}
			}
		})
	}
}

func chatSpec() spec {
	id := newID("chat")
	return spec{
		id: id, method: http.MethodPost, path: "/chat/" + id, key: "office-key", limit: 10 * time.Second, body: []byte("question of " + id),
		header: map[string]string{"Cactustide-Model": "m", "Cactustide-Token-Usage": "1110,120", "Cactustide-Prompt-Prefix": "aa11:210,bb22:140," + id + ":760"},
	}
}

// judgeLost checks that not more than lostThreshold requests that came on a kept channel and
// reached a sound replica ended without an answer.
func judgeLost(w *world, seen *attempts, kills *killLog) bool {
	ran := map[string]bool{}
	for _, r := range w.replicas {
		for _, x := range r.allRuns() {
			ran[x.id] = true
		}
	}
	lost := 0
	for _, a := range seen.all() {
		if a.ended && a.reused && ran[a.id] {
			lost++
			w.rec.say("LOST: %s was passed on to a replica, and its channel ended without a whole answer", a.id)
		}
	}
	w.rec.say("answers %v, processes killed for their memory %d, requests lost %d", seen.statuses(), kills.count(), lost)
	return lost > lostThreshold
}
