package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cactustide/platform/stand"
)

const (
	siteHost  = "desk.example"
	apiKey    = "key-of-the-desk"
	tenant    = "desk"
	heartbeat = 1200 * time.Millisecond
	// contact is contact-ms of the site.
	contact = 3 * time.Second
	// readyTimeout bounds the start of the entries.
	readyTimeout = 10 * time.Second
)

// route is a route of the configuration.
type route struct {
	prefix, kind, service string
	timeout, target       time.Duration
	attempts              int
	resumable             bool
	priority              int
}

// site is a small deployment: the store, entries as processes, and replicas.
type site struct {
	rec     *record
	dir     string
	binary  string
	store   *stand.Store
	entries []*entry
	grace   float64
	// memoryMB is the memory of an entry's host.
	memoryMB int
	stopBeat chan struct{}
	beats    sync.WaitGroup
	replicas []*replica
	routes   []route
	// engines holds the services whose replicas are model engines.
	engines map[string]bool
}

// entry is a process of the project.
type entry struct {
	name, ip string
	ports    [4]int // Callers, readiness, control, internal.
	boot     string
	cmd      *exec.Cmd
	done     chan struct{}
	logFile  *os.File
}

func (e *entry) address() string { return net.JoinHostPort(e.ip, strconv.Itoa(e.ports[0])) }

func newSite(rec *record, binary string) (*site, error) {
	dir, err := os.MkdirTemp("", "cactustide-review-")
	if err != nil {
		return nil, err
	}
	store, err := stand.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &site{rec: rec, dir: dir, binary: binary, store: store, grace: 8, memoryMB: 284, stopBeat: make(chan struct{}), engines: map[string]bool{}}, nil
}

// putConfig writes the configuration with a version.
func (s *site) putConfig(version int) {
	var routes, services []map[string]any
	seen := map[string]bool{}
	for i, r := range s.routes {
		m := map[string]any{
			"name": "r-" + strconv.Itoa(i), "host": siteHost, "prefix": r.prefix, "route-type": r.kind, "service": r.service,
			"timeout-ms": r.timeout.Milliseconds(), "target-latency-ms": r.target.Milliseconds(), "priority": r.priority,
			"max-attempts": r.attempts, "public": false, "sticky": r.kind == "streaming", "resumable": r.resumable,
		}
		if r.kind == "streaming" {
			m["gap-aim-ms"] = 800
		}
		routes = append(routes, m)
		if seen[r.service] {
			continue
		}
		seen[r.service] = true
		service := map[string]any{"name": r.service, "health-path": "/healthz", "max-connections": 370, "protocol": "h1", "tls": false}
		if s.engines[r.service] {
			service["engine"] = map[string]any{"slots": 64, "kv-capacity-tokens": 536382, "stride": 4, "models": []map[string]any{{"name": "m"}}}
		}
		services = append(services, service)
	}
	data, _ := json.Marshal(map[string]any{ // Plain values always encode.
		"version": version, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	s.store.Put("op/config", data)
}

// addReplica starts a replica and its registrations.
func (s *site) addReplica(service, zone string, slots int) (*replica, error) {
	r, err := newReplica(s, fmt.Sprintf("i-%s-%d", service, len(s.replicas)), service, zone, slots)
	if err != nil {
		return nil, err
	}
	s.replicas = append(s.replicas, r)
	s.store.Put("servers/"+r.id, r.registration())
	s.beats.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.stopBeat:
				return
			case <-ticker.C:
				r.beat()
			}
		}
	})
	return r, nil
}

