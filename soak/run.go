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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

// Options of a run.
type Options struct {
	Seed uint64
	// Binary is the path of the cactustide program, Dir the directory for logs, plan
	// and settings.
	Binary, Dir   string
	FaultDuration time.Duration
	Entries       int
	Upstreams     int
	Callers       int
	Out           io.Writer
}

// Ports of the entries. Each entry has a loopback IP of its own.
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
	// stopGracePeriod is the time between SIGTERM and SIGKILL.
	stopGracePeriod = 3 * time.Second
	// applyTimeout bounds the time until a configuration or a drain is in force.
	applyTimeout = 2 * time.Second
	// disturbedApplyMargin is added to applyTimeout while the store or entries may have
	// faults.
	disturbedApplyMargin = 5 * time.Second
	// dialTimeout bounds connecting on this machine.
	dialTimeout = 500 * time.Millisecond
	// recoveryTimeout bounds the time until an entry is ready, at the start and after
	// the last fault.
	recoveryTimeout = 12 * time.Second
	// settleTime is how long an entry must be without faults before time bounds apply.
	settleTime = 3 * time.Second
	// budgetRatio and budgetSlack bound the retries in any budgetWindow. The slack is
	// small, so that a run uses up the budget.
	budgetRatio  = 0.2
	budgetSlack  = 6.0
	budgetWindow = 10 * time.Second
	// maxBodyBytes is where a caller stops to read a body; none of those that end is as long.
	maxBodyBytes = 1 << 20
	// streamEvents is the number of events of a stream.
	streamEvents = 8
)

// Result of a run.
type Result struct {
	Requests, Served, Refused, Failed int
	// Probes is the number of those Requests that were probes; they are in none of the others.
	Probes     int
	Faults     map[string]int
	Violations []Violation
}

type entryProcess struct {
	// restarting is held while the entry is stopped and started.
	restarting sync.Mutex
	name, ip   string
	cmd        *exec.Cmd
	done       chan struct{}
	storeRelay *relay
	bootFile   string
}

type upstream struct {
	*stand.Replica
	relay          *relay
	replicaAddress string
	// earlierRuns holds the runs of earlier incarnations, earlier these themselves.
	earlierRuns []stand.ExecutedRequest
	earlier     []*stand.Replica
	// changing is held while the process is replaced.
	changing sync.Mutex
	// draining is set from the start of a drain until the upstream is ready again, gone if its
	// registration was removed for that.
	draining, gone atomic.Bool
	// announcedAt is when what the upstream says was last written again, Unix nanoseconds, as the
	// store had come back from a copy.
	announcedAt atomic.Int64
}

// disturbance is a time in which an entry had a fault.
type disturbance struct {
	from, to time.Time
	entry    int // -1 means all.
}

type runner struct {
	opts      Options
	store     *stand.Store
	entries   []*entryProcess
	upstreams []*upstream
	history   history
	routes    map[string]stand.Route
	// changing is held while the configuration is changed.
	changing    sync.Mutex
	addedRoutes []stand.Route
	// probed holds every route that was ever added; guarded by mu.
	probed []*probedRoute
	// takeUpAt is one more than the number of the entry at which streams are taken up; 0 means any.
	takeUpAt atomic.Int64
	version  uint64
	// filler makes the configuration large: it is in the name of its last service.
	filler       string
	mu           sync.Mutex
	disturbances []disturbance
	// pauses are the times in which entries were stopped by SIGSTOP.
	pauses []disturbance
	// cuts are the times in which entries were cut off by cutOff.
	cuts []disturbance
	// lateRuns are judged once all exchanges are known.
	lateRuns []lateRun
	// stops are the times in which entries were stopped and started.
	stops []disturbance
	// behind are the times in which the store had an older configuration, or none.
	behind       []*disturbance
	violations   []Violation
	faultCounts  map[string]int
	delayedTasks sync.WaitGroup
	stopCallers  chan struct{}
	historyLog   *os.File
}

