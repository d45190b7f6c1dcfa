package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactustide/platform/stand"
)

// Ports of the entries of a drill. Each entry has a loopback IP of its own.
const (
	drillPortListen   = 8227
	drillPortReady    = 8220
	drillPortControl  = 8229
	drillPortInternal = 7340
)

const (
	drillEntries = 4
	drillHost    = "drill.example"
	drillKey     = "key-base"
	// drillGrace is the time between SIGTERM and SIGKILL.
	drillGrace = 3 * time.Second
	// drillStart bounds the time until an entry is ready at the start.
	drillStart = 20 * time.Second
	// probePause is the time between two probes of a kind at an entry.
	probePause = 150 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 2 * time.Second
)

// drillBinary names a program that is put in place of today's, whose refusals are not followed
// to its log.
const drillBinary = "CACTUSTIDE_DRILL_BINARY"

// drillLogs names a directory in which the logs of the entries are kept.
const drillLogs = "CACTUSTIDE_DRILL_LOGS"

// directProcess is an entry that runs as a process of its own.
type directProcess struct {
	name, ip          string
	bootFile, logFile string
	// changing is held while the process is stopped and started.
	changing sync.Mutex
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// configDrill is a deployment in which an operator writes configurations: entries as processes, a
// store and upstreams within the test, and callers at each entry.
type configDrill struct {
	t         *testing.T
	program   string
	dir       string
	store     *stand.Store
	upstreams []*stand.Replica
	entries   []*directProcess
	dialers   []*storeDialer
	tasks     sync.WaitGroup
	callers   sync.WaitGroup
	stop      chan struct{}
	nextID    atomic.Int64
	// writing is held while a version is written.
	writing sync.Mutex
	routes  []stand.Route
	keys    []string
	filler  []stand.Route

	mu      sync.Mutex
	history drillHistory
}

// storeDialer passes the connections of one entry on to the store, from the entry's IP, so that
// the store can tell the entries apart.
type storeDialer struct {
	listener net.Listener
	dialer   net.Dialer
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	group    sync.WaitGroup
}

func newStoreDialer(ip, target string) (*storeDialer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &storeDialer{listener: l, dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}, target: target, conns: map[net.Conn]bool{}}
	d.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.group.Go(func() { d.join(c) })
		}
	})
	return d, nil
}

// join copies between a connection and a new one to the store until either ends.
func (d *storeDialer) join(c net.Conn) {
	target, err := d.dialer.Dial("tcp", d.target)
	if err != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	d.conns[c], d.conns[target] = true, true
	d.mu.Unlock()
	var copies sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, target}, {target, c}} {
		copies.Go(func() {
			_, _ = io.Copy(pair[0], pair[1]) // Either side may reset.
			c.Close()
			target.Close()
		})
	}
	copies.Wait()
	d.mu.Lock()
	delete(d.conns, c)
	delete(d.conns, target)
	d.mu.Unlock()
}

func (d *storeDialer) close() {
	d.listener.Close()
	d.mu.Lock()
	for c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.group.Wait()
}

// drillAddresses returns a prefix of loopback addresses that nothing listens on.
func drillAddresses(t *testing.T, row int) string {
	t.Helper()
	for n := range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+(os.Getpid()+n)%128, 1+row)
		l, err := net.Listen("tcp", fmt.Sprint(prefix, "1:", drillPortListen))
		if err != nil {
			continue
		}
		l.Close()
		return prefix
	}
	t.Fatal("got no free loopback addresses")
	return ""
}

