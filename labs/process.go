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
	readyLimit  = 30 * time.Second
	clockTicks  = 100 // Of /proc/PID/stat, each second.
	pageSize    = 4096
	callerKey   = "eisklang-demo-key"
	serviceKey  = "gyeongnam-demo-key"
	labOperator = "o"
)

var errNotReady = errors.New("processes were not ready in time")

// process is a daemon under measurement.
type process struct {
	cmd    *exec.Cmd
	listen string
	peer   string
	admin  string
	name   string
}

// cpu returns the processor time used so far, seconds.
func (p *process) cpu() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// memory returns the resident memory, bytes.
func (p *process) memory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * pageSize
}

// farm is a deployment for measurement: stand-ins within this program, entries
// and agents as processes.
type farm struct {
	binary  string
	dir     string
	kv      *fakes.KV
	engines []*fakes.Engine
	plains  []*fakes.Plain
	entries []*process
	agents  []*process
}

type farmOptions struct {
	binary  string
	entries int
	engines int
	plains  int
	engine  fakes.EngineOptions
	slots   int
	queue   int
	edit    func(*config.Document)
	// shared lets all agents stand before one engine, when only their number
	// matters.
	shared bool
}

func newFarm(o farmOptions) (*farm, error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	f := &farm{binary: o.binary, dir: dir}
	if f.kv, err = fakes.StartKV("127.0.0.1:0", 1); err != nil {
		return nil, err
	}
	if err := f.apply(o.edit); err != nil {
		return nil, err
	}
	for i := range o.engines {
		if err := f.addEngine(i, o); err != nil {
			return nil, err
		}
	}
	for i := range o.plains {
		plain, err := fakes.StartPlain("127.0.0.1:0", 0)
		if err != nil {
			return nil, err
		}
		f.plains = append(f.plains, plain)
		if err := f.addAgent(fmt.Sprint("records-", i), "plain", "", "records", plain.Address(), o); err != nil {
			return nil, err
		}
	}
	for i := range o.entries {
		settings := fmt.Sprintf("platform: %s\n", f.kv.Address())
		p, err := f.start("entry", fmt.Sprint("entry-", i), settings)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, p)
	}
	return f, f.waitReady()
}

func (f *farm) addEngine(i int, o farmOptions) error {
	if o.shared && i > 0 {
		return f.addAgent(fmt.Sprint("birch-", i), "engine", "birch", "", f.engines[0].Address(), o)
	}
	e := o.engine
	e.Address, e.Model, e.Slots = "127.0.0.1:0", "birch", o.slots
	engine, err := fakes.StartEngine(e)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, engine)
	return f.addAgent(fmt.Sprint("birch-", i), "engine", "birch", "", engine.Address(), o)
}

func (f *farm) addAgent(name, kind, model, service, upstream string, o farmOptions) error {
	settings := fmt.Sprintf("platform: %s\nupstream: {kind: %s, address: %q, model: %q, service: %q, slots: %d, queue: %d}\n",
		f.kv.Address(), kind, upstream, model, service, o.slots, o.queue)
	p, err := f.start("agent", name, settings)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	host, port, _ := net.SplitHostPort(p.listen)
	number, _ := strconv.Atoi(port)
	f.kv.SetHost(fakes.KVHost{Name: name, Address: host, Port: number, Peer: p.peer, Group: model + service})
	return nil
}

func (f *farm) start(role, name, settings string) (*process, error) {
	p := &process{name: name}
	for _, address := range []*string{&p.listen, &p.peer, &p.admin} {
		*address = fakes.FreeAddress()
	}
	text := fmt.Sprintf("name: %s\ncentre: c\nlisten: %s\nadmin: %s\ntoken: t\noperator: %s\nlog: {level: warning}\nlimits: {agents: 1000}\n%s", name, p.listen, p.admin, labOperator, settings)
	if role == "agent" {
		text += "peer: " + p.peer + "\n"
	}
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(f.binary, role, "--settings", file)
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, p.cmd.Start()
}

func (f *farm) waitReady() error {
	for _, p := range append(append([]*process{}, f.agents...), f.entries...) {
		end := time.Now().Add(readyLimit)
		for {
			status, _, err := fasthttp.Get(nil, "http://"+p.admin+"/ready")
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if time.Now().After(end) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // Every entry has each agent's state.
	return nil
}

// close ends the processes and waits for them.
func (f *farm) close() {
	for _, p := range append(f.entries, f.agents...) {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, p := range f.plains {
		p.Close()
	}
	f.kv.Close()
	_ = os.RemoveAll(f.dir)
}

func (f *farm) register() config.Store {
	return wire.NewDocumentStore(store.New(f.kv.Address()), setup.DefaultPrefix)
}

// apply puts the example document in force, with long queue times.
func (f *farm) apply(edit func(*config.Document)) error {
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
	_, err = config.Change(f.register(), strconv.FormatInt(time.Now().UnixNano(), 36), "lab", func(current *config.Document) { *current = *d })
	return err
}

// status asks an entry for its status.
func (f *farm) status(p *process) (entry.Status, error) {
	var s entry.Status
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.admin + entry.PathStatus)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+labOperator)
	if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
		return s, err
	}
	return s, json.Unmarshal(resp.Body(), &s)
}