// Run runs the plan of one seed. Its goroutine must live as long as the program: the
// kernel kills the entries when the thread that started them exits.
func Run(o Options) (*Result, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	r := &runner{opts: o, stopCallers: make(chan struct{}), faultCounts: map[string]int{}, version: 1, routes: map[string]stand.Route{
		"read":  {Host: host, Prefix: "/read/", Kind: "idempotent", Service: service, Timeout: time.Second, MaxAttempts: 2},
		"book":  {Host: host, Prefix: "/book/", Kind: "non_idempotent", Service: service, Timeout: time.Second, MaxAttempts: 1},
		"chat":  {Host: host, Prefix: "/chat/", Kind: "streaming", Service: service, Timeout: 2 * time.Second, MaxAttempts: 1},
		"draft": {Host: host, Prefix: "/draft/", Kind: "streaming", Service: service, Timeout: 2 * time.Second, MaxAttempts: 2, Resumable: true},
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
		callers.Go(func() { r.runCaller(i) })
	}
	for i := range r.entries {
		callers.Go(func() { r.runProbes(i) })
	}
	callers.Go(r.watchMemory)
	var series sync.WaitGroup
	series.Go(r.injectSeries)
	series.Go(r.injectAnswers)
	series.Go(r.injectBulk)
	series.Go(r.injectReaders)
	series.Go(r.injectLimits)
	series.Go(r.injectReturns)
	series.Go(r.injectApart)
	r.injectPlan()
	series.Wait()
	r.delayedTasks.Wait()
	r.joinAfterCalm()
	r.delayedTasks.Wait()
	r.checkRecovery()
	close(r.stopCallers)
	callers.Wait()
	return r.result(), nil
}

func (r *runner) start() error {
	var err error
	if r.historyLog, err = os.Create(filepath.Join(r.opts.Dir, "history.log")); err != nil {
		return err
	}
	if r.store, err = stand.NewStore("127.0.0.1:0"); err != nil {
		return err
	}
	r.store.Put("op/config", r.config())
	for i := range r.opts.Upstreams {
		u := &upstream{}
		// An IP of its own: at 127.0.0.1 a connection of another process may take the port in a restart.
		address := fmt.Sprintf("127.1.%d.%d:0", 1+r.opts.Seed%200, i+1)
		if u.Replica, err = stand.NewReplica(fmt.Sprintf("u-%d", i), service, "zone-a", address); err != nil {
			return err
		}
		u.replicaAddress = u.Address
		if u.relay, err = newRelay("127.0.0.1:0", u.replicaAddress, receiveBytesOf(i)); err != nil {
			return err
		}
		u.Address = u.relay.listener.Addr().String()
		u.EventCount, u.NamesVersion, u.Version = streamEvents, true, r.releaseOf(i)
		r.upstreams = append(r.upstreams, u)
		r.store.Put(u.StoreKey(), u.Registration("ready"))
	}
	for i := range r.opts.Entries {
		if err := r.newEntry(i); err != nil {
			return err
		}
	}
	for i := range r.entries {
		if !r.waitReady(i, recoveryTimeout) {
			return fmt.Errorf("entry %d is not ready", i)
		}
	}
	return nil
}

func (r *runner) config() []byte {
	return stand.EncodeConfig(r.version, append(r.initialRoutes(), r.addedRoutes...), r.services(), map[string][]string{"team": r.keys()})
}

// keys returns the API keys of the configuration: one for all routes, and one with each added route.
func (r *runner) keys() []string {
	keys := []string{apiKey}
	for _, route := range r.addedRoutes {
		keys = append(keys, keyOf(route))
	}
	return keys
}

func (r *runner) services() []string {
	if r.filler == "" {
		return []string{service}
	}
	return []string{service, r.filler}
}

// initialRoutes returns the routes of the first configuration.
func (r *runner) initialRoutes() []stand.Route {
	routes := make([]stand.Route, 0, len(r.routes))
	for _, route := range r.routes {
		routes = append(routes, route)
	}
	return routes
}

func (r *runner) newEntry(i int) error {
	p := &entryProcess{name: fmt.Sprintf("entry-%d", i), ip: fmt.Sprintf("127.0.%d.%d", 1+r.opts.Seed%200, i+1)}
	// Two runs with the same seed would use the same addresses.
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, portListen))
	if err != nil {
		return fmt.Errorf("another run uses the addresses of this seed: %w", err)
	}
	if err := l.Close(); err != nil {
		return err
	}
	if p.storeRelay, err = newRelay("127.0.0.1:0", r.store.Address, 0); err != nil {
		return err
	}
	seedNodes := []string{}
	for j := range min(3, r.opts.Entries) {
		seedNodes = append(seedNodes, fmt.Sprintf("127.0.%d.%d", 1+r.opts.Seed%200, j+1))
	}
	p.bootFile = filepath.Join(r.opts.Dir, p.name+".json")
	boot := stand.BootFile{
		Name: p.name, Zone: "zone-a", IP: p.ip, StoreAddress: p.storeRelay.listener.Addr().String(), SeedIPs: seedNodes,
		ListenPort: portListen, ReadinessPort: portReady, ControlPort: portControl, InternalPort: portInternal,
		GracePeriod: stopGracePeriod, RetryRatio: budgetRatio, RetrySlack: budgetSlack, MemoryMB: entryMemoryMB, MaxFDs: 2000,
	}
	if err := os.WriteFile(p.bootFile, boot.Encode(), 0o644); err != nil {
		return err
	}
	r.entries = append(r.entries, p)
	return r.spawn(p)
}