func newConfigDrill(t *testing.T, row int, program string) *configDrill {
	t.Helper()
	d := &configDrill{t: t, program: program, dir: t.TempDir(), stop: make(chan struct{})}
	if kept := os.Getenv(drillLogs); kept != "" {
		d.dir = filepath.Join(kept, strings.ReplaceAll(t.Name(), "/", "_"))
		if err := os.MkdirAll(d.dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	var err error
	if d.store, err = stand.NewStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	for _, service := range []string{"desk", "office"} {
		u, err := stand.NewReplica("u-"+service, service, "zone-a", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		u.Slots = 200
		d.upstreams = append(d.upstreams, u)
	}
	d.register()
	first := drillVersion{number: 1}
	d.routes = []stand.Route{drillRoute(first.addedRoute(), "desk"), drillRoute("/moved/", "desk"), drillRoute(first.replacedRoute(), "desk")}
	d.keys = []string{drillKey, first.replacedKey()}
	d.put(1)
	ips := drillAddresses(t, row)
	for i := range drillEntries {
		d.addEntry(i, ips)
	}
	for i := range d.entries {
		d.waitReady(i)
	}
	for i := range d.entries {
		for kind := range probeKinds {
			d.callers.Go(func() { d.runCaller(i, kind) })
		}
	}
	return d
}

func drillRoute(prefix, service string) stand.Route {
	return stand.Route{Host: drillHost, Prefix: prefix, Kind: "idempotent", Service: service, Timeout: time.Second, MaxAttempts: 2}
}

func (d *configDrill) addEntry(i int, ips string) {
	d.t.Helper()
	p := &directProcess{name: fmt.Sprint("entry-", i), ip: fmt.Sprint(ips, i+1)}
	dialer, err := newStoreDialer(p.ip, d.store.Address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.dialers = append(d.dialers, dialer)
	p.bootFile, p.logFile = filepath.Join(d.dir, p.name+".json"), filepath.Join(d.dir, p.name+".log")
	boot := stand.BootFile{
		Name: p.name, Zone: "zone-a", IP: p.ip, StoreAddress: dialer.listener.Addr().String(), SeedIPs: []string{ips + "1", ips + "2", ips + "3"},
		ListenPort: drillPortListen, ReadinessPort: drillPortReady, ControlPort: drillPortControl, InternalPort: drillPortInternal,
		GracePeriod: drillGrace, RetryRatio: 0.2, RetrySlack: 50, MemoryMB: 284, MaxFDs: 2000,
	}
	if err := os.WriteFile(p.bootFile, boot.Encode(), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.entries = append(d.entries, p)
	d.spawn(i)
}

// plainBinary builds the program without the race detector, once for all tests.
var plainBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(binary), "cactustide-plain")
	if out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput(); err != nil {
		return "", fmt.Errorf("cannot build the program: %w: %s", err, out)
	}
	return path, nil
})

// spawn starts the process of an entry.
func (d *configDrill) spawn(i int) {
	p := d.entries[i]
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Error(err)
		return
	}
	defer log.Close()
	cmd := exec.Command(d.program, "direct")
	cmd.Env = append(os.Environ(), stand.EnvBootFile+"="+p.bootFile)
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	d.history.starts = append(d.history.starts, processStart{entry: i, at: time.Now()})
	d.mu.Unlock()
	if err := cmd.Start(); err != nil {
		d.t.Error(err)
		return
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // Whoever stopped the entry knows how it ended.
		close(done)
	}()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
}

func (p *directProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // It may have ended already.
	}
}

func (p *directProcess) exited() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (d *configDrill) isReady(i int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", d.entries[i].ip, drillPortReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until an entry is ready.
func (d *configDrill) waitReady(i int) {
	d.t.Helper()
	for deadline := time.Now().Add(drillStart); !d.isReady(i); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Errorf("%s ready: not within %v", d.entries[i].name, drillStart)
			return
		}
	}
}

// newDrillClient returns the client of one caller.
func newDrillClient() *http.Client {
	return &http.Client{Transport: &http.Transport{}, Timeout: probeTimeout}
}

// begin records that something is disturbed from now on; the returned function ends it.
func (d *configDrill) begin(f drillFault) (end func()) {
	f.from = time.Now()
	d.mu.Lock()
	n := len(d.history.faults)
	d.history.faults = append(d.history.faults, f)
	d.mu.Unlock()
	return func() {
		d.mu.Lock()
		d.history.faults[n].to = time.Now()
		d.mu.Unlock()
	}
}

