package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// run is a request that a replica has begun to work on.
type run struct {
	replica, id, tenant, path string
	at                        time.Time
	lastEventID               string
}

// replica is a stand-in of a replica: it answers plain requests and streams.
type replica struct {
	id, service, zone, address string
	slots                      int
	latency                    time.Duration
	events                     int
	gap                        time.Duration

	world *world
	mu    sync.Mutex
	seq   int64
	born  int64
	state string
	busy  int
	gone  bool
	// readsLate is set if the handler reads the body itself.
	readsLate bool
	// handler, if set, answers in place of the usual one and reports whether it did.
	handler func(w http.ResponseWriter, q *http.Request) bool
	stop    chan struct{}
	// listener and conns are what the process has open.
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func (w *world) newReplica(id, service, zone string) (*replica, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if w.window > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, w.window)
			}
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: 16, latency: 20 * time.Millisecond,
		events: 10, gap: 20 * time.Millisecond, world: w, born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{}),
	}
	r.serve(l)
	w.replicas = append(w.replicas, r)
	go r.beat()
	return r, nil
}

// serve answers on a listener until that is closed.
func (r *replica) serve(l net.Listener) {
	r.mu.Lock()
	r.listener, r.conns = l, map[net.Conn]struct{}{}
	r.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(r.handle), ReadHeaderTimeout: time.Minute, ConnState: r.track}
	go func() { _ = server.Serve(l) }()
}

func (r *replica) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[c] = struct{}{}
	} else if state == http.StateClosed {
		delete(r.conns, c)
	}
}

// beat registers the replica at each heartbeat, and again soon if the store was away.
func (r *replica) beat() {
	for {
		pause := heartbeat
		if !r.register() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-r.stop:
			return
		case <-time.After(pause):
		}
	}
}

// register writes the registration and reports whether the store took it.
func (r *replica) register() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return true
	}
	r.seq++
	data, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold-remaining-ms": 0, "stage": "both", "seq": r.seq, "born": r.born,
	})
	_, ok := r.world.store.put("servers/"+r.id, data)
	return ok
}

func (r *replica) handle(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/report" {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"running":%d,"born":%d}`, r.busy, r.born) // The caller may have left.
		return
	}
	id := q.Header.Get("Cactustide-Request-Id")
	h := w.Header()
	if id != "" {
		h.Set("Cactustide-Request-Id", id)
	}
	if want := q.Header.Get("Cactustide-Expect-Instance"); want != "" && want != r.id {
		h.Set("Cactustide-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		h.Set("Cactustide-Replica-Id", r.id)
		return
	}
	r.mu.Lock()
	full := r.busy >= r.slots
	busy := r.busy
	handler := r.handler
	if !full {
		r.busy++
	}
	r.mu.Unlock()
	h.Set("Cactustide-Replica-Load", fmt.Sprintf("%d,0,%d", busy, r.slots))
	if full {
		h.Set("Cactustide-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.busy = max(0, r.busy-1) // A restart has set it to 0.
		r.mu.Unlock()
	}()
	if !r.readsLate {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
	}
	r.world.recordRun(run{
		replica: r.id, id: id, tenant: q.Header.Get("Cactustide-Tenant"), path: q.URL.Path, at: time.Now(),
		lastEventID: q.Header.Get("Last-Event-Id"),
	})
	h.Set("Cactustide-Response-Signature", r.id+"."+id)
	if handler != nil && handler(w, q) {
		return
	}
	if q.Header.Get("Cactustide-Prompt-Prefix") != "" {
		r.stream(w, q, id)
		return
	}
	if !wait(q, r.latency) {
		return
	}
	body := bodyOf(id)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // The caller may have left.
}

func bodyOf(id string) string { return "the answer to " + id + "\n" }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

func wait(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := first; n <= r.events; n++ {
		if !wait(q, r.gap) {
			return
		}
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil || flush.Flush() != nil {
			return
		}
	}
}

// isWholeStream reports whether a body is all of a stream.
func isWholeStream(body, id string, events int) bool {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(eventOf(id, n))
	}
	return body == b.String()
}
