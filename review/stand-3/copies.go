package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// deadlyPath is the path of the request that crashes replicas, deadlyWork the time for which
	// a replica works on it before that, and downtime the time until the replica is back.
	deadlyPath = "/cufi504/deadly/2f"
	deadlyWork = 500 * time.Millisecond
	downtime   = 3 * time.Second
	// copyPeriod is the time between two rounds of the same request.
	copyPeriod = 5 * time.Second
	// countReplicas is the number of replicas of the service.
	countReplicas = 12
	// retriesAllowed is the number of retries that may reach replicas late.
	retriesAllowed = 3
)

// soundClients is the number of clients of each entry that send other requests.
const soundClients = 12

// issue sends requests that may not be repeated to one entry until stop is closed.
func (w *world) issue(e *entry, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.send(client, e, request{method: http.MethodPost, path: "/puxa403/2f", key: "key-kept", body: "deposit", limit: 1500 * time.Millisecond})
	}
}

// arrival is a copy of the deadly request that reached a replica.
type arrival struct {
	id string
	at time.Time
}

// crashLog holds when replicas crashed under the deadly request, and when it reached one.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []arrival
}

// runCopies checks BUDGET: a request that crashes the replicas that run it comes again, four times
// at once, at four machines.
func runCopies(w *world) (bool, error) {
	routes := slices.Clone(usualRoutes)
	w.store.put("op/config", encodeConfig(3, routes, map[string][]string{"hule930": {"key-kept"}}))
	zones := []string{"changwon", "gimhae", "jinju"}
	log := &crashLog{}
	for i := range countReplicas {
		r, err := w.newReplica(fmt.Sprintf("i-l%d", i), "wuno96b", zones[i%3])
		if err != nil {
			return false, err
		}
		r.latency = 300 * time.Millisecond
		r.handler = func(_ http.ResponseWriter, q *http.Request) bool { return r.crashOnDeadly(log, q) }
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.startEntries(4, func(int) string { return w.store.address }); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range w.entries {
		for range soundClients {
			clients.Go(func() { w.issue(e, stop) })
		}
	}
	begin := w.since(time.Now())
	w.sleepUntil(begin + 4)
	if w.trouble {
		for round := range 5 {
			w.sleepUntil(begin + 4 + float64(round)*copyPeriod.Seconds())
			w.note("clients  round %d of the deadly request", round+1)
			for _, e := range w.entries {
				clients.Go(func() {
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					w.send(client, e, request{method: http.MethodGet, path: deadlyPath, key: "key-kept", limit: 1500 * time.Millisecond})
				})
			}
		}
	}
	w.sleepUntil(begin + 32)
	close(stop)
	clients.Wait()
	return w.checkCopies(log), nil
}

// crashOnDeadly ends the replica's process while it works on the deadly request.
func (r *replica) crashOnDeadly(log *crashLog, q *http.Request) bool {
	if q.URL.Path != deadlyPath {
		return false
	}
	log.mu.Lock()
	log.arrivals = append(log.arrivals, arrival{q.Header.Get("Cactustide-Request-Id"), time.Now()})
	log.mu.Unlock()
	if !wait(q, deadlyWork) {
		return true
	}
	log.mu.Lock()
	log.crashes = append(log.crashes, time.Now())
	log.mu.Unlock()
	r.world.note("replica  %s crashes", r.id)
	r.crash(downtime)
	return true
}

// crash closes the port and resets all connections; the replica is back later, as a new process
// with the same id.
func (r *replica) crash(down time.Duration) {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return
	}
	r.gone = true
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.world.note("replica  %s is not back: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.gone, r.born, r.seq, r.busy = false, time.Now().UnixMilli(), 0, 0
		r.mu.Unlock()
		r.serve(l)
		r.register()
		r.world.note("replica  %s is back", r.id)
	})
}

// checkCopies counts the late retries of the deadly request: the arrivals of a client's request
// beyond its first, as a client's own repeats are new requests.
func (w *world) checkCopies(log *crashLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(log.crashes, time.Time.Compare)
	if len(log.crashes) < 3 {
		fmt.Printf("%d crashes\n", len(log.crashes))
		return false
	}
	third := log.crashes[2]
	seen := map[string]bool{}
	late, retries := 0, 0
	for _, a := range log.arrivals {
		isRetry := seen[a.id]
		seen[a.id] = true
		if !a.at.After(third.Add(contact)) {
			continue
		}
		late++
		if isRetry {
			retries++
		}
		w.noteLocked("check    %s reached a replica at %.3f, %.3f s after the third crash, retry %t", a.id, w.since(a.at), a.at.Sub(third).Seconds(), isRetry)
	}
	lost := 0
	for _, a := range w.answers {
		if a.path != deadlyPath && a.sentAt.After(third.Add(contact)) && len(w.runs[a.id]) > 0 && a.status != http.StatusOK {
			lost++
			w.noteLocked("check    %s ran and got status %d", a.id, a.status)
		}
	}
	result := fmt.Sprintf("%d crashes; later than the bound %d arrivals, of these %d retries (%d allowed), and %d bookings that ran and were not answered by their replica", len(log.crashes), late, retries, retriesAllowed, lost)
	w.noteLocked("check    %s", result)
	fmt.Println(result)
	return retries > retriesAllowed
}