// restart stops an entry, gracefully or at once, and starts it again.
func (d *configDrill) restart(i int, s syscall.Signal) {
	p := d.entries[i]
	p.changing.Lock()
	defer p.changing.Unlock()
	defer d.begin(drillFault{entry: i, killed: s == syscall.SIGKILL})()
	p.signal(s)
	select {
	case <-p.exited():
	case <-time.After(drillGrace):
		d.begin(drillFault{entry: i, killed: true})()
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
	d.spawn(i)
}

// pause stops an entry for a time, in the background.
func (d *configDrill) pause(i int, length time.Duration) {
	end := d.begin(drillFault{entry: i})
	d.entries[i].signal(syscall.SIGSTOP)
	d.tasks.Go(func() {
		time.Sleep(length)
		d.entries[i].signal(syscall.SIGCONT)
		end()
	})
}

// turnAway makes the store turn some entries away for a time, in the background.
func (d *configDrill) turnAway(f stand.StoreFaults, length time.Duration, entries ...int) {
	f.OnlyFrom = map[string]bool{}
	for _, i := range entries {
		f.OnlyFrom[d.entries[i].ip] = true
	}
	end := d.begin(drillFault{entry: theCore})
	d.store.SetFaults(f)
	d.tasks.Go(func() {
		time.Sleep(length)
		d.store.SetFaults(stand.StoreFaults{})
		end()
	})
}

// fail makes the store fail for a time.
func (d *configDrill) fail(f stand.StoreFaults, length time.Duration) {
	defer d.begin(drillFault{entry: theCore, down: true})()
	d.store.SetFaults(f)
	time.Sleep(length)
	d.store.SetFaults(stand.StoreFaults{})
}

// dropHistory makes the store drop its history.
func (d *configDrill) dropHistory() {
	defer d.begin(drillFault{entry: theCore})()
	d.store.Compact()
}

// comeBack makes the store come back from a copy, after it has been away for a time.
func (d *configDrill) comeBack(c stand.StoreCopy, away time.Duration) {
	defer d.begin(drillFault{entry: theCore, down: true})()
	if away == 0 {
		d.store.ComeBack(c)
		return
	}
	d.store.SetFaults(stand.StoreFaults{NoResponse: true})
	time.Sleep(away)
	d.store.ComeBack(c)
	d.store.SetFaults(stand.StoreFaults{})
}

// count raises the store's counter by other writes.
func (d *configDrill) count(writes uint64) {
	for range writes {
		d.store.Put("other/item", nil)
	}
}

// register writes what the upstreams say of themselves.
func (d *configDrill) register() {
	for _, u := range d.upstreams {
		d.store.Put(u.StoreKey(), u.Registration("ready"))
	}
}

// write writes the next version of the configuration. It adds a route, moves another one to the
// other service, and replaces the route and the key that only the version before has.
func (d *configDrill) write() {
	d.writing.Lock()
	defer d.writing.Unlock()
	d.mu.Lock()
	v := d.history.versions[len(d.history.versions)-1]
	d.mu.Unlock()
	v.number += 1 + v.number%3
	services := map[string]string{"desk": "office", "office": "desk"}
	d.routes = slices.Clone(d.routes)
	moved := services[d.routes[indexMoved].Service]
	d.routes[indexMoved].Service = moved
	d.routes[indexReplaced] = drillRoute(v.replacedRoute(), moved)
	d.routes = append(d.routes, drillRoute(v.addedRoute(), moved))
	d.keys = []string{drillKey, v.replacedKey()}
	d.put(v.number)
}

// writeAgain writes the version in force again, as after its loss.
func (d *configDrill) writeAgain() {
	d.writing.Lock()
	defer d.writing.Unlock()
	d.mu.Lock()
	number := d.history.versions[len(d.history.versions)-1].number
	d.mu.Unlock()
	d.put(number)
}

// put writes the configuration under a version.
func (d *configDrill) put(number uint64) {
	text := stand.EncodeConfig(number, append(slices.Clone(d.filler), d.routes...), []string{"desk", "office"}, map[string][]string{"team": d.keys})
	v := drillVersion{number: number, sentAt: time.Now(), routes: map[string]string{}, keys: map[string]bool{}}
	for _, r := range d.routes {
		v.routes[r.Prefix] = r.Service
	}
	for _, k := range d.keys {
		v.keys[k] = true
	}
	d.mu.Lock()
	n := len(d.history.versions) - 1
	if n >= 0 && d.history.versions[n].number == number {
		v.sentAt = d.history.versions[n].sentAt
	} else {
		n++
		d.history.versions = append(d.history.versions, v)
	}
	d.mu.Unlock()
	d.store.Put("op/config", text)
	d.mu.Lock()
	d.history.versions[n].ackedAt = time.Now()
	d.mu.Unlock()
}

// grow adds routes to the configuration that no caller uses.
func (d *configDrill) grow(routes int) {
	d.writing.Lock()
	defer d.writing.Unlock()
	for range routes {
		d.filler = append(d.filler, drillRoute(fmt.Sprintf("/bulk/%06d/", len(d.filler)), "desk"))
	}
}

// Indexes of routes of the configuration.
const (
	indexMoved    = 1
	indexReplaced = 2
)

// probeKinds returns, by kind of probe, the route and the key that probe n uses with the versions
// so far.
var probeKinds = map[string]func(versions []drillVersion, n int) (prefix, key string){
	"first route": func([]drillVersion, int) (string, string) { return "/base/", drillKey },
	"moved route": func([]drillVersion, int) (string, string) { return "/moved/", drillKey },
	"no route":    func([]drillVersion, int) (string, string) { return "/none/", drillKey },
	newestRoute: func(versions []drillVersion, _ int) (string, string) {
		return versions[len(versions)-1].addedRoute(), drillKey
	},
	"added route": func(versions []drillVersion, n int) (string, string) {
		return versions[n%len(versions)].addedRoute(), drillKey
	},
	"route of one version": func(versions []drillVersion, _ int) (string, string) {
		return versions[len(versions)-1].replacedRoute(), drillKey
	},
	"removed route": func(versions []drillVersion, _ int) (string, string) {
		return versions[max(0, len(versions)-2)].replacedRoute(), drillKey
	},
	"newest key": func(versions []drillVersion, _ int) (string, string) {
		return "/base/", versions[len(versions)-1].replacedKey()
	},
	"revoked key": func(versions []drillVersion, _ int) (string, string) {
		return "/base/", versions[max(0, len(versions)-2)].replacedKey()
	},
}

// newestRoute is the kind of probe of the route that the newest version adds.
const newestRoute = "newest route"

// runCaller sends probes of a kind to an entry over a kept connection until the drill stops.
func (d *configDrill) runCaller(entry int, kind string) {
	client := newDrillClient()
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-d.stop:
			return
		case <-time.After(probePause):
		}
		d.mu.Lock()
		prefix, key := probeKinds[kind](d.history.versions, n)
		d.mu.Unlock()
		p := d.probe(client, drillProbe{entry: entry, kind: kind, prefix: prefix, key: key})
		d.mu.Lock()
		d.history.probes = append(d.history.probes, p)
		d.mu.Unlock()
	}
}