// spawn starts an entry. The kernel kills it if this program dies.
func (r *runner) spawn(p *entryProcess) error {
	logFile, err := os.OpenFile(filepath.Join(r.opts.Dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.opts.Binary, "direct")
	cmd.Env = append(os.Environ(), stand.EnvBootFile+"="+p.bootFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done // Signals of other faults go to a process that has started.
	go func() {
		_ = cmd.Wait() // Whoever stopped the entry checks how it ended.
		_ = logFile.Close()
		close(done)
	}()
	return nil
}

func (r *runner) waitReady(i int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
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

// runCaller is one caller: it sends requests one after the other over kept-alive
// connections until stopCallers is closed.
func (r *runner) runCaller(i int) {
	random := rand.New(rand.NewPCG(r.opts.Seed, uint64(100+i)))
	client := &http.Client{Transport: &http.Transport{}}
	routeNames := []string{"read", "book", "chat", "draft"}
	for n := 0; ; n++ {
		select {
		case <-r.stopCallers:
			return
		case <-time.After(time.Duration(5+random.IntN(40)) * time.Millisecond):
		}
		routeName := routeNames[random.IntN(len(routeNames))]
		entry := (i + n/20) % len(r.entries)
		ex := r.send(client, entry, routeName, fmt.Sprintf("%02x%06x", i, n), r.routes[routeName], random.Float64() < 0.03)
		if r.routes[routeName].Resumable {
			r.takeUp(client, (entry+1)%len(r.entries), ex)
		}
	}
}

func (r *runner) send(client *http.Client, entry int, routeName, id string, route stand.Route, cancelEarly bool) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), route.Timeout+3*time.Second)
	defer cancel()
	if cancelEarly {
		time.AfterFunc(30*time.Millisecond, cancel)
	}
	return r.sendOn(ctx, client, exchange{id: id, entry: entry, routeName: routeName, cancelled: cancelEarly}, route)
}

// sendOn sends a request, which may go on with a stream, and records what came back.
func (r *runner) sendOn(ctx context.Context, client *http.Client, ex exchange, route stand.Route) exchange {
	ex.sentAt = time.Now()
	spec := stand.RequestSpec{
		ID: ex.id, Method: http.MethodPost, Host: host, Path: route.Prefix + "x", APIKey: apiKey, Body: "body of " + ex.id,
		Timeout: route.Timeout + time.Second, Stream: route.Kind == "streaming", Resumes: ex.resumes, LastEventID: strconv.Itoa(ex.events),
	}
	if ex.probed != nil {
		spec.Method, spec.APIKey, spec.Body = http.MethodGet, ex.probed.key, ""
	}
	req, err := stand.NewRequest(ctx, fmt.Sprintf("%s:%d", r.entries[ex.entry].ip, portListen), spec)
	if err != nil {
		return ex
	}
	keepFromResending(req)
	resp, err := client.Do(req)
	if err == nil {
		body, readErr := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		_ = resp.Body.Close()
		ex.status, ex.signature = resp.StatusCode, stand.Signature(resp.Header)
		ex.body, ex.versions = stand.SplitVersions(string(body))
		ex.complete = readErr == nil && len(body) < maxBodyBytes
		ex.leaving = stand.LeavingReplica(resp.Header)
		ex.limited = stand.LimitedReplica(resp.Header)
	}
	ex.endedAt = time.Now()
	ex.duration = ex.endedAt.Sub(ex.sentAt)
	ex.undisturbed = !ex.cancelled && r.wasUndisturbed(ex.entry, ex.sentAt, time.Now())
	r.history.add(ex)
	fmt.Fprintf(r.historyLog, "%s %s entry %d status %d whole %v after %v\n", ex.sentAt.Format("05.000"), ex.id, ex.entry, ex.status, ex.complete, ex.duration)
	return ex
}

