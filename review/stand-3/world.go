package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the settings, as in those of a small deployment.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	maxSkew     = 5 * time.Second
)

// world holds the stand-ins and the programs of one case.
type world struct {
	trouble  bool
	dir      string
	program  string
	begin    time.Time
	store    *store
	replicas []*replica
	entries  []*entry
	ids      atomic.Int64
	// window is the size of the replicas' receive buffers, bytes; 0 leaves it to the system.
	window int

	mu      sync.Mutex
	record  *os.File
	runs    map[string][]run
	answers []answer
}

func newWorld(program, dir, record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{trouble: trouble, dir: dir, program: program, begin: time.Now(), store: s, record: f, runs: map[string][]run{}}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as seconds since the begin.
func (w *world) since(at time.Time) float64 { return at.Sub(w.begin).Seconds() }

func (w *world) recordRun(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[r.id] = append(w.runs[r.id], r)
	w.noteLocked("run      %s at %s tenant %s %s after event %q", r.id, r.replica, r.tenant, r.path, r.lastEventID)
}

func (w *world) runsOf(id string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs[id]...)
}

// sleepUntil waits until a time since the begin.
func (w *world) sleepUntil(seconds float64) {
	time.Sleep(time.Until(w.begin.Add(time.Duration(seconds * float64(time.Second)))))
}

// entry is a process of the program.
type entry struct {
	name, ip string
	boot     string
	cmd      *exec.Cmd
	done     chan struct{}
	log      *os.File
}

// ports are the same at all entries, each of which has a loopback address of its own.
type ports struct{ frontend, readiness, control, internal int }

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string) (ports, error) {
	for range 50 {
		var list []int
		for range 4 {
			l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
			if err != nil {
				return ports{}, err
			}
			list = append(list, l.Addr().(*net.TCPAddr).Port)
			_ = l.Close()
		}
		if areFree(ips, list) {
			return ports{list[0], list[1], list[2], list[3]}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func areFree(ips []string, list []int) bool {
	for _, ip := range ips {
		for _, port := range list {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
			c, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = c.Close()
		}
	}
	return true
}

// startEntries starts n entries and waits until they are ready.
func (w *world) startEntries(n int, storeAddress func(i int) string) error {
	var ips []string
	block := os.Getpid() % 200
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.7.%d.%d", block, i+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(p.control)))
	}
	zones := []string{"changwon", "gimhae", "jinju"}
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("front-%d", i+1), ip: ip}
		at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
		boot, _ := json.Marshal(map[string]any{
			"node-name": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"}, "ip": ip,
			"zone": zones[i%len(zones)], "region": "gyeongnam",
			"zones":          map[string]string{"changwon": "gyeongnam", "gimhae": "gyeongnam", "jinju": "gyeongnam"},
			"listen":         map[string]string{"frontend": at(p.frontend), "readiness": at(p.readiness), "control": at(p.control)},
			"internal-ports": []int{p.internal, p.internal + 15}, "seed-nodes": seeds, "bootstrap": true, "in-tolerance": false,
			"limits":   map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
			"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contact.Milliseconds(), "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
				"loss-slack-ms": 200, "config-apply-ms": configApply.Milliseconds(), "back-ms": 250, "max-skew-ms": maxSkew.Milliseconds(),
				"strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 56,
				"recover-s": 12, "pass-ms": 120, "again-s": 8.1,
			},
			"platform": map[string]any{
				"address": storeAddress(i), "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000,
			},
		})
		e.boot = filepath.Join(w.dir, e.name+".json")
		if err := os.WriteFile(e.boot, boot, 0o644); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := w.spawn(e); err != nil {
			return err
		}
	}
	for _, e := range w.entries {
		if !e.waitReady(p.readiness, 15*time.Second) {
			return fmt.Errorf("%s is not ready", e.name)
		}
		e.ip = net.JoinHostPort(e.ip, strconv.Itoa(p.frontend))
	}
	return nil
}

// spawn starts the process of an entry.
func (w *world) spawn(e *entry) error {
	var err error
	if e.log, err = os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	e.cmd = exec.Command(w.program, "direct")
	e.cmd.Env = append(os.Environ(), "CACTUSTIDE_BOOT="+e.boot)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}, log *os.File) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(e.cmd, e.done, e.log)
	w.note("started  %s, process %d", e.name, e.cmd.Process.Pid)
	return nil
}

