package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slowEvents is the number of events of a stream, slowFirst the time to the first one and
	// slowGap that between two.
	slowEvents = 4
	slowFirst  = 200 * time.Millisecond
	slowGap    = 1200 * time.Millisecond
	// overlapAllowed is how long a replica may work on after the request went on at another one.
	overlapAllowed = 400 * time.Millisecond
)

// work is the time in which a replica worked on a request.
type work struct {
	replica, after string
	from, to       time.Time
	whole          bool
}

// workLog holds the work on requests that may be resumed, by id.
type workLog struct {
	mu   sync.Mutex
	byID map[string][]work
}

// runTwice checks TWICE: a stream that may be resumed must not go on at another replica while the
// first one works on it. The replicas answer before they have read a long body, and read on later.
func runTwice(w *world) (bool, error) {
	w.store.put("op/config", encodeConfig(3, usualRoutes, map[string][]string{"hule930": {"key-kept"}}))
	w.window = smallWindow
	if err := w.smallFleet(); err != nil {
		return false, err
	}
	log := &workLog{byID: map[string][]work{}}
	for _, r := range w.replicas {
		r.readsLate = true
		r.handler = func(hw http.ResponseWriter, q *http.Request) bool { return r.workSlowly(log, hw, q) }
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.startEntries(4, func(int) string { return w.store.address }); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for _, e := range w.entries {
		for range 2 {
			clients.Go(func() { w.condition(e, stop) })
		}
	}
	begin := w.since(time.Now())
	w.sleepUntil(begin + 14)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second) // The replicas end what they work on.
	return w.checkTwice(log), nil
}

// condition sends long streaming requests that may be resumed to one entry until stop is closed.
func (w *world) condition(e *entry, stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	body := strings.Repeat("x", uploadBytes)
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		w.send(client, e, request{method: http.MethodPost, path: "/pufi791/2f", key: "key-kept", body: body, stream: true, limit: 5 * time.Second})
	}
}

// workSlowly streams events to a request whose body is long, with long pauses, and reads the body
// when the stream has ended. It stops as soon as a write shows that its caller has left.
func (r *replica) workSlowly(log *workLog, hw http.ResponseWriter, q *http.Request) bool {
	id := q.Header.Get("Cactustide-Request-Id")
	flush := http.NewResponseController(hw)
	if err := flush.EnableFullDuplex(); err != nil {
		return false
	}
	hw.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	x := work{replica: r.id, after: q.Header.Get("Last-Event-Id"), from: time.Now(), whole: true}
	if !r.world.trouble {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	for n := first; n <= slowEvents; n++ {
		pause := slowGap
		if n == first {
			pause = slowFirst
		}
		time.Sleep(pause)
		_, err := io.WriteString(hw, eventOf(id, n))
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			x.whole = false
			break
		}
	}
	x.to = time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	log.mu.Lock()
	log.byID[id] = append(log.byID[id], x)
	log.mu.Unlock()
	r.world.note("replica  %s worked on %s after event %q for %v, to the end: %v", r.id, id, x.after, x.to.Sub(x.from).Round(time.Millisecond), x.whole)
	return true
}

// checkTwice counts the requests that two replicas worked on for longer than allowed.
func (w *world) checkTwice(log *workLog) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	both := 0
	for id, list := range log.byID {
		for _, first := range list {
			for _, second := range list {
				if second.from.After(first.from) && first.to.Sub(second.from) > overlapAllowed {
					both++
					w.noteLocked("check    %s went on at %s after event %q while %s worked on it for %v more", id, second.replica, second.after, first.replica, first.to.Sub(second.from).Round(time.Millisecond))
				}
			}
		}
	}
	w.noteLocked("check    %d of %d requests went on at another replica while the one before still worked on them", both, len(log.byID))
	fmt.Printf("%d of %d requests went on at another replica while the one before still worked on them\n", both, len(log.byID))
	return both > 0
}
