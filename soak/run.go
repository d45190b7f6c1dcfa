package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

// Options of a run.
type Options struct {
	Seed uint64
	// Binary is the product's program, Dir where logs, plan and settings go.
	Binary, Dir string
	FaultDuration      time.Duration
	Entries     int
	Upstreams   int
	Callers     int
	Out         io.Writer
}

// Ports of entries; each entry has an IP of its own on the loopback.
const (
	portListen   = 8227
	portReady    = 8220
	portControl  = 8229
	portInternal = 7340
)

const (
	host    = "soak.example"
	apiKey  = "soak-key"
	service = "soak"
	// grace between SIGTERM and SIGKILL.
	grace = 3 * time.Second
	// applyTime is how long a configuration and a drain may take to be in force.
	applyTime = 2 * time.Second
	// outerTime is how much longer it may take while the store or entries are
	// disturbed.
	outerTime = 5 * time.Second
	// dialLimit bounds the wait for a connection on this machine.
	dialLimit = 500 * time.Millisecond
	// recoverTime is how long after the last fault all works again.
	recoverTime = 12 * time.Second
	// calmTime is how long a part must have been undisturbed for bounds in time.
	calmTime = 3 * time.Second
	// budgetRatio and budgetSlack bound the repeats in any budgetWindow; the slack is
	// small, so that the budget is spent in a run.
	budgetRatio  = 0.2
	budgetSlack  = 6.0
	budgetWindow = 10 * time.Second
	// streamEvents is the number of events of a stream.
	streamEvents = 8
)

// Result of a run.
type Result struct {
	Requests, Served, Refused, Failed int
	Faults                            map[string]int
	Violations                        []Violation
}

type process struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{}
	store    *relay
	boot     string
}

type upstream struct {
	*stand.Replica
	relay *relay
	real  string
	// past holds the runs of earlier lifetimes.
	past []stand.Run
	// leaving is set while it drains.
	leaving atomic.Bool
}

// span is a time during which something was disturbed.
type span struct {
	from, to time.Time
	entry    int // -1: all.
}

type runner struct {
	o         Options
	store     *stand.Store
	entries   []*process
	upstreams []*upstream
	history   history
	routes    map[string]stand.Route
	added     []stand.Route
	version   uint64
	mu        sync.Mutex
	spans     []span
	// pauses are the spans in which entries were stopped and later went on.
	pauses  []span
	found   []Violation
	faults  map[string]int
	healing sync.WaitGroup
	stop    chan struct{}
	log     *os.File
}

// Run plays one seed. It must be called on a goroutine that lives as long as the
// program: the kernel ends the entries together with the thread that started
// them.
func Run(o Options) (*Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := &runner{o: o, stop: make(chan struct{}), faults: map[string]int{}, version: 1, routes: map[string]stand.Route{
		"read":  {Host: host, Prefix: "/read/", Kind: "idempotent", Service: service, Timeout: time.Second, Attempts: 2},
		"book":  {Host: host, Prefix: "/book/", Kind: "non_idempotent", Service: service, Timeout: time.Second, Attempts: 1},
		"chat":  {Host: host, Prefix: "/chat/", Kind: "streaming", Service: service, Timeout: 2 * time.Second, Attempts: 1},
		"draft": {Host: host, Prefix: "/draft/", Kind: "streaming", Service: service, Timeout: 2 * time.Second, Attempts: 2, Resumable: true},
	}}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	for i := range o.Callers {
		callers.Go(func() { r.call(i) })
	}
	r.play()
	r.healing.Wait()
	r.recover()
	close(r.stop)
	callers.Wait()
	return r.result(), nil
}

