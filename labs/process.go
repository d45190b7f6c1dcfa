package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/config"
	"cactustide/entry"
	"cactustide/fakes"
	"cactustide/setup"
	"cactustide/store"
	"cactustide/wire"
)

const (
	readyTimeout        = 30 * time.Second
	clockTicksPerSecond = 100 // USER_HZ, for the times in /proc/PID/stat.
	pageBytes           = 4096
	callerAPIKey        = "eisklang-demo-key"
	serviceAPIKey       = "gyeongnam-demo-key"
	operatorToken       = "o"
)

var errNotReady = errors.New("wait for entries and agents: not ready in time")

// process is a running entry or agent.
type process struct {
	cmd    *exec.Cmd
	listen string
	peer   string
	admin  string
	name   string
}

// cpu returns the processor time used so far in seconds, 0 if it cannot be read.
func (p *process) cpu() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSecond
}

// memory returns the resident memory in bytes, 0 if it cannot be read.
func (p *process) memory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * pageBytes
}

// testbed is a deployment for measurements: fake services in this process, entries and
// agents as processes of their own.
type testbed struct {
	binary        string
	dir           string
	kv            *fakes.KV
	engines       []*fakes.Engine
	plainServices []*fakes.Plain
	entries       []*process
	agents        []*process
}

type testbedOptions struct {
	binary        string
	entries       int
	engines       int
	plainServices int
	engine        fakes.EngineOptions
	slots         int
	queue         int
	editDocument  func(*config.Document)
	// sharedEngine puts all agents in front of one engine, for measurements that depend only
	// on the number of agents.
	sharedEngine bool
}

func newTestbed(o testbedOptions) (*testbed, error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	tb := &testbed{binary: o.binary, dir: dir}
	if tb.kv, err = fakes.StartKV("127.0.0.1:0", 1); err != nil {
		return nil, err
	}
	if err := tb.applyDocument(o.editDocument); err != nil {
		return nil, err
	}
	for i := range o.engines {
		if err := tb.addEngine(i, o); err != nil {
			return nil, err
		}
	}
	for i := range o.plainServices {
		plain, err := fakes.StartPlain("127.0.0.1:0", 0)
		if err != nil {
			return nil, err
		}
		tb.plainServices = append(tb.plainServices, plain)
		if err := tb.addAgent(fmt.Sprint("records-", i), "plain", "", "records", plain.Address(), o); err != nil {
			return nil, err
		}
	}
	for i := range o.entries {
		settings := fmt.Sprintf("platform: %s\n", tb.kv.Address())
		p, err := tb.startProcess("entry", fmt.Sprint("entry-", i), settings)
		if err != nil {
			return nil, err
		}
		tb.entries = append(tb.entries, p)
	}
	return tb, tb.waitReady()
}

func (tb *testbed) addEngine(i int, o testbedOptions) error {
	if o.sharedEngine && i > 0 {
		return tb.addAgent(fmt.Sprint("birch-", i), "engine", "birch", "", tb.engines[0].Address(), o)
	}
	e := o.engine
	e.Address, e.Model, e.Slots = "127.0.0.1:0", "birch", o.slots
	engine, err := fakes.StartEngine(e)
	if err != nil {
		return err
	}
	tb.engines = append(tb.engines, engine)
	return tb.addAgent(fmt.Sprint("birch-", i), "engine", "birch", "", engine.Address(), o)
}

func (tb *testbed) addAgent(name, kind, model, service, upstream string, o testbedOptions) error {
	settings := fmt.Sprintf("platform: %s\nupstream: {kind: %s, address: %q, model: %q, service: %q, slots: %d, queue: %d}\n",
		tb.kv.Address(), kind, upstream, model, service, o.slots, o.queue)
	p, err := tb.startProcess("agent", name, settings)
	if err != nil {
		return err
	}
	tb.agents = append(tb.agents, p)
	host, port, _ := net.SplitHostPort(p.listen)
	number, _ := strconv.Atoi(port)
	tb.kv.SetHost(fakes.KVHost{Name: name, Address: host, Port: number, Peer: p.peer, Group: model + service})
	return nil
}

func (tb *testbed) startProcess(role, name, settings string) (*process, error) {
	p := &process{name: name}
	for _, address := range []*string{&p.listen, &p.peer, &p.admin} {
		*address = fakes.FreeAddress()
	}
	text := fmt.Sprintf("name: %s\ncentre: c\nlisten: %s\nadmin: %s\ntoken: t\noperator: %s\nlog: {level: warning}\nlimits: {agents: 1000}\n%s", name, p.listen, p.admin, operatorToken, settings)
	if role == "agent" {
		text += "peer: " + p.peer + "\n"
	}
	file := filepath.Join(tb.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(tb.binary, role, "--settings", file)
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, p.cmd.Start()
}

func (tb *testbed) waitReady() error {
	for _, p := range append(append([]*process{}, tb.agents...), tb.entries...) {
		deadline := time.Now().Add(readyTimeout)
		for {
			status, _, err := fasthttp.Get(nil, "http://"+p.admin+"/ready")
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // Until every entry has received each agent's state.
	return nil
}

// close kills the processes, waits for them and closes the fakes.
func (tb *testbed) close() {
	for _, p := range append(tb.entries, tb.agents...) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	for _, e := range tb.engines {
		e.Close()
	}
	for _, p := range tb.plainServices {
		p.Close()
	}
	tb.kv.Close()
	_ = os.RemoveAll(tb.dir)
}

func (tb *testbed) documentStore() config.Store {
	return wire.NewDocumentStore(store.New(tb.kv.Address()), setup.DefaultPrefix)
}

// applyDocument applies the example document with long queue times and without caps,
// changed by edit if it is not nil.
func (tb *testbed) applyDocument(edit func(*config.Document)) error {
	text, err := os.ReadFile("examples/document.yaml")
	if err != nil {
		return err
	}
	d, err := wire.ParseDocument(text)
	if err != nil {
		return err
	}
	for i := range d.Classes {
		d.Classes[i].Wait = time.Hour
		d.Classes[i].Cap = 0
	}
	if edit != nil {
		edit(d)
	}
	_, err = config.Change(tb.documentStore(), strconv.FormatInt(time.Now().UnixNano(), 36), "lab", func(current *config.Document) { *current = *d })
	return err
}

// status fetches the status of an entry.
func (tb *testbed) status(p *process) (entry.Status, error) {
	var s entry.Status
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.admin + entry.PathStatus)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+operatorToken)
	if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
		return s, err
	}
	return s, json.Unmarshal(resp.Body(), &s)
}
