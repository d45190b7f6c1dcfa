package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustide/claim"
	"cactustide/config"
	"cactustide/fakes"
	"cactustide/peer"
	"cactustide/route"
	"cactustide/sched"
	"cactustide/store"
	"cactustide/wire"
)

const settleTime = 2 * time.Second

// newSlopes returns the command that measures the slopes from which docs/CAPACITY.md is
// computed.
func newSlopes() command {
	parser := newSubcommand("slopes", "measures the slopes of docs/CAPACITY.md")
	binary := "bin/cactustide"
	out := "docs/measured/slopes.json"
	parser.String(&binary, "b", "binary", "path of the cactustide program")
	parser.String(&out, "o", "out", "measurement file")
	return command{parser: parser, run: func() error {
		m := &Measurements{}
		for _, measure := range []func(string, *Measurements) error{
			measureRequests, measureTokens, measureStreams, measureQueued, measureTeams,
			measureAgents, measureSyncBytes, measureClaims, measureDecisions,
		} {
			if err := measure(binary, m); err != nil {
				return err
			}
			for _, s := range m.Series {
				fmt.Fprintf(os.Stderr, "%s: %.4g %s, residual %.0f%%\n", s.Name, s.Slope, s.Unit, 100*s.MaxResidual)
			}
		}
		return m.write(out)
	}}
}

// measureRequests measures processor time per short unary request.
func measureRequests(binary string, m *Measurements) error {
	tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 1, slots: 64, queue: 1000})
	if err != nil {
		return err
	}
	defer tb.close()
	c := newCaller(tb.entries[0].listen)
	var entryPoints, agentPoints []Point
	for _, n := range []int{5000, 10000, 20000} {
		e, a := tb.entries[0].cpu(), tb.agents[0].cpu()
		err := parallel(n, 32, func(i int) error { return c.unary(fmt.Sprintf("%d tokens=1 ", i)) })
		if err != nil {
			return err
		}
		entryPoints = append(entryPoints, Point{float64(n), tb.entries[0].cpu() - e})
		agentPoints = append(agentPoints, Point{float64(n), tb.agents[0].cpu() - a})
	}
	m.add("entry cpu per request", "s", entryPoints)
	m.add("agent cpu per request", "s", agentPoints)
	return nil
}

// measureTokens measures processor time per token of a stream.
func measureTokens(binary string, m *Measurements) error {
	const streams = 50
	tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 1, slots: 64, queue: 1000, engine: fakes.EngineOptions{TimePerToken: 2 * time.Millisecond}})
	if err != nil {
		return err
	}
	defer tb.close()
	c := newCaller(tb.entries[0].listen)
	var entryPoints, agentPoints []Point
	for _, tokens := range []int{300, 600, 1200} {
		e, a := tb.entries[0].cpu(), tb.agents[0].cpu()
		err := parallel(streams, streams, func(i int) error {
			_, err := c.chat("question", fmt.Sprintf("%d tokens=%d ", i, tokens), true)
			return err
		})
		if err != nil {
			return err
		}
		entryPoints = append(entryPoints, Point{float64(streams * tokens), tb.entries[0].cpu() - e})
		agentPoints = append(agentPoints, Point{float64(streams * tokens), tb.agents[0].cpu() - a})
	}
	m.add("entry cpu per token", "s", entryPoints)
	m.add("agent cpu per token", "s", agentPoints)
	return nil
}

// measureStreams measures memory per open stream.
func measureStreams(binary string, m *Measurements) error {
	var entryPoints, agentPoints []Point
	for _, n := range []int{0, 250, 500, 1000} {
		tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 1, slots: 2000, queue: 1000, engine: fakes.EngineOptions{TimePerToken: 100 * time.Millisecond}})
		if err != nil {
			return err
		}
		c := newCaller(tb.entries[0].listen)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { _, _ = c.chat("question", fmt.Sprintf("%d tokens=40 ", i), true) })
		}
		time.Sleep(settleTime)
		entryPoints = append(entryPoints, Point{float64(n), tb.entries[0].memory()})
		agentPoints = append(agentPoints, Point{float64(n), tb.agents[0].memory()})
		wg.Wait()
		tb.close()
	}
	m.add("entry memory per open stream", "B", entryPoints)
	m.add("agent memory per open stream", "B", agentPoints)
	return nil
}

