package tests

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactustide/config"
	"cactustide/entry"
	"cactustide/fakes"
	"cactustide/store"
	"cactustide/wire"
)

// binary is the path of the program, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cactustide")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "cactustide")
	build := exec.Command("go", "build", "-race", "-o", binary, "..")
	if os.Getenv("CACTUSTIDE_NO_RACE") != "" {
		build = exec.Command("go", "build", "-o", binary, "..")
	}
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	eisklangKey  = "eisklang-demo-key"
	gyeongnamKey = "gyeongnam-demo-key"
	service      = "records"
	model        = "birch"
)

// process is an entry or agent that runs as a process of its own.
type process struct {
	t            *testing.T
	role         string
	settingsFile string
	listen       string
	peer         string
	admin        string
	name         string
	log          *bytes.Buffer
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(binary, p.role, "--settings", p.settingsFile)
	p.cmd.Stderr = &lockedWriter{buffer: p.log, mu: &p.mu}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

type lockedWriter struct {
	buffer *bytes.Buffer
	mu     *sync.Mutex
}

// Write appends to the buffer, and empties it first if it holds more than 1 MiB.
func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len() > 1<<20 {
		w.buffer.Reset()
	}
	return w.buffer.Write(b)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

func (p *process) wait() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
}

func (p *process) hasExited() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// testStack is a deployment: fake services within the test, entries and agents as
// processes.
type testStack struct {
	t       *testing.T
	dir     string
	kv      *fakes.KV
	engines []*fakes.Engine
	plains  []*fakes.Plain
	agents  []*process
	entries []*process
	client  *http.Client
}

type stackOptions struct {
	entries      int
	engines      int
	plains       int
	slots        int
	queue        int
	engine       fakes.EngineOptions
	plainLatency time.Duration
	progress     string
	seed         uint64
	edit         func(*config.Document)
	// level of the logs; empty means info.
	level string
	// entrySettings are additional lines of the entries' settings.
	entrySettings string
	// fence makes agents send fencing tokens.
	fence bool
	// platformFor replaces the address of the key-value service for a process; nil keeps it.
	platformFor func(role string, i int, address string) string
}

func (o stackOptions) logLevel() string {
	if o.level == "" {
		return "info"
	}
	return o.level
}

func newStack(t *testing.T, o stackOptions) *testStack {
	t.Helper()
	s := &testStack{t: t, dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192}}}
	var err error
	if s.kv, err = fakes.StartKV("127.0.0.1:0", o.seed); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	s.apply(o.edit)
	for i := range o.engines {
		e := o.engine
		e.Address, e.Model = "127.0.0.1:0", model
		if e.Slots == 0 {
			e.Slots = max(8, o.slots)
		}
		if e.Downtime == 0 {
			e.Downtime = time.Second
		}
		engine, err := fakes.StartEngine(e)
		if err != nil {
			t.Fatal(err)
		}
		s.engines = append(s.engines, engine)
		s.addAgent(fmt.Sprint("birch-", i), "engine", model, "", engine.Address(), o)
	}
	for i := range o.plains {
		plain, err := fakes.StartPlain("127.0.0.1:0", o.plainLatency)
		if err != nil {
			t.Fatal(err)
		}
		s.plains = append(s.plains, plain)
		s.addAgent(fmt.Sprint("records-", i), "plain", "", service, plain.Address(), o)
	}
	for i := range o.entries {
		s.addEntry(i, o)
	}
	s.waitReady()
	return s
}

func (s *testStack) close() {
	for _, p := range append(s.entries, s.agents...) {
		p.signal(syscall.SIGCONT)
		p.kill()
		if strings.Contains(p.logText(), "DATA RACE") || strings.Contains(p.logText(), "panic:") {
			s.t.Errorf("%s: %s", p.name, p.logText())
		}
	}
	for _, e := range s.engines {
		e.Close()
	}
	for _, p := range s.plains {
		p.Close()
	}
	s.kv.Close()
}