// keepFromResending keeps the HTTP client from sending a GET again by itself when its connection breaks:
// the second answer would count as the answer to the first request, which may have run.
func keepFromResending(req *http.Request) {
	if req.Method == http.MethodGet {
		req.Body = io.NopCloser(strings.NewReader("")) // Sent as no body, but not known as one.
	}
	req.GetBody = nil
}

// recordDisturbance records that an entry has a fault for a time from now; -1 means all.
func (r *runner) recordDisturbance(entry int, duration time.Duration) {
	now := time.Now()
	r.mu.Lock()
	r.disturbances = append(r.disturbances, disturbance{from: now, to: now.Add(duration), entry: entry})
	r.mu.Unlock()
}

// wasUndisturbed reports whether an entry had no fault between two times, nor in the
// settleTime before them.
func (r *runner) wasUndisturbed(entry int, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disturbances {
		if (d.entry == entry || d.entry < 0) && d.from.Before(to) && from.Before(d.to.Add(settleTime)) {
			return false
		}
	}
	return true
}

// wasPaused reports whether any entry was paused at a time or in the applyTimeout
// before it.
func (r *runner) wasPaused(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.pauses {
		if d.from.Before(at) && at.Before(d.to.Add(applyTimeout)) {
			return true
		}
	}
	return false
}

// wasEntryPaused reports whether an entry was paused at some time between two.
func (r *runner) wasEntryPaused(p *entryProcess, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.pauses {
		if r.entries[d.entry] == p && d.from.Before(to) && from.Before(d.to) {
			return true
		}
	}
	return false
}

func (r *runner) reportViolation(name, format string, args ...any) {
	r.mu.Lock()
	r.violations = append(r.violations, Violation{Check: name, Text: fmt.Sprintf(format, args...)})
	r.mu.Unlock()
}

func (r *runner) result() *Result {
	runs := runsByID{}
	exchanges := r.history.all()
	byID := map[string]exchange{}
	for _, ex := range exchanges {
		byID[ex.id] = ex
	}
	for _, u := range r.upstreams {
		for _, run := range append(u.earlierRuns, u.ExecutedRequests()...) {
			runs[run.ID] = append(runs[run.ID], run)
		}
		for _, process := range append(u.earlier, u.Replica) {
			r.checkArrivals(process, byID)
			r.checkLimits(process, byID)
		}
	}
	r.checkLateRuns(byID)
	res := &Result{Requests: len(exchanges), Faults: r.faultCounts, Violations: append(r.violations, check(exchanges, runs, r.routes, streamEvents)...)}
	res.Violations = append(res.Violations, checkVersions(exchanges)...)
	for _, ex := range exchanges {
		switch {
		case ex.probed != nil:
			res.Probes++
		case ex.status == http.StatusOK && ex.complete:
			res.Served++
		case ex.status == http.StatusServiceUnavailable:
			res.Refused++
		default:
			res.Failed++
		}
	}
	if v := checkRetryBudget(exchanges, runs); v != nil {
		res.Violations = append(res.Violations, *v)
	}
	return res
}

// checkRetryBudget compares the retries in each window with the budget.
func checkRetryBudget(exchanges []exchange, runs runsByID) *Violation {
	var retries []time.Time
	for _, list := range runs {
		first := list[0].Started
		for _, run := range list {
			if run.Started.Before(first) {
				first = run.Started
			}
		}
		firstSkipped := false
		for _, run := range list {
			if !firstSkipped && run.Started.Equal(first) {
				firstSkipped = true
				continue
			}
			retries = append(retries, run.Started)
		}
	}
	for _, end := range retries {
		n, requests := 0, 0
		for _, at := range retries {
			if !at.After(end) && end.Sub(at) < budgetWindow {
				n++
			}
		}
		for _, ex := range exchanges {
			if !ex.sentAt.After(end) && end.Sub(ex.sentAt) < 2*budgetWindow {
				requests++
			}
		}
		if allowed := budgetRatio*float64(requests) + budgetSlack; float64(n) > allowed {
			return &Violation{Check: "budget", Text: fmt.Sprintf("%d retries in a window, %.0f allowed", n, allowed)}
		}
	}
	return nil
}

// close stops the processes that this run started, by their ids.
func (r *runner) close() {
	for _, p := range r.entries {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // It may have ended already.
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		p.storeRelay.close()
	}
	for _, u := range r.upstreams {
		u.relay.close()
		u.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.historyLog != nil {
		_ = r.historyLog.Close() // The result of the run does not depend on it.
	}
}