// measureQueued measures memory of an entry and an agent per queued request.
func measureQueued(binary string, m *Measurements) error {
	var entryPoints, agentPoints []Point
	for _, n := range []int{0, 500, 1000, 2000} {
		tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 1, slots: 1, queue: 5000, engine: fakes.EngineOptions{Prefill: time.Minute}})
		if err != nil {
			return err
		}
		c := newCaller(tb.entries[0].listen)
		for i := range n {
			go func() { _, _ = c.chat("question", fmt.Sprintf("%d tokens=1 ", i), false) }()
		}
		time.Sleep(settleTime)
		entryPoints = append(entryPoints, Point{float64(n), tb.entries[0].memory()})
		agentPoints = append(agentPoints, Point{float64(n), tb.agents[0].memory()})
		tb.close()
	}
	m.add("entry memory per waiting request", "B", entryPoints)
	m.add("agent memory per queued request", "B", agentPoints)
	return nil
}

// addTeams returns an edit that adds n teams, ten to a partner.
func addTeams(n int) func(*config.Document) {
	return func(d *config.Document) {
		for i := range n {
			if i%10 == 0 {
				d.Partners = append(d.Partners, config.Partner{Name: fmt.Sprint("partner-", i/10), Share: 1})
			}
			p := &d.Partners[len(d.Partners)-1]
			p.Teams = append(p.Teams, config.Team{Name: fmt.Sprint("team-", i), Class: "question", Keys: []string{fmt.Sprintf("%064x", i+1)}})
		}
	}
}

// measureTeams measures the document's size and an entry's memory per team.
func measureTeams(binary string, m *Measurements) error {
	var bytes, memory []Point
	for _, n := range []int{10, 300, 970} {
		tb, err := newTestbed(testbedOptions{binary: binary, entries: 1, engines: 1, slots: 8, queue: 10, editDocument: addTeams(n)})
		if err != nil {
			return err
		}
		d, _, err := tb.documentStore().Read()
		if err != nil {
			return err
		}
		data, err := wire.EncodeDocument(d)
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(n), float64(len(data))})
		memory = append(memory, Point{float64(n), tb.entries[0].memory()})
		tb.close()
	}
	m.add("document bytes per team", "B", bytes)
	m.add("entry memory per team", "B", memory)
	return nil
}

// measureAgents measures processor time and memory of an idle entry and an idle agent,
// and the calls to the platform, by the number of known agents, and the time for a
// change to reach all processes.
func measureAgents(binary string, m *Measurements) error {
	const idle = 10 * time.Second
	var entryCPU, entryMemory, agentCPU, agentMemory, change, calls []Point
	for _, n := range []int{8, 32, 96} {
		tb, err := newTestbed(testbedOptions{binary: binary, entries: 2, engines: n, slots: 8, queue: 10, sharedEngine: true})
		if err != nil {
			return err
		}
		e, a, callsBefore := tb.entries[0].cpu(), tb.agents[0].cpu(), tb.kv.Calls()
		time.Sleep(idle)
		size := float64(n)
		now := tb.kv.Calls()
		entryCPU = append(entryCPU, Point{size, (tb.entries[0].cpu() - e) / idle.Seconds()})
		agentCPU = append(agentCPU, Point{size, (tb.agents[0].cpu() - a) / idle.Seconds()})
		entryMemory = append(entryMemory, Point{size, tb.entries[0].memory()})
		agentMemory = append(agentMemory, Point{size, tb.agents[0].memory()})
		calls = append(calls, Point{size, float64(now["read"]+now["write"]+now["hosts"]-callsBefore["read"]-callsBefore["write"]-callsBefore["hosts"]) / idle.Seconds()})
		elapsed, err := tb.measureChange()
		if err != nil {
			return err
		}
		change = append(change, Point{size, elapsed.Seconds()})
		tb.close()
	}
	m.add("idle entry cpu per known agent", "core", entryCPU)
	m.add("entry memory per known agent", "B", entryMemory)
	m.add("idle agent cpu by agents", "core", agentCPU)
	m.add("idle agent memory by agents", "B", agentMemory)
	m.add("idle platform calls each second by agents", "1/s", calls)
	m.add("worst time of a change to all by agents", "s", change)
	return nil
}

// measureChange returns the longest time that one of ten changes takes to reach every
// process.
func (tb *testbed) measureChange() (time.Duration, error) {
	worst := time.Duration(0)
	for i := range 10 {
		start := time.Now()
		d, err := config.Change(tb.documentStore(), fmt.Sprint("change-", i, start.UnixNano()), "lab", func(d *config.Document) { d.Preset = []string{"peak", "ordinary"}[i%2] })
		if err != nil {
			return 0, err
		}
		for !tb.inForce(d.Generation) {
			time.Sleep(5 * time.Millisecond)
		}
		worst = max(worst, time.Since(start))
	}
	return worst, nil
}

