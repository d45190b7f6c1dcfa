package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineOptions configure a fake model engine.
type EngineOptions struct {
	Address string
	Model   string
	// Slots is the number of requests run at once; further ones wait by priority.
	Slots int
	// Prefill is the time before the first token.
	Prefill time.Duration
	// TimePerToken is the time for each token after the first.
	TimePerToken time.Duration
	// Downtime is the time after a crash in which connections are refused.
	Downtime time.Duration
}

// Engine is a fake model engine with the chat completions API. The last message
// controls it: "tokens=N" sets the output length (default 8), "crash" crashes it,
// and "cut=N" ends the stream after N tokens. The output repeats a hash of the
// message, so that a caller can verify that the response is its own.
type Engine struct {
	server
	options  EngineOptions
	slowdown atomic.Int64
	crashes  atomic.Int64
	// generatedTokens counts the tokens of all requests.
	generatedTokens atomic.Int64
	received        atomic.Int64

	mu      sync.Mutex
	running int
	waiting []*engineWaiter
}

type engineWaiter struct {
	priority int
	ready    chan struct{}
}

// StartEngine starts an engine.
func StartEngine(o EngineOptions) (*Engine, error) {
	e := &Engine{options: o}
	e.slowdown.Store(1)
	return e, e.start(o.Address, e.handle)
}

// SetSlowdown sets the factor by which all times are multiplied; 1 is full speed.
func (e *Engine) SetSlowdown(factor int) { e.slowdown.Store(int64(factor)) }

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int { return int(e.crashes.Load()) }

// GeneratedTokens returns the number of tokens generated.
func (e *Engine) GeneratedTokens() int64 { return e.generatedTokens.Load() }

// Running returns the number of requests that hold a slot.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// ReceivedRequests returns the number of completion requests received, including
// those that wait for a slot.
func (e *Engine) ReceivedRequests() int64 { return e.received.Load() }

// Crash resets all connections and refuses new ones for the downtime.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.crash(e.options.Downtime)
}

type chatRequest struct {
	Model    string
	Stream   bool
	Priority int
	Messages []struct {
		Role    string
		Content any
	}
}

func (r *chatRequest) lastMessage() string {
	if len(r.Messages) == 0 {
		return ""
	}
	return fmt.Sprint(r.Messages[len(r.Messages)-1].Content)
}

// ExpectedOutput returns the complete output for a last message.
func ExpectedOutput(message string) string {
	var b strings.Builder
	for i := range outputLength(message) {
		b.WriteString(outputToken(message, i))
	}
	return b.String()
}

func outputToken(message string, i int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(message))
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

func outputLength(message string) int { return parseOption(message, "tokens=", 8) }

// parseOption returns the number after name in the message, or fallback if there is
// none.
func parseOption(message, name string, fallback int) int {
	_, rest, ok := strings.Cut(message, name)
	if !ok {
		return fallback
	}
	rest, _, _ = strings.Cut(rest, " ")
	n, err := strconv.Atoi(rest)
	if err != nil {
		return fallback
	}
	return n
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		return
	case "/load":
		e.mu.Lock()
		fmt.Fprintf(ctx, `{"running":%d,"waiting":%d}`, e.running, len(e.waiting))
		e.mu.Unlock()
		return
	case "/fake/slow":
		n, _ := strconv.Atoi(string(ctx.PostBody()))
		e.SetSlowdown(max(1, n))
		return
	case "/fake/crash":
		go e.Crash()
		return
	case "/fake/stats":
		fmt.Fprintf(ctx, `{"crashes":%d,"generated":%d,"started":%d}`, e.Crashes(), e.GeneratedTokens(), e.ReceivedRequests())
		return
	case "/v1/chat/completions":
	default:
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	var req chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(`{"error":{"message":"bad body"}}`, fasthttp.StatusBadRequest)
		return
	}
	if req.Stream {
		e.respondStream(ctx, &req)
		return
	}
	e.respond(ctx, &req)
}

// acquireSlot waits for a slot. Requests of a higher priority (a lower number) go
// first.
func (e *Engine) acquireSlot(priority int) {
	e.received.Add(1)
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return
	}
	w := &engineWaiter{priority: priority, ready: make(chan struct{})}
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].priority > priority {
		position--
	}
	e.waiting = slices.Insert(e.waiting, position, w)
	e.mu.Unlock()
	<-w.ready
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

func (e *Engine) sleep(d time.Duration) {
	if d > 0 {
		time.Sleep(d * time.Duration(e.slowdown.Load()))
	}
}

func (e *Engine) respond(ctx *fasthttp.RequestCtx, req *chatRequest) {
	e.acquireSlot(req.Priority)
	defer e.releaseSlot()
	message := req.lastMessage()
	n := outputLength(message)
	e.sleep(e.options.Prefill)
	if e.crashIfRequested(message) {
		abortRequest(ctx)
		return
	}
	e.sleep(e.options.TimePerToken * time.Duration(n))
	e.generatedTokens.Add(int64(n))
	completion := map[string]any{
		"id": "chatcmpl-1", "object": "chat.completion", "created": time.Now().Unix(), "model": req.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": ExpectedOutput(message)},
		}},
		"usage": map[string]any{"prompt_tokens": len(message), "completion_tokens": n, "total_tokens": len(message) + n},
	}
	data, _ := json.Marshal(completion)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// crashIfRequested crashes the engine if the message says so, and reports whether
// it did.
func (e *Engine) crashIfRequested(message string) bool {
	if !strings.Contains(message, "crash") {
		return false
	}
	go e.Crash()
	time.Sleep(20 * time.Millisecond)
	return true
}

func (e *Engine) respondStream(ctx *fasthttp.RequestCtx, req *chatRequest) {
	message := req.lastMessage()
	model := req.Model
	priority := req.Priority
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.acquireSlot(priority)
		defer e.releaseSlot()
		e.sleep(e.options.Prefill)
		if e.crashIfRequested(message) {
			return
		}
		cutAfter := parseOption(message, "cut=", -1)
		for i := range outputLength(message) {
			if i == cutAfter {
				return
			}
			if i > 0 {
				e.sleep(e.options.TimePerToken)
			}
			e.generatedTokens.Add(1)
			fmt.Fprintf(w, `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`+"\n\n", model, outputToken(message, i))
			if w.Flush() != nil {
				return
			}
		}
		fmt.Fprintf(w, `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n", model)
		_ = w.Flush()
	})
}