func (d *configDrill) probe(client *http.Client, p drillProbe) drillProbe {
	p.id = fmt.Sprintf("%08x", d.nextID.Add(1))
	p.sentAt = time.Now()
	defer func() { p.endedAt = time.Now() }()
	req, err := stand.NewRequest(context.Background(), fmt.Sprintf("%s:%d", d.entries[p.entry].ip, drillPortListen), stand.RequestSpec{
		ID: p.id, Method: http.MethodGet, Host: drillHost, Path: p.prefix + "x", APIKey: p.key, Timeout: probeTimeout,
	})
	if err != nil {
		d.t.Error(err)
		return p
	}
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		p.status, p.body = resp.StatusCode, strings.TrimSpace(string(body))
		replica, _, _ := strings.Cut(stand.Signature(resp.Header), ".")
		p.service = strings.TrimPrefix(replica, "u-")
	}
	p.endedAt = time.Now()
	if err != nil {
		p.status = 0 // The entry is gone or stands still.
	}
	return p
}

// finish ends the faults, checks that one more version is in force in time, and stops all.
func (d *configDrill) finish(script func(d *configDrill)) drillHistory {
	time.Sleep(probePause)
	script(d)
	time.Sleep(contactTime + probePause)
	d.write()
	time.Sleep(applyTime + 3*probePause)
	close(d.stop)
	d.callers.Wait()
	d.tasks.Wait()
	for _, p := range d.entries {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range d.entries {
		select {
		case <-p.exited():
		case <-time.After(drillGrace):
		}
	}
	return d.history
}

// close ends the processes that the drill started.
func (d *configDrill) close() {
	for _, p := range d.entries {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if exited := p.exited(); exited != nil {
			<-exited
		}
		text, _ := os.ReadFile(p.logFile)
		if strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic:") {
			d.t.Errorf("%s: %s", p.name, text)
		}
	}
	for _, dialer := range d.dialers {
		dialer.close()
	}
	for _, u := range d.upstreams {
		u.Close()
	}
	d.store.Close()
}

