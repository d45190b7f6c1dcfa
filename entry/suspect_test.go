package entry

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"cactustide/config"
	"cactustide/meter"
	"cactustide/retry"
	"cactustide/route"
	"cactustide/setup"
	"cactustide/wire"
)

// newFakeAgent serves jobs with the frames and returns its address.
func newFakeAgent(t *testing.T, frames ...*wire.Frame) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var b bytes.Buffer
		for _, f := range frames {
			if err := wire.WriteFrame(&b, f); err != nil {
				t.Error(err)
			}
		}
		ctx.SetBody(b.Bytes())
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func newDispatchEntry(address string) *Entry {
	return &Entry{
		settings: &setup.Settings{Centre: "c"}, table: route.New(time.Second), retryBudget: retry.NewBudget(), crashRecords: retry.NewCrashRecords(),
		jobClient: newJobClient(time.Second), log: meter.NewLogger(io.Discard, "error", "json", "entry"), scope: tally.NoopScope,
		agentConns: agentConns{byName: map[string]*agentConn{"a": {address: setup.AgentAddress{Name: "a", Listen: address}}}},
	}
}

// TestSuspectAgentTried guards against a refusal while an agent with room is alive: a single
// sync with it failed or its state is late, as on a busy machine.
func TestSuspectAgentTried(t *testing.T) {
	run := []*wire.Frame{{Kind: wire.FrameKind_HEAD, Status: 200}, {Kind: wire.FrameKind_END, Run: wire.Execution_DONE}}
	tests := map[string]struct {
		state   route.Agent
		age     time.Duration
		frames  []*wire.Frame
		down    bool
		want    int
		refused bool
	}{
		"sync failed":         {frames: run, want: 200},
		"state is late":       {frames: run, age: 1500 * time.Millisecond, want: 200},
		"state is very old":   {frames: run, age: 3 * time.Second, refused: true},
		"draining":            {state: route.Agent{Draining: true}, frames: run, refused: true},
		"agent refuses":       {frames: []*wire.Frame{{Kind: wire.FrameKind_REFUSE, Reason: "draining"}}, refused: true},
		"agent is gone":       {down: true, refused: true},
		"job was not reached": {down: true, age: 1500 * time.Millisecond, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := newFakeAgent(t, test.frames...)
			if test.down {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				address = l.Addr().String()
				_ = l.Close()
			}
			e := newDispatchEntry(address)
			state := test.state
			state.Name, state.Model, state.Slots, state.QueueSpace, state.Healthy = "a", "birch", 4, 4, true
			e.table.Update(time.Now().Add(-test.age), state)
			if test.age == 0 {
				e.table.MarkUnreachable("a")
			}
			r := &request{
				id: "r", job: &wire.Job{}, arrivedAt: time.Now(), class: config.Class{Name: "question", Wait: time.Second},
				requirements: route.Requirements{Model: "birch"},
			}
			got := e.dispatch(r, nil)
			if got.apiErr != nil != test.refused || got.status != test.want {
				t.Errorf("got status %d, error %+v, want status %d, refused %v", got.status, got.apiErr, test.want, test.refused)
			}
			if test.refused && got.apiErr != nil && got.apiErr.Execution != ExecutionNone {
				t.Errorf("got execution %v, want none", got.apiErr.Execution)
			}
		})
	}
}

// TestReadyAfterFirstSync guards against an entry that receives traffic before it has heard
// of each of its agents: it would refuse requests for a service or a model whose agents it
// does not know yet. An agent that does not answer keeps it waiting for a bounded time.
func TestReadyAfterFirstSync(t *testing.T) {
	now := time.Now()
	e := newDispatchEntry("127.0.0.1:1")
	conn := e.agentConns.byName["a"]
	conn.openedAt = now
	e.configIndex.Store(newConfigIndex(&config.Document{Classes: []config.Class{{Name: "question", Tier: 1, Wait: time.Second}}}))
	e.table.Update(now, route.Agent{Name: "other", Model: "spruce", Healthy: true})
	if e.isReady() {
		t.Error("got ready before the hosts were listed, want not ready")
	}
	e.agentConns.setHostsRead()
	if e.isReady() {
		t.Error("got ready before the first answer of an agent, want not ready")
	}
	ask := func() *APIError {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetBodyString(`{"model":"birch","messages":[{"role":"user","content":"x"}]}`)
		return e.parseChat(ctx, e.configIndex.Load(), &request{id: "r", owner: keyOwner{partner: "p", team: config.Team{Class: "question"}}})
	}
	if got := ask(); got == nil || got.Status != fasthttp.StatusServiceUnavailable {
		t.Errorf("got %+v for a model that an unknown agent may serve, want 503", got)
	}
	if !e.agentConns.settled(now.Add(settlePeriod)) {
		t.Error("got not settled with an agent that does not answer, want settled after a time")
	}
	conn.reached.Store(true)
	if !e.isReady() {
		t.Error("got not ready after the first answer, want ready")
	}
	if got := ask(); got == nil || got.Status != fasthttp.StatusNotFound {
		t.Errorf("got %+v for a model that no agent serves, want 404", got)
	}
}