func (e *entry) waitReady(port int, timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + net.JoinHostPort(e.ip, strconv.Itoa(port)) + "/v1/readyz")
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

// close ends the processes that the case started.
func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	_ = w.record.Close()
}

// request is what a client sends.
type request struct {
	method, path, key, body string
	stream                  bool
	// model and shared are the model and the shared part of the prompt of a stream.
	model, shared string
	limit         time.Duration
}

// answer is what a client got.
type answer struct {
	id, entry, key, path string
	sentAt, endedAt      time.Time
	status               int
	body, signature      string
	err                  error
	header               http.Header
}

const hostName = "ficu95.example"

// send sends one request to an entry and records the answer.
func (w *world) send(client *http.Client, e *entry, q request) answer {
	a := answer{id: fmt.Sprintf("%016x", w.ids.Add(1)), entry: e.name, key: q.key, path: q.path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+e.ip+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set("Cactustide-Request-Id", a.id)
	req.Header.Set("Cactustide-Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.stream {
		req.Header.Set("Cactustide-Model", cmp.Or(q.model, "m"))
		req.Header.Set("Cactustide-Token-Usage", "4460,50")
		req.Header.Set("Cactustide-Prompt-Prefix", cmp.Or(q.shared, "5c1e07a2:4200")+","+a.id+":260")
	}
	w.note("sent     %s to %s key %s %s", a.id, e.name, q.key, q.path)
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.signature, a.header = resp.StatusCode, string(body), resp.Header.Get("Cactustide-Response-Signature"), resp.Header
	}
	a.err, a.endedAt = err, time.Now()
	w.note("answered %s status %d signature %q %d bytes error %v", a.id, a.status, a.signature, len(a.body), a.err)
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	return a
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
	attempts                    int
	resumable                   bool
}

// engine is what the configuration says of the replicas of a language model.
var engine = map[string]any{
	"slots": 48, "kv-capacity-tokens": 444000, "kv-bytes": 131072, "link-mbps": 740000.0, "moves": true, "backups": true, "stride": 5,
	"most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []map[string]any{{"name": "m"}},
}

func encodeConfig(version uint64, routes []route, tenants map[string][]string) []byte {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": hostName, "prefix": r.prefix, "route-type": r.kind, "timeout-ms": r.timeout.Milliseconds(),
			"target-latency-ms": 400, "priority": 1, "service": r.service, "max-attempts": r.attempts, "public": false,
			"sticky": r.kind == "streaming", "resumable": r.resumable, "gap-aim-ms": 300,
		})
	}
	var tenantList []map[string]any
	for name, keys := range tenants {
		tenantList = append(tenantList, map[string]any{"name": name, "api-keys": keys, "priority": 1})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": "huvo11a", "health-path": "/healthz", "max-connections": 300, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "wuno96b", "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": false},
			{"name": "zela27c", "health-path": "/healthz", "max-connections": 300, "protocol": "h1", "tls": false, "engine": engine},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenantList,
	})
	return data
}

// smallFleet starts the replicas of a small deployment.
func (w *world) smallFleet() error {
	zones := []string{"changwon", "gimhae", "jinju"}
	for i := range 9 {
		if _, err := w.newReplica(fmt.Sprintf("i-a%d", i), "huvo11a", zones[i%3]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := w.newReplica(fmt.Sprintf("i-l%d", i), "wuno96b", zones[i%3]); err != nil {
			return err
		}
	}
	return nil
}

var usualRoutes = []route{
	{name: "r-draft", prefix: "/pufi791/", kind: "streaming", service: "huvo11a", timeout: 5 * time.Second, attempts: 2, resumable: true},
	{name: "r-desk", prefix: "/lohu930/", kind: "streaming", service: "huvo11a", timeout: 10 * time.Second, attempts: 1},
	{name: "r-issue", prefix: "/puxa403/", kind: "non_idempotent", service: "wuno96b", timeout: 800 * time.Millisecond, attempts: 1},
	{name: "r-lookup", prefix: "/cufi504/", kind: "idempotent", service: "wuno96b", timeout: 800 * time.Millisecond, attempts: 2},
}
