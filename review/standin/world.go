package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

const (
	binary       = "target/cactustide"
	host         = "desk.example"
	readyTimeout = 15 * time.Second
	// Values of the small sites' settings.
	graceSeconds = 8
	retryRatio   = 0.2
	retrySlack   = 56
)

// record is the list of what was sent, answered and run, written to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// entry is a process of the system under test.
type entry struct {
	name, ip string
	boot     string
	front    string
	ready    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// pid returns the process id, or 0 if the process has ended.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.done:
		return 0
	default:
		return e.cmd.Process.Pid
	}
}

// world is a small deployment: the store, the operator, replicas and entries.
type world struct {
	rec      *record
	dir      string
	store    *stand.Store
	entries  []*entry
	mu       sync.Mutex
	replicas []*replica
	memoryMB int
}

func newWorld(rec *record, memoryMB int) (*world, error) {
	dir, err := os.MkdirTemp("", "cactustide-review-")
	if err != nil {
		return nil, err
	}
	store, err := stand.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &world{rec: rec, dir: dir, store: store, memoryMB: memoryMB}, nil
}

// freePorts returns ports that are free on an address, for TCP and UDP.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close() // It only held the port.
		}
	}()
	for len(ports) < n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startEntries starts the entries with the command of the deploy file and waits until they
// are ready.
func (w *world) startEntries(n int) error {
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.0.%d", 21+i)
	}
	ports, err := freePorts(ips[0], 4)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("front-%d", i+1), ip: ip, front: net.JoinHostPort(ip, strconv.Itoa(ports[0])), ready: net.JoinHostPort(ip, strconv.Itoa(ports[1]))}
		boot := map[string]any{
			"node-name": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
			"ip": ip, "zone": "zone-a", "region": "region", "zones": map[string]string{"zone-a": "region"},
			"listen":         map[string]string{"frontend": e.front, "readiness": e.ready, "control": net.JoinHostPort(ip, strconv.Itoa(ports[2]))},
			"internal-ports": []int{ports[3], ports[3] + 15},
			"bootstrap":      true, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
			"limits": map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": w.memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"bounds": map[string]any{
				"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": graceSeconds, "loss-slack-ms": 200, "config-apply-ms": 2000, "back-ms": 250,
				"retry-budget-ratio": retryRatio, "budget-window-s": 10, "retry-budget-slack": retrySlack, "recover-s": 12, "pass-ms": 120, "again-s": 8.1,
			},
			"platform": map[string]any{"address": w.store.Address, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
		}
		var seeds []string
		for _, s := range ips {
			seeds = append(seeds, net.JoinHostPort(s, strconv.Itoa(ports[2])))
		}
		boot["seed-nodes"] = seeds
		text, err := json.MarshalIndent(boot, "", "  ")
		if err != nil {
			return err
		}
		e.boot = filepath.Join(w.dir, e.name+".json")
		if err := os.WriteFile(e.boot, text, 0o600); err != nil {
			return err
		}
		if err := w.start(e); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		if err := waitReady(e); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an entry.
func (w *world) start(e *entry) error {
	out, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // The process has its own descriptor.
	cmd := exec.Command(binary, "direct")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSTIDE_BOOT=" + e.boot}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	w.rec.add("%s started", e.name)
	go func() {
		err := cmd.Wait()
		w.rec.add("%s ended: %v", e.name, err)
		close(done)
	}()
	return nil
}

func waitReady(e *entry) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // It is empty.
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(e.name + " was not ready in time")
}

// enforceMemory does what the platform does: it kills a process that uses more memory than
// its machine has. It returns when the world is closed.
func (w *world) enforceMemory(stop <-chan struct{}, killed func(e *entry, megabytes int)) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, e := range w.entries {
			pid := e.pid()
			if pid == 0 {
				continue
			}
			if mb := residentMB(pid); mb > w.memoryMB {
				killed(e, mb)
				_ = syscall.Kill(pid, syscall.SIGKILL) // It may have ended just now.
				<-e.done
			}
		}
	}
}

// residentMB returns the memory of a process, in units of 2^20 bytes.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB"))) // A number of the kernel.
			return kb >> 10
		}
	}
	return 0
}

// close ends all processes that the world started.
func (w *world) close() {
	for _, e := range w.entries {
		if pid := e.pid(); pid != 0 {
			_ = syscall.Kill(pid, syscall.SIGKILL) // It may have ended just now.
			<-e.done
		}
	}
	for _, r := range w.replicas {
		r.close()
	}
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir) // A temporary folder.
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"route-type"`
	Timeout     int    `json:"timeout-ms"`
	Target      int    `json:"target-latency-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapAim      int    `json:"gap-aim-ms"`
}

type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
}

type service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"health-path"`
	MaxConns   int            `json:"max-connections"`
	Protocol   string         `json:"protocol"`
	Engine     map[string]any `json:"engine,omitempty"`
}

type document struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]any `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

// limits are those of the small sites.
func limits() map[string]any {
	return map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
}

// putConfig writes a configuration as the operator does and returns its size in bytes.
func (w *world) putConfig(d document) (int, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return 0, err
	}
	w.store.Put("op/config", text)
	return len(text), nil
}
