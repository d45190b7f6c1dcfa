package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica. Its fields are set before traffic starts.
type replica struct {
	site        *site
	id, service string
	zone        string
	address     string
	slots       int
	// first is the time to the answer, or to the first event of a stream; gap is the time
	// between two events.
	first, gap time.Duration
	events     int
	// isDeadly reports whether the replica crashes on a prompt as it begins to write the
	// answer: after crashAfter events.
	isDeadly   func(parts []string) bool
	crashAfter int
	// isEndless, if set, reports whether the replica answers with a head without end.
	isEndless func() bool
	downtime  time.Duration

	mu      sync.Mutex
	born    int64
	seq     int64
	running int
	down    bool
	closed  bool
	silent  time.Time
	listed  bool
	server  *http.Server
	serving sync.WaitGroup
	crashes []time.Time
	// deadlyArrivals are the times at which requests with a deadly part came.
	deadlyArrivals []time.Time
}

func newReplica(s *site, id, service, zone string, slots int) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		site: s, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots,
		first: 30 * time.Millisecond, gap: 50 * time.Millisecond, events: 10, born: time.Now().UnixMilli(), listed: true,
	}
	r.serve(l)
	return r, nil
}

func (r *replica) serve(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(r.handle), ReadHeaderTimeout: 5 * time.Second}
	r.server = server
	r.serving.Go(func() { _ = server.Serve(l) }) // Returns after Close.
}

func (r *replica) registration() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	data, _ := json.Marshal(map[string]any{ // Plain values always encode.
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold-remaining-ms": 0, "seq": r.seq, "born": r.born,
	})
	return data
}

// beat writes the registration, or removes it after three heartbeats of silence.
func (r *replica) beat() {
	r.mu.Lock()
	down, silence, listed := r.down, time.Since(r.silent), r.listed
	r.mu.Unlock()
	switch {
	case !down:
		r.site.store.Put("servers/"+r.id, r.registration())
		r.mu.Lock()
		r.listed = true
		r.mu.Unlock()
	case listed && silence > 3*heartbeat:
		r.site.store.Delete("servers/" + r.id)
		r.mu.Lock()
		r.listed = false
		r.mu.Unlock()
	}
}

// crash ends the replica as a killed process ends: its port refuses connections and its
// connections break. It is back after downtime as a new lifetime with the same id; a
// downtime of 0 means never.
func (r *replica) crash(reason string) {
	r.mu.Lock()
	if r.down || r.closed {
		r.mu.Unlock()
		return
	}
	r.down, r.silent = true, time.Now()
	r.crashes = append(r.crashes, time.Now())
	server := r.server
	r.mu.Unlock()
	r.site.rec.line("crash %s (%s)", r.id, reason)
	_ = server.Close() // The listener first, then the connections.
	if r.downtime == 0 {
		return
	}
	time.AfterFunc(r.downtime, r.restart)
}

func (r *replica) restart() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.mu.Unlock()
		return // Another process has taken the port; the replica stays down.
	}
	r.born, r.seq, r.running, r.down = time.Now().UnixMilli(), 0, 0, false
	r.serve(l)
	r.mu.Unlock()
	r.site.rec.line("back %s", r.id)
	r.beat()
}

func (r *replica) close() {
	r.mu.Lock()
	r.closed = true
	server := r.server
	r.mu.Unlock()
	_ = server.Close() // There is nothing to do about a failed close.
	r.serving.Wait()
}

func bodyOf(id string) string { return "answer to " + id + "\n" }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// partsOf returns the parts of a prompt that requests may share.
func partsOf(prefix string) []string {
	fields := strings.Split(prefix, ",")
	var parts []string
	for _, f := range fields[:len(fields)-1] {
		id, _, _ := strings.Cut(f, ":")
		parts = append(parts, id)
	}
	return parts
}

func (r *replica) handle(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/report" {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"running":%d,"born":%d}`, r.running, r.born) // The caller may have left.
		return
	}
	id := q.Header.Get("Cactustide-Request-Id")
	h := w.Header()
	h.Set("Cactustide-Request-Id", id)
	h.Set("Cactustide-Replica-Id", r.id)
	if want := q.Header.Get("Cactustide-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	h.Set("Cactustide-Replica-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	if full {
		r.site.rec.line("full %s at %s", id, r.id)
		h.Set("Cactustide-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running = max(0, r.running-1)
		r.mu.Unlock()
	}()
	r.site.rec.line("run %s at %s", id, r.id)
	if r.isEndless != nil && r.isEndless() {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			sendEndlessHead(c)
			_ = c.Close() // The caller has closed it.
		}
		return
	}
	h.Set("Cactustide-Response-Signature", r.id+"."+id)
	if q.Header.Get("Cactustide-Prompt-Prefix") != "" {
		r.stream(w, q, id)
		return
	}
	if !sleep(q, r.first) {
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(bodyOf(id))))
	_, _ = io.WriteString(w, bodyOf(id)) // The caller may have left.
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	begin := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		begin = last + 1
	}
	deadly := r.isDeadly != nil && r.isDeadly(partsOf(q.Header.Get("Cactustide-Prompt-Prefix")))
	if deadly {
		r.mu.Lock()
		r.deadlyArrivals = append(r.deadlyArrivals, time.Now())
		r.mu.Unlock()
	}
	if !sleep(q, r.first) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := begin; n <= r.events; n++ {
		if deadly && n == begin+r.crashAfter {
			_ = flush.Flush() // The head, if no event was written.
			go r.crash("it wrote on " + id)
			<-q.Context().Done()
			return
		}
		if n > begin && !sleep(q, r.gap) {
			return
		}
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil || flush.Flush() != nil {
			return
		}
	}
}

func sleep(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