func (tb *testbed) inForce(generation uint64) bool {
	for _, e := range tb.entries {
		s, err := tb.status(e)
		if err != nil || s.Generation != generation {
			return false
		}
		for _, a := range s.Agents {
			if a.Generation != generation {
				return false
			}
		}
	}
	return true
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and adds to the count.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureSyncBytes measures the bytes of control messages in both directions, without
// TCP and IP headers.
func measureSyncBytes(_ string, m *Measurements) error {
	state := &wire.AgentState{Name: "birch-0001", Incarnation: 3, Generation: 50000, Centre: "ibk-1", Model: "birch", Slots: 64, Running: 40, Queued: make([]int32, config.Tiers), Room: 200, Healthy: true, Pace: 30000, Preset: "ordinary"}
	server, err := peer.Listen("127.0.0.1:0", "t", peer.Handler{Sync: func(*wire.SyncRequest) *wire.SyncReply { return &wire.SyncReply{State: state} }})
	if err != nil {
		return err
	}
	defer server.Close()
	var bytes atomic.Int64
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = proxy.Close() }()
	go serveCountingProxy(proxy, server.Address(), &bytes)
	client := peer.NewClient(proxy.Addr().String(), "t", time.Second)
	defer client.Close()
	var points []Point
	total := 0
	for _, n := range []int{100, 200, 400} {
		for range n {
			if _, err := client.Sync(&wire.SyncRequest{Entry: "entry-0-3tjx8c0hktg9f", Generation: 50000}); err != nil {
				return err
			}
		}
		total += n
		points = append(points, Point{float64(total), float64(bytes.Load())})
	}
	m.add("control bytes per sync", "B", points)
	return nil
}

func serveCountingProxy(listener net.Listener, target string, bytes *atomic.Int64) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, countingConn{in, bytes}); _ = out.Close() }()
		go func() { _, _ = io.Copy(in, countingConn{out, bytes}); _ = in.Close() }()
	}
}

// measureClaims measures the time of claims and their calls to the store, through one
// fake of the platform's service.
func measureClaims(_ string, m *Measurements) error {
	kv, err := fakes.StartKV("127.0.0.1:0", 1)
	if err != nil {
		return err
	}
	defer kv.Close()
	claims := wire.NewClaimStore(store.New(kv.Address()), "lab")
	var elapsed, calls []Point
	total := 0
	start := time.Now()
	for _, n := range []int{2000, 4000, 8000} {
		err := parallel(n, 32, func(i int) error {
			key := fmt.Sprint(n, "-", i)
			_, record, err := claim.Take(claims, key, key, "agent", 1)
			if err != nil {
				return err
			}
			return claim.Finish(claims, key, record)
		})
		if err != nil {
			return err
		}
		total += n
		callCounts := kv.Calls()
		elapsed = append(elapsed, Point{float64(total), time.Since(start).Seconds()})
		calls = append(calls, Point{float64(total), float64(callCounts["read"] + callCounts["write"])})
	}
	m.add("time per claim through the stand-in", "s", elapsed)
	m.add("platform calls per claim", "", calls)
	return nil
}

// measureDecisions measures the processor time of choosing an agent and of starting a
// queued request.
func measureDecisions(_ string, m *Measurements) error {
	var choose, next []Point
	for _, n := range []int{4, 16, 64} {
		choose = append(choose, Point{float64(n), benchmarkChoose(n)})
	}
	for _, n := range []int{2, 10, 40} {
		next = append(next, Point{float64(n), benchmarkNext(n)})
	}
	m.add("choice of an agent per candidate", "s", choose)
	m.add("start and finish per waiting partner", "s", next)
	return nil
}

func benchmarkChoose(candidates int) float64 {
	now := time.Unix(100, 0)
	table := route.New(time.Hour)
	for i := range candidates {
		table.Update(now, route.Agent{Name: fmt.Sprintf("a%03d", i), Model: "m", Slots: 1 << 30, Healthy: true, TimePerToken: time.Millisecond})
	}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			table.Choose(now, route.Requirements{Model: "m"}, rand.IntN)
		}
	})
	return float64(r.NsPerOp()) / 1e9
}

func benchmarkNext(partners int) float64 {
	now := time.Unix(100, 0)
	s := sched.New(sched.Policy{Slots: 1, QueueLimit: 1 << 20, Classes: map[string]sched.Class{"c": {Tier: 1, Floor: 0.1}, "d": {Tier: 2}}})
	for i := range partners {
		s.Offer(now, &sched.Request{ID: fmt.Sprint("w", i), Class: "c", Partner: fmt.Sprint("p", i)})
	}
	r := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			x := s.Next(now)
			s.Finish(now, x.ID, 1)
			s.Offer(now, &sched.Request{ID: x.ID, Class: "c", Partner: x.Partner})
		}
	})
	return float64(r.NsPerOp()) / 1e9
}