// refusalLines returns the fields of the last log line of each request with a status, by id, and
// the lines on the configuration and the store.
func (d *configDrill) refusalLines(i int) (byID map[string]map[string]any, state []string) {
	d.t.Helper()
	text, err := os.ReadFile(d.entries[i].logFile)
	if err != nil {
		d.t.Fatal(err)
	}
	byID = map[string]map[string]any{}
	for line := range strings.Lines(string(text)) {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) != nil {
			continue // The last line of a killed process may be cut.
		}
		id, _ := fields["request"].(string)
		message, _ := fields["msg"].(string)
		switch {
		case id != "" && fields["status"] != nil:
			byID[id] = fields
		case strings.Contains(message, "configuration in force"), strings.Contains(message, "store"), strings.Contains(message, "decode"):
			state = append(state, strings.TrimSpace(line))
		}
	}
	return byID, state
}

// checkLines checks that the entry's own line of each refusal says on what it rests.
func (d *configDrill) checkLines(h drillHistory) {
	lines := make([]map[string]map[string]any, len(d.entries))
	for i := range d.entries {
		lines[i], _ = d.refusalLines(i)
	}
	missing, known := 0, 0
	for _, p := range h.probes {
		if !p.isRefusal() || h.wasKilledAfter(p) {
			continue
		}
		known++
		line := lines[p.entry][p.id]
		if problem := lineProblem(p, line); problem != "" {
			missing++
			if missing <= maxShown {
				d.t.Errorf("%v: %s in the entry's line %v", p, problem, line)
			}
		}
	}
	if missing > 0 {
		d.t.Errorf("got no explanation of %d of %d refusals", missing, known)
	}
}

// lineProblem returns what a log line lacks to explain a refusal.
func lineProblem(p drillProbe, line map[string]any) string {
	if line == nil {
		return "got no status"
	}
	if got, _ := line["status"].(float64); int(got) != p.status {
		return fmt.Sprint("got status ", line["status"])
	}
	for _, field := range []string{"version", "since", "highest", "confirmed"} {
		// Without confirmed, the copy was never confirmed; then nothing but 503 is given.
		if line[field] == nil && (field != "confirmed" || p.status != http.StatusServiceUnavailable) {
			return "got no " + field
		}
	}
	return ""
}

// maxShown and maxState bound what report prints: probes, and lines of the entry for each.
const (
	maxShown = 4
	maxState = 8
)

// report prints some broken rules with what the entry logged.
func (d *configDrill) report(broken []brokenRule) {
	d.t.Helper()
	shown := map[string]bool{}
	for _, b := range broken {
		what := fmt.Sprint(b.rule, b.probe.entry)
		if shown[what] || len(shown) == maxShown {
			continue
		}
		shown[what] = true
		lines, state := d.refusalLines(b.probe.entry)
		d.t.Logf("%s: %v, want version %d or newer\n  line %v\n  %s", b.rule, b.probe, b.want, lines[b.probe.id], strings.Join(state[max(0, len(state)-maxState):], "\n  "))
	}
	counts := map[string]int{}
	for _, b := range broken {
		counts[fmt.Sprintf("%s %s entry-%d", b.rule, b.probe.kind, b.probe.entry)]++
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		d.t.Errorf("%s: %d cases", what, counts[what])
	}
}
