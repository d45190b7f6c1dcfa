package entry

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cactustide/config"
	"cactustide/route"
	"cactustide/setup"
)

func testEntry() (*Entry, *configIndex) {
	e := &Entry{settings: &setup.Settings{Centre: "c"}, table: route.New(time.Hour)}
	e.table.Update(time.Now(), route.Agent{Name: "a", Model: "birch", Healthy: true, Slots: 1})
	e.agentConns.setHostsRead()
	idx := newConfigIndex(&config.Document{Classes: []config.Class{{Name: "question", Tier: 1, Wait: time.Second}}})
	return e, idx
}

// FuzzParseChat checks that each body is either parsed or rejected as not executed,
// with the invalid field named.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"birch","messages":[{"role":"user","content":"x"}],"stream":true}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"model":"birch","messages":[{}],"priority":null}`))
	e, idx := testEntry()
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetBody(body)
		r := &request{id: "r", owner: keyOwner{partner: "p", team: config.Team{Class: "question"}}}
		apiErr := e.parseChat(ctx, idx, r)
		if apiErr == nil {
			r.fillJob("e")
			if !json.Valid(r.job.GetBody()) || r.class.Name != "question" {
				t.Errorf("got %q parsed, want a JSON object of the team's class", body)
			}
			return
		}
		if apiErr.Execution != ExecutionNone || apiErr.Param == "" || !json.Valid(apiErr.encode("r")) {
			t.Errorf("got %+v, want an error with its field", apiErr)
		}
	})
}

// TestOrMaybeExecuted checks which execution is reported to a caller after an
// attempt that may have run.
func TestOrMaybeExecuted(t *testing.T) {
	tests := map[string]struct {
		apiErr        *APIError
		maybeExecuted bool
		want          Execution
	}{
		"refused":              {apiErr: refusalError("full"), want: ExecutionNone},
		"refused after a run":  {apiErr: refusalError("full"), maybeExecuted: true, want: ExecutionMaybe},
		"conflict after a run": {apiErr: &APIError{Execution: ExecutionMaybe}, maybeExecuted: true, want: ExecutionMaybe},
		"done after a run":     {apiErr: &APIError{Execution: ExecutionDone}, maybeExecuted: true, want: ExecutionDone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.apiErr.orMaybeExecuted(test.maybeExecuted).Execution; got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	var none *APIError
	if got := none.orMaybeExecuted(true); got != nil {
		t.Errorf("got %+v for a nil error, want nil", got)
	}
}

// TestIsDisconnected checks that a closed connection is detected, and that an open
// one is not taken for closed, with or without unread data.
func TestIsDisconnected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if isDisconnected(conn) {
		t.Error("got an open connection as closed, want open")
	}
	_, _ = caller.Write([]byte("x"))
	time.Sleep(10 * time.Millisecond)
	if isDisconnected(conn) {
		t.Error("got a connection with unread data as closed, want open")
	}
	one := make([]byte, 1)
	_, _ = conn.Read(one)
	_ = caller.Close()
	time.Sleep(10 * time.Millisecond)
	if !isDisconnected(conn) {
		t.Error("got a closed connection as open, want closed")
	}
}

// TestTeamLimiter checks that a team's limit is enforced and that a release makes
// room again.
func TestTeamLimiter(t *testing.T) {
	l := newTeamLimiter()
	for i, want := range []bool{true, true, false} {
		if got := l.acquire("p", "t", 2); got != want {
			t.Errorf("request %d: got %v, want %v", i, got, want)
		}
	}
	if !l.acquire("p", "other", 2) {
		t.Error("got a request of another team refused, want it accepted")
	}
	l.release("p", "t")
	if !l.acquire("p", "t", 2) {
		t.Error("got a request refused after a release, want it accepted")
	}
}
