package fakes

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Plain is a fake of a plain service. Each call is one run, counted by its
// idempotency key. Calls whose path starts with /crash crash it after the run.
type Plain struct {
	server
	// Latency is the duration of a run.
	Latency time.Duration
	mu      sync.Mutex
	runs    map[string]int
	// fence is the highest fencing token seen; lower ones are refused with 412.
	fence uint64
	// requestIDs holds the ids of the requests that ran.
	requestIDs map[string]bool
}

// StartPlain starts the service at address.
func StartPlain(address string, latency time.Duration) (*Plain, error) {
	p := &Plain{Latency: latency, runs: map[string]int{}, requestIDs: map[string]bool{}}
	return p, p.start(address, p.handle)
}

// Runs returns the number of runs with an idempotency key.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// RequestIDs returns the ids of the requests that ran.
func (p *Plain) RequestIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.requestIDs))
	for id := range p.requestIDs {
		out = append(out, id)
	}
	return out
}

// RunsByKey returns the number of runs by idempotency key.
func (p *Plain) RunsByKey() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.runs {
		out[k] = n
	}
	return out
}

// Crash resets all connections and refuses new ones for the downtime.
func (p *Plain) Crash(downtime time.Duration) { p.crash(downtime) }

func (p *Plain) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/health":
		return
	case "/fake/runs":
		data, _ := json.Marshal(p.RunsByKey())
		ctx.SetBody(data)
		return
	case "/fake/crash":
		go p.Crash(time.Second)
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	fence, fenceErr := strconv.ParseUint(string(ctx.Request.Header.Peek("X-Fence")), 10, 64)
	p.mu.Lock()
	if fenceErr == nil && fence < p.fence {
		p.mu.Unlock()
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	p.fence = max(p.fence, fence)
	p.requestIDs[string(ctx.Request.Header.Peek("X-Request-Id"))] = true
	if key != "" {
		p.runs[key]++
	}
	run := p.runs[key]
	p.mu.Unlock()
	time.Sleep(p.Latency)
	if strings.HasPrefix(path, "/crash") {
		go p.Crash(time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	data, _ := json.Marshal(map[string]any{"key": key, "run": run, "path": path, "echo": string(ctx.PostBody())})
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
