package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id, replica, tenant string
	at                  time.Time
}

// answer is a replica's decision about a request.
type answer struct {
	status int
	header map[string]string
	body   []byte
}

// replica is a plain service or a model engine that follows the protocol.
type replica struct {
	id, service, address string
	slots, queue         int
	work                 func(path string) time.Duration
	// pause is the Retry-After of a refusal; 0 means none.
	pause time.Duration
	// doubled chooses, for each answer, whether it comes a second time, when the next one
	// is expected on its channel; nil means never.
	doubled func() bool
	// deadly tells whether the replica crashes when it begins to run a request; nil means
	// never. It is back after downtime, under its id, or renew puts another in its place.
	deadly   func(path string) bool
	downtime time.Duration
	renew    func()
	crashes  []time.Time
	// events and gap describe the streams of an engine; 0 events means a plain service.
	events int
	gap    time.Duration

	rec      *record
	register func(state string)
	listener net.Listener
	mu       sync.Mutex
	running  int
	waiting  int
	free     *sync.Cond
	runs     []run
	// finished counts the runs whose whole answer was written.
	finished map[string]bool
	conns    map[net.Conn]bool
	closed   bool
	started  int64
	seq      int
}

func (w *world) addReplica(r *replica) error {
	if r.address == "" {
		r.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.rec, r.listener, r.address = w.rec, l, l.Addr().String()
	r.free = sync.NewCond(&r.mu)
	r.finished, r.conns, r.started = map[string]bool{}, map[net.Conn]bool{}, time.Now().UnixMilli()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	go r.accept(l)
	r.register = func(state string) { w.store.Put("servers/"+r.id, r.registration(state)) }
	r.register("ready")
	return nil
}

func (r *replica) registration(state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	text, _ := json.Marshal(map[string]any{ // Plain values always encode.
		"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": r.slots,
		"state": state, "cold-remaining-ms": 0, "seq": r.seq, "born": r.started,
	})
	return text
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		closed := r.closed
		r.mu.Unlock()
		if closed {
			_ = c.Close() // The replica has ended.
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests of one channel, one after the other.
func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close() // The channel has ended.
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if late != nil {
			r.rec.add("%s sends its answer to an earlier request of this channel once more", r.id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		text, ok := r.handle(c, q)
		if !ok {
			return
		}
		if text == nil {
			continue // A stream was sent.
		}
		if _, err := c.Write(text); err != nil {
			return
		}
		if r.doubled != nil && r.doubled() {
			late = text
		}
	}
}

// handle works on a request and returns the answer; nil if it was sent already.
func (r *replica) handle(c net.Conn, q *http.Request) ([]byte, bool) {
	if q.URL.Path == "/v1/report" {
		r.mu.Lock()
		defer r.mu.Unlock()
		return encode("", answer{status: http.StatusOK, body: fmt.Appendf(nil, `{"running":%d,"born":%d}`, r.running, r.started)}), true
	}
	id := q.Header.Get("Cactustide-Request-Id")
	if want := q.Header.Get("Cactustide-Expect-Instance"); want != "" && want != r.id {
		return encode(id, answer{status: http.StatusMisdirectedRequest, header: map[string]string{"Cactustide-Replica-Id": r.id}}), true
	}
	r.mu.Lock()
	if r.running >= r.slots && r.waiting >= r.queue {
		load := r.load()
		r.mu.Unlock()
		r.rec.add("%s refuses %s: full", r.id, id)
		a := answer{status: http.StatusServiceUnavailable, header: map[string]string{"Cactustide-Not-Executed": "1", "Cactustide-Replica-Load": load}}
		if r.pause > 0 {
			a.header["Retry-After"] = strconv.FormatFloat(r.pause.Seconds(), 'f', -1, 64)
		}
		return encode(id, a), true
	}
	r.waiting++
	for r.running >= r.slots {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	r.runs = append(r.runs, run{id: id, replica: r.id, tenant: q.Header.Get("Cactustide-Tenant"), at: time.Now()})
	r.mu.Unlock()
	r.rec.add("%s runs %s", r.id, id)
	defer func() {
		r.mu.Lock()
		r.running--
		r.free.Signal()
		r.mu.Unlock()
	}()
	if r.deadly != nil && r.deadly(q.URL.Path) {
		if r.renew != nil {
			go r.renew()
		} else {
			go r.restart()
		}
		return nil, false
	}
	if r.events > 0 {
		return nil, r.stream(c, id)
	}
	time.Sleep(r.work(q.URL.Path))
	r.mu.Lock()
	load := r.load()
	r.finished[id] = true
	r.mu.Unlock()
	return encode(id, answer{status: http.StatusOK, header: map[string]string{"Cactustide-Response-Signature": signature(r.id, id), "Cactustide-Replica-Load": load}, body: bodyOf(id)}), true
}

// stream sends the events of a stream and reports whether all were written.
func (r *replica) stream(c net.Conn, id string) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nCactustide-Request-Id: %s\r\nCactustide-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, signature(r.id, id))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	r.mu.Lock()
	r.finished[id] = true
	r.mu.Unlock()
	return err == nil
}

// load returns the load header; the caller holds the lock.
func (r *replica) load() string { return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots) }

func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// fall crashes the replica and records when, and reports whether it had not ended before.
func (r *replica) fall() bool {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return false
	}
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.rec.add("%s crashes", r.id)
	r.crash()
	return true
}

// restart crashes the replica and starts it again after its downtime, with the same id and
// address and a new start time.
func (r *replica) restart() {
	if !r.fall() {
		return
	}
	time.Sleep(r.downtime)
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.rec.add("%s cannot start again: %v", r.id, err)
		return
	}
	r.mu.Lock()
	r.listener, r.closed, r.seq, r.started = l, false, 0, time.Now().UnixMilli()
	r.mu.Unlock()
	go r.accept(l)
	r.rec.add("%s is back", r.id)
	r.register("ready")
}

// crash ends the process of the replica: its port refuses channels, and the open ones are
// reset.
func (r *replica) crash() {
	r.mu.Lock()
	r.closed = true
	conns, l := r.conns, r.listener
	r.conns = map[net.Conn]bool{}
	r.mu.Unlock()
	_ = l.Close() // There is nothing to do about a failed close.
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close resets the channel then.
		}
		_ = c.Close()
	}
}

func (r *replica) close() { r.crash() }

func bodyOf(id string) []byte { return []byte("answer to " + id + "\n") }

func signature(replica, id string) string { return replica + "." + id }

func encode(id string, a answer) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nCactustide-Request-Id: %s\r\n", a.status, http.StatusText(a.status), id)
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.body))
	b.Write(a.body)
	return b.Bytes()
}