// document returns the example document.
func document(t *testing.T) *config.Document {
	t.Helper()
	text, err := os.ReadFile("../examples/document.yaml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := wire.ParseDocument(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// documentStore returns the store of the document, as ctl uses it.
func (s *testStack) documentStore() config.Store {
	return wire.NewDocumentStore(store.New(s.kv.Address()), "cactustide")
}

func (s *testStack) apply(edit func(*config.Document)) {
	s.t.Helper()
	_, err := config.Change(s.documentStore(), fmt.Sprint("test-", time.Now().UnixNano()), "test", func(d *config.Document) {
		*d = *document(s.t)
		if edit != nil {
			edit(d)
		}
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *testStack) newProcess(role, name string, settings string) *process {
	p := &process{
		t: s.t, role: role, name: name, log: &bytes.Buffer{}, settingsFile: filepath.Join(s.dir, name+".yaml"),
		listen: fakes.FreeAddress(), peer: fakes.FreeAddress(), admin: fakes.FreeAddress(),
	}
	text := fmt.Sprintf("name: %s\ncentre: ibk-1\nlisten: %s\nadmin: %s\ntoken: t\noperator: o\n%s", name, p.listen, p.admin, settings)
	if role == "agent" {
		text += "peer: " + p.peer + "\n"
	}
	if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.start()
	return p
}

func (s *testStack) platformAddress(o stackOptions, role string, i int) string {
	if o.platformFor == nil {
		return s.kv.Address()
	}
	return o.platformFor(role, i, s.kv.Address())
}

func (s *testStack) addAgent(name, kind, model, service, upstream string, o stackOptions) {
	settings := fmt.Sprintf("platform: %s\nlog: {level: %s}\nupstream: {kind: %s, address: %q, model: %q, service: %q, slots: %d, queue: %d, fence: %v}\nlimits: {stop: 20s}\n",
		s.platformAddress(o, "agent", len(s.agents)), o.logLevel(), kind, upstream, model, service, o.slots, o.queue, o.fence)
	p := s.newProcess("agent", name, settings)
	s.agents = append(s.agents, p)
	host, port, _ := net.SplitHostPort(p.listen)
	h := fakes.KVHost{Name: name, Address: host, Peer: p.peer, Group: model + service}
	fmt.Sscan(port, &h.Port)
	s.kv.SetHost(h)
}

func (s *testStack) addEntry(i int, o stackOptions) {
	progress := o.progress
	if progress == "" {
		progress = "3s"
	}
	settings := fmt.Sprintf("platform: %s\nlog: {level: %s}\nlimits: {progress: %s, stop: 20s}\n%speers:\n", s.platformAddress(o, "entry", i), o.logLevel(), progress, o.entrySettings)
	for _, a := range s.agents {
		settings += fmt.Sprintf("  - {name: %s, listen: %q, peer: %q}\n", a.name, a.listen, a.peer)
	}
	s.entries = append(s.entries, s.newProcess("entry", fmt.Sprint("entry-", i), settings))
}

// waitReady waits until every entry and agent is ready.
func (s *testStack) waitReady() {
	s.t.Helper()
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if !s.becomes(20*time.Second, func() bool { return s.isReady(p) }) {
			s.t.Fatalf("%s ready: not within 20s; exited: %v, listen %s, peer %s, admin %s; its log:\n%s", p.name, p.hasExited(), p.listen, p.peer, p.admin, p.logText())
		}
	}
}

func (s *testStack) isReady(p *process) bool {
	resp, err := s.client.Get("http://" + p.admin + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func (s *testStack) waitFor(what string, timeout time.Duration, condition func() bool) {
	s.t.Helper()
	if !s.becomes(timeout, condition) {
		s.t.Fatalf("%s: not within %v", what, timeout)
	}
}

// becomes waits until a condition holds and reports whether it did within the timeout.
func (s *testStack) becomes(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status    int
	execution string
	id        string
	body      string
	err       error
}

// call sends one request as a caller would, without retries.
func (s *testStack) call(entry *process, method, path, key string, header map[string]string, body string, timeout time.Duration) callerResponse {
	req, err := http.NewRequest(method, "http://"+entry.listen+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.GetBody = nil // The client must not retry.
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := *s.client
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, execution: resp.Header.Get("X-Run"), id: resp.Header.Get("X-Request-Id"), body: string(data), err: err}
}

func (s *testStack) sendChat(entry *process, content string, stream bool, timeout time.Duration) callerResponse {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, content)
	return s.call(entry, http.MethodPost, "/v1/chat/completions", eisklangKey, nil, body, timeout)
}

func (s *testStack) sendAction(entry *process, key string, timeout time.Duration) callerResponse {
	return s.call(entry, http.MethodPost, "/s/records/permits", gyeongnamKey, map[string]string{"Idempotency-Key": key, "X-Class": "action"}, "permit "+key, timeout)
}

// usage returns the requests by partner, and by partner and outcome, that one entry
// counted.
func (s *testStack) usage(e *process) map[string]int64 {
	s.t.Helper()
	var counters []struct {
		Partner, Outcome string
		Requests         int64
	}
	s.getAdmin(e, entry.PathUsage, &counters)
	out := map[string]int64{}
	for _, c := range counters {
		out[c.Partner] += c.Requests
		out[c.Partner+"/"+c.Outcome] += c.Requests
	}
	return out
}

func (s *testStack) getAdmin(e *process, path string, into any) {
	s.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+e.admin+path, nil)
	req.Header.Set("Authorization", "Bearer o")
	resp, err := s.client.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	decodeJSON(s.t, resp.Body, into)
}