// addEntries starts the entries and waits until they are ready.
func (s *site) addEntries(n int) error {
	third := 16 + os.Getpid()%200
	ports, err := freePorts(fmt.Sprintf("127.1.%d.1", third), 4)
	if err != nil {
		return err
	}
	for i := range n {
		s.entries = append(s.entries, &entry{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.1.%d.%d", third, i+1), ports: ports})
	}
	for _, e := range s.entries {
		e.boot = filepath.Join(s.dir, e.name+".json")
		if err := s.writeBoot(e, s.grace); err != nil {
			return err
		}
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if !e.waitReady() {
			return fmt.Errorf("%s is not ready after %v", e.name, readyTimeout)
		}
	}
	return nil
}

func freePorts(ip string, n int) (ports [4]int, err error) {
	for i := range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return ports, err
		}
		defer func() { _ = l.Close() }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// writeBoot writes the settings file of an entry as the platform does, at once.
func (s *site) writeBoot(e *entry, grace float64) error {
	at := func(port int) string { return net.JoinHostPort(e.ip, strconv.Itoa(port)) }
	seeds := []string{}
	for _, other := range s.entries[:min(3, len(s.entries))] {
		seeds = append(seeds, net.JoinHostPort(other.ip, strconv.Itoa(other.ports[2])))
	}
	data, _ := json.Marshal(map[string]any{ // Plain values always encode.
		"node-name": e.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
		"ip": e.ip, "zone": "tirol-a", "region": "tirol", "zones": map[string]string{"tirol-a": "tirol"},
		"listen":         map[string]string{"frontend": at(e.ports[0]), "readiness": at(e.ports[1]), "control": at(e.ports[2])},
		"internal-ports": []int{e.ports[3], e.ports[3] + 15}, "seed-nodes": seeds, "bootstrap": true, "in-tolerance": false,
		"limits":    map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": s.memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contact.Milliseconds(), "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": grace, "loss-slack-ms": 200, "config-apply-ms": 2000, "back-ms": 250, "max-skew-ms": 5000, "strict-revoke": false,
			"revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 56, "recover-s": 12, "pass-ms": 120, "again-s": 10,
		},
		"platform": map[string]any{"address": s.store.Address, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	})
	next := e.boot + ".next"
	if err := os.WriteFile(next, data, 0o600); err != nil {
		return err
	}
	return os.Rename(next, e.boot)
}

// startEntry starts an entry with the command of the deploy file and the environment that
// the platform gives.
func (s *site) startEntry(e *entry) error {
	var err error
	if e.logFile, err = os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	e.cmd = exec.Command(s.binary, "direct")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSTIDE_BOOT=" + e.boot}
	e.cmd.Stdout, e.cmd.Stderr = e.logFile, e.logFile
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // The case looks at what callers saw.
		close(done)
	}(e.cmd, e.done)
	s.rec.line("start %s pid %d at %s", e.name, e.cmd.Process.Pid, e.address())
	return nil
}

func (e *entry) waitReady() bool {
	client := http.Client{Timeout: time.Second}
	url := "http://" + net.JoinHostPort(e.ip, strconv.Itoa(e.ports[1])) + "/v1/readyz"
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(url)
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

func (e *entry) signal(sig syscall.Signal) {
	_ = e.cmd.Process.Signal(sig) // It may have ended already.
}

// residentMB returns the resident memory of the process in units of 2^20 bytes, and false
// once it has ended.
func (e *entry) residentMB() (float64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, false
	}
	return resident * float64(os.Getpagesize()) / (1 << 20), true
}

// watchMemory samples the memory of the entries until the function that it returns is called,
// which writes the most of each to the record.
func (s *site) watchMemory() func() {
	done := make(chan struct{})
	most := make([]float64, len(s.entries))
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for i, e := range s.entries {
				if mb, ok := e.residentMB(); ok {
					most[i] = max(most[i], mb)
				}
			}
		}
	})
	return func() {
		close(done)
		watching.Wait()
		s.rec.say("most resident memory by entry, MiB: %.0f; memory-mb is %d", most, s.memoryMB)
	}
}

// close ends all processes of the site by their ids.
func (s *site) close() {
	for _, e := range s.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.cmd.Process.Kill() // It may have ended already.
		<-e.done
		_ = e.logFile.Close()
	}
	close(s.stopBeat)
	s.beats.Wait()
	for _, r := range s.replicas {
		r.close()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir) // A rest in the temporary folder does no harm.
	} else {
		fmt.Println("logs:", s.dir)
	}
}
