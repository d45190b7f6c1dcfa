package fakes

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// KVFaults are the faults to inject; the zero value injects none. /fake/faults
// takes them as JSON.
type KVFaults struct {
	// Down drops every call before its effect.
	Down bool
	// Slow is the delay of each call, milliseconds.
	Slow int
	// Lose is the probability that a write's reply is lost after its effect.
	Lose float64
	// Drop is the probability that a call is lost before its effect.
	Drop float64
	// Stale is the probability that a read returns the value before the last
	// write.
	Stale float64
	// Silent leaves each call without an answer that is taken while it is set or waits then.
	Silent bool
}

type kvValue struct {
	data          []byte
	index         uint64
	previousData  []byte
	previousIndex uint64
}

// KVHost is a host in the platform's list of hosts. /fake/host takes it as JSON.
type KVHost struct {
	Name    string
	Address string
	Port    int
	Peer    string
	Group   string
	Leaving bool
}

// KV is a fake of the platform's key-value service: /v1/kv with ?cas= and blocking
// reads, and /v1/health/service.
type KV struct {
	server
	mu      sync.Mutex
	values  map[string]*kvValue
	index   uint64
	changed chan struct{}
	faults  KVFaults
	hosts   map[string]KVHost
	rng     *rand.Rand
	calls   map[string]int
	// silences counts how often Silent was set.
	silences int
}

// StartKV starts the service at address. The seed determines the random faults.
func StartKV(address string, seed uint64) (*KV, error) {
	kv := &KV{
		values:  map[string]*kvValue{},
		changed: make(chan struct{}),
		hosts:   map[string]KVHost{},
		rng:     rand.New(rand.NewPCG(seed, seed)),
		calls:   map[string]int{},
	}
	return kv, kv.start(address, kv.handle)
}

// SetFaults replaces the faults.
func (kv *KV) SetFaults(f KVFaults) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if f.Silent {
		kv.silences++
	}
	kv.faults = f
}

// SetHost adds or replaces a host of the list.
func (kv *KV) SetHost(h KVHost) {
	kv.mu.Lock()
	kv.hosts[h.Name] = h
	kv.mu.Unlock()
}

// Calls returns the number of calls by kind: hosts, read or write.
func (kv *KV) Calls() map[string]int {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	out := map[string]int{}
	for k, n := range kv.calls {
		out[k] = n
	}
	return out
}

func (kv *KV) chance(p float64) bool {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return p > 0 && kv.rng.Float64() < p
}

func (kv *KV) count(kind string) {
	kv.mu.Lock()
	kv.calls[kind]++
	kv.mu.Unlock()
}

func (kv *KV) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/fake/faults":
		var f KVFaults
		_ = json.Unmarshal(ctx.PostBody(), &f)
		kv.SetFaults(f)
		return
	case "/fake/host":
		var h KVHost
		_ = json.Unmarshal(ctx.PostBody(), &h)
		kv.SetHost(h)
		return
	case "/health":
		return
	}
	kv.mu.Lock()
	f, silences := kv.faults, kv.silences
	kv.mu.Unlock()
	defer func() {
		kv.mu.Lock()
		defer kv.mu.Unlock()
		if f.Silent || kv.silences != silences {
			leaveUnanswered(ctx)
		}
	}()
	if f.Slow > 0 {
		time.Sleep(time.Duration(f.Slow) * time.Millisecond)
	}
	if f.Silent {
		return // Without an effect.
	}
	if f.Down || kv.chance(f.Drop) {
		abortRequest(ctx)
		return
	}
	if strings.HasPrefix(path, "/v1/health/service/") {
		kv.count("hosts")
		kv.listHosts(ctx)
		return
	}
	key, ok := strings.CutPrefix(path, "/v1/kv/")
	switch {
	case !ok:
		ctx.Error("not found", fasthttp.StatusNotFound)
	case ctx.IsGet():
		kv.count("read")
		kv.read(ctx, key, kv.chance(f.Stale))
	case ctx.IsPut():
		kv.count("write")
		kv.write(ctx, key)
		if kv.chance(f.Lose) {
			abortRequest(ctx)
		}
	}
}

