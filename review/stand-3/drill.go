package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runDrill checks CONFIG around a drill of the store: a key that is taken away after the drill
// must be refused. The store comes back from a copy that is five seconds old.
func runDrill(w *world) (bool, error) {
	both := map[string][]string{"hule930": {"key-kept", "key-revoked"}}
	w.store.put("op/config", encodeConfig(3, usualRoutes, both))
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.startEntries(4, func(int) string { return w.store.address }); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for _, e := range w.entries {
		for _, key := range []string{"key-kept", "key-revoked"} {
			clients.Go(func() { w.lookUp(e, key, stop) })
		}
	}
	begin := w.since(time.Now())
	w.sleepUntil(begin + 4)
	old := w.store.copyAll()
	w.note("store    the copy is taken at revision %d", old.revision)
	w.sleepUntil(begin + 7.5)
	longer := append([]route{{name: "r-new", prefix: "/nova112/", kind: "idempotent", service: "wuno96b", timeout: 800 * time.Millisecond, attempts: 2}}, usualRoutes...)
	second := encodeConfig(5, longer, both)
	revision, _ := w.store.put("op/config", second)
	w.note("operator version 5 acknowledged at revision %d", revision)
	w.sleepUntil(begin + 8)
	if w.trouble {
		w.store.setAway(true)
		w.note("store    is away")
		w.sleepUntil(begin + 9)
		before, after := w.store.restore(old)
		w.note("store    is back from the copy, in the next era; its revision went from %d to %d", before, after)
		revision, _ = w.store.put("op/config", second)
		w.note("operator version 5 written again, revision %d", revision)
	}
	w.sleepUntil(begin + 10.5)
	revision, ok := w.store.put("op/config", encodeConfig(8, longer, map[string][]string{"hule930": {"key-kept"}}))
	if !ok {
		return false, fmt.Errorf("the store did not take version 8")
	}
	acknowledged := time.Now()
	w.note("operator version 8 without key-revoked acknowledged at revision %d", revision)
	// The bound is config-apply-ms; an unstable core could stretch it by max-skew-ms.
	from := acknowledged.Add(configApply + maxSkew)
	w.sleepUntil(begin + 32)
	return w.checkDrill(from), nil
}

// lookUp sends lookups with a key to one entry until stop is closed.
func (w *world) lookUp(e *entry, key string, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		w.send(client, e, request{method: http.MethodGet, path: "/cufi504/fi50/2f", key: key, limit: 1500 * time.Millisecond})
	}
}

// checkDrill counts the requests with the revoked key that ran after a time.
func (w *world) checkDrill(from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	revoked, ran, kept, served := 0, 0, 0, 0
	var first, last time.Time
	for _, a := range w.answers {
		if a.sentAt.Before(from) {
			continue
		}
		if a.key == "key-kept" {
			kept++
			if a.status == http.StatusOK {
				served++
			}
			continue
		}
		revoked++
		if len(w.runs[a.id]) > 0 {
			ran++
			if first.IsZero() {
				first = a.sentAt
			}
			last = a.sentAt
		}
	}
	w.noteLocked("check    from %.3f on: %d of %d requests with the revoked key ran; %d of %d with the other key were served", w.since(from), ran, revoked, served, kept)
	if ran > 0 {
		w.noteLocked("check    CONFIG broken: the first was sent at %.3f, the last at %.3f", w.since(first), w.since(last))
	}
	return ran > 0
}