func (r *runner) start() error {
	var err error
	if r.log, err = os.Create(filepath.Join(r.o.Dir, "history.log")); err != nil {
		return err
	}
	if r.store, err = stand.NewStore("127.0.0.1:0"); err != nil {
		return err
	}
	r.store.Put("op/config", r.config())
	for i := range r.o.Upstreams {
		u := &upstream{}
		if u.Replica, err = stand.NewReplica(fmt.Sprintf("u-%d", i), service, "zone-a", "127.0.0.1:0"); err != nil {
			return err
		}
		u.real = u.Address
		if u.relay, err = newRelay("127.0.0.1:0", u.real); err != nil {
			return err
		}
		u.Address = u.relay.listener.Addr().String()
		u.Events = streamEvents
		r.upstreams = append(r.upstreams, u)
		r.store.Put(u.Key(), u.Entry("ready"))
	}
	for i := range r.o.Entries {
		if err := r.newEntry(i); err != nil {
			return err
		}
	}
	for i := range r.entries {
		if !r.waitReady(i, recoverTime) {
			return fmt.Errorf("entry %d is not ready", i)
		}
	}
	return nil
}

func (r *runner) config() []byte {
	return stand.Config(r.version, append(r.basic(), r.added...), []string{service}, map[string][]string{"team": {apiKey}})
}

// basic returns the routes of the first configuration.
func (r *runner) basic() []stand.Route {
	routes := make([]stand.Route, 0, len(r.routes))
	for _, route := range r.routes {
		routes = append(routes, route)
	}
	return routes
}

func (r *runner) newEntry(i int) error {
	p := &process{name: fmt.Sprintf("entry-%d", i), ip: fmt.Sprintf("127.0.%d.%d", 1+r.o.Seed%200, i+1)}
	// Two runs with one seed would share their addresses.
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, portListen))
	if err != nil {
		return fmt.Errorf("another run has the addresses of this seed: %w", err)
	}
	if err := l.Close(); err != nil {
		return err
	}
	if p.store, err = newRelay("127.0.0.1:0", r.store.Address); err != nil {
		return err
	}
	seeds := []string{}
	for j := range min(3, r.o.Entries) {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d", 1+r.o.Seed%200, j+1))
	}
	p.boot = filepath.Join(r.o.Dir, p.name+".json")
	boot := stand.Boot{
		Name: p.name, Zone: "zone-a", IP: p.ip, Store: p.store.listener.Addr().String(), Seeds: seeds,
		Listen: portListen, Ready: portReady, Control: portControl, InternalPort: portInternal,
		Grace: grace, RetryRatio: budgetRatio, RetrySlack: budgetSlack, MemoryMB: 256, Descriptors: 2000,
	}
	if err := os.WriteFile(p.boot, boot.Encode(), 0o644); err != nil {
		return err
	}
	r.entries = append(r.entries, p)
	return r.spawn(p)
}

// spawn starts an entry. The kernel ends it if this program dies.
func (r *runner) spawn(p *process) error {
	out, err := os.OpenFile(filepath.Join(r.o.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(r.o.Binary, "direct")
	p.cmd.Env = append(os.Environ(), stand.BootEnv+"="+p.boot)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // How it ended is seen by who ended it.
		_ = out.Close()
		close(done)
	}(p.cmd)
	return nil
}

func (r *runner) waitReady(i int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", r.entries[i].ip, portReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// call is one caller: it sends requests one after the other over connections
// that it keeps.
func (r *runner) call(i int) {
	random := rand.New(rand.NewPCG(r.o.Seed, uint64(100+i)))
	client := &http.Client{Transport: &http.Transport{}}
	kinds := []string{"read", "book", "chat", "draft"}
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(time.Duration(5+random.IntN(40)) * time.Millisecond):
		}
		kind := kinds[random.IntN(len(kinds))]
		r.send(client, (i+n/20)%len(r.entries), kind, fmt.Sprintf("%02x%06x", i, n), r.routes[kind], random.Float64() < 0.03)
	}
}