// abortRequest resets the connection without a response.
func abortRequest(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(resetConn)
}

// leaveUnanswered keeps the connection without a response until the client closes it.
func leaveUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
}

type kvPair struct {
	Key         string
	Value       string
	ModifyIndex uint64
}

func (kv *KV) read(ctx *fasthttp.RequestCtx, key string, stale bool) {
	args := ctx.QueryArgs()
	if args.Has("index") {
		sinceIndex, _ := strconv.ParseUint(string(args.Peek("index")), 10, 64)
		wait, _ := time.ParseDuration(string(args.Peek("wait")))
		kv.waitForChange(key, sinceIndex, wait)
	}
	kv.mu.Lock()
	var pairs []kvPair
	replyIndex := kv.index
	for _, name := range kv.matchingKeys(key, args.Has("recurse")) {
		v := kv.values[name]
		data, index := v.data, v.index
		if stale && v.previousIndex > 0 {
			data, index = v.previousData, v.previousIndex
		}
		if !args.Has("recurse") {
			replyIndex = index
		}
		pairs = append(pairs, kvPair{Key: name, Value: base64.StdEncoding.EncodeToString(data), ModifyIndex: index})
	}
	kv.mu.Unlock()
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(max(1, replyIndex), 10))
	if len(pairs) == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if args.Has("keys") {
		names := []string{}
		for _, p := range pairs {
			names = append(names, p.Key)
		}
		data, _ := json.Marshal(names)
		ctx.SetBody(data)
		return
	}
	data, _ := json.Marshal(pairs)
	ctx.SetBody(data)
}

// matchingKeys returns the stored keys that equal key or, with recurse, start with
// it. The caller holds kv.mu.
func (kv *KV) matchingKeys(key string, recurse bool) []string {
	if !recurse {
		if _, ok := kv.values[key]; ok {
			return []string{key}
		}
		return nil
	}
	var out []string
	for name := range kv.values {
		if strings.HasPrefix(name, key) {
			out = append(out, name)
		}
	}
	return out
}

// waitForChange returns when the key has changed since an index, or after wait. A
// missing key counts as changed by any write.
func (kv *KV) waitForChange(key string, sinceIndex uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		kv.mu.Lock()
		currentIndex := kv.index
		if v, ok := kv.values[key]; ok {
			currentIndex = v.index
		}
		changed := kv.changed
		down := kv.faults.Down
		kv.mu.Unlock()
		if max(1, currentIndex) > sinceIndex || down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

func (kv *KV) write(ctx *fasthttp.RequestCtx, key string) {
	args := ctx.QueryArgs()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	v, ok := kv.values[key]
	if args.Has("cas") {
		casIndex, _ := strconv.ParseUint(string(args.Peek("cas")), 10, 64)
		if !ok && casIndex != 0 || ok && casIndex != v.index {
			ctx.SetBodyString("false")
			return
		}
	}
	if !ok {
		v = &kvValue{}
		kv.values[key] = v
	}
	kv.index++
	v.previousData, v.previousIndex = v.data, v.index
	v.data, v.index = append([]byte(nil), ctx.PostBody()...), kv.index
	close(kv.changed)
	kv.changed = make(chan struct{})
	ctx.SetBodyString("true")
}

func (kv *KV) listHosts(ctx *fasthttp.RequestCtx) {
	type check struct{ CheckID, Status string }
	type service struct {
		ID, Address string
		Port        int
		Meta        map[string]string
	}
	type serviceEntry struct {
		Service service
		Checks  []check
	}
	kv.mu.Lock()
	entries := []serviceEntry{}
	for _, h := range kv.hosts {
		e := serviceEntry{Service: service{ID: h.Name, Address: h.Address, Port: h.Port, Meta: map[string]string{"peer": h.Peer, "group": h.Group}}}
		if h.Leaving {
			e.Checks = append(e.Checks, check{CheckID: "_node_maintenance", Status: "critical"})
		}
		entries = append(entries, e)
	}
	kv.mu.Unlock()
	data, _ := json.Marshal(entries)
	ctx.SetBody(data)
}