func (r *runner) send(client *http.Client, entry int, kind, id string, route stand.Route, leave bool) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), route.Timeout+3*time.Second)
	defer cancel()
	if leave {
		time.AfterFunc(30*time.Millisecond, cancel)
	}
	a := attempt{id: id, kind: kind, sent: time.Now(), left: leave}
	req, err := stand.NewRequest(ctx, fmt.Sprintf("%s:%d", r.entries[entry].ip, portListen), stand.Ask{
		ID: id, Method: http.MethodPost, Host: host, Path: route.Prefix + "x", Key: apiKey, Body: "body of " + id,
		Left: route.Timeout + time.Second, Stream: route.Kind == "streaming",
	})
	if err != nil {
		return a
	}
	resp, err := client.Do(req)
	if err == nil {
		body, failed := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.whole, a.sign = resp.StatusCode, string(body), failed == nil, stand.Signature(resp.Header)
	}
	a.took = time.Since(a.sent)
	a.calm = !leave && r.isCalm(entry, a.sent, time.Now())
	r.history.add(a)
	fmt.Fprintf(r.log, "%s %s entry %d status %d whole %v after %v\n", a.sent.Format("05.000"), id, entry, a.status, a.whole, a.took)
	return a
}

// disturb notes that an entry, or all, are disturbed for a time.
func (r *runner) disturb(entry int, length time.Duration) {
	now := time.Now()
	r.mu.Lock()
	r.spans = append(r.spans, span{from: now, to: now.Add(length), entry: entry})
	r.mu.Unlock()
}

// isCalm reports whether an entry was undisturbed from some time before a time
// until another.
func (r *runner) isCalm(entry int, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.spans {
		if (s.entry == entry || s.entry < 0) && s.from.Before(to) && from.Before(s.to.Add(calmTime)) {
			return false
		}
	}
	return true
}

// wasPaused reports whether an entry was paused shortly before a time.
func (r *runner) wasPaused(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.pauses {
		if s.from.Before(at) && at.Before(s.to.Add(applyTime)) {
			return true
		}
	}
	return false
}

func (r *runner) violate(name, format string, args ...any) {
	r.mu.Lock()
	r.found = append(r.found, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	r.mu.Unlock()
}

func (r *runner) result() *Result {
	runs := ran{}
	for _, u := range r.upstreams {
		for _, run := range append(u.past, u.Runs()...) {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	attempts := r.history.all()
	res := &Result{Requests: len(attempts), Faults: r.faults, Violations: append(r.found, check(attempts, runs, r.routes, streamEvents)...)}
	for _, a := range attempts {
		switch {
		case a.status == http.StatusOK && a.whole:
			res.Served++
		case a.status == http.StatusServiceUnavailable:
			res.Refused++
		default:
			res.Failed++
		}
	}
	if v := checkBudget(attempts, runs); v != nil {
		res.Violations = append(res.Violations, *v)
	}
	return res
}

// checkBudget compares the repeats in each window with what is allowed.
func checkBudget(attempts []attempt, runs ran) *Violation {
	var repeats []time.Time
	for _, list := range runs {
		first := list[0].Started
		for _, run := range list {
			if run.Started.Before(first) {
				first = run.Started
			}
		}
		skipped := false
		for _, run := range list {
			if !skipped && run.Started.Equal(first) {
				skipped = true
				continue
			}
			repeats = append(repeats, run.Started)
		}
	}
	for _, end := range repeats {
		n, requests := 0, 0
		for _, at := range repeats {
			if !at.After(end) && end.Sub(at) < budgetWindow {
				n++
			}
		}
		for _, a := range attempts {
			if !a.sent.After(end) && end.Sub(a.sent) < 2*budgetWindow {
				requests++
			}
		}
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(n) > allowed {
			return &Violation{Check: "budget", Text: fmt.Sprintf("%d repeats in a window, %.0f allowed", n, allowed)}
		}
	}
	return nil
}

// close ends what this run started, by its ids.
func (r *runner) close() {
	for _, p := range r.entries {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		p.store.close()
	}
	for _, u := range r.upstreams {
		u.relay.close()
		u.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.log != nil {
		_ = r.log.Close() // The run's verdict does not depend on it.
	}
}
