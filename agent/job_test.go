package agent

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"cactustide/claim"
	"cactustide/fakes"
	"cactustide/meter"
	"cactustide/sched"
	"cactustide/setup"
	"cactustide/wire"
)

// TestRefusedResponseLogged checks that the log states why an upstream's response was refused, and that
// the entry hears of a request that may have run.
func TestRefusedResponseLogged(t *testing.T) {
	responses := map[string]struct {
		response, want string
	}{
		"status 000":      {"HTTP/1.1 000 Unknown\r\nContent-Length: 5\r\n\r\nhello", "no status of a response"},
		"blank in a name": {"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 5\r\n\r\nhello", "no name of a field"},
	}
	for name, test := range responses {
		for kind, once := range map[string]bool{"claimed": true, "not claimed": false} {
			t.Run(name+", "+kind, func(t *testing.T) {
				server, err := fakes.NewRawServer(fakes.Respond(test.response))
				if err != nil {
					t.Fatal(err)
				}
				defer server.Close()
				m := meter.New("a")
				defer m.Close()
				var output bytes.Buffer
				log := meter.NewLogger(&output, "info", "json", "agent")
				a := New(&setup.Settings{Name: "a", Platform: "127.0.0.1:1", Upstream: setup.Upstream{Address: server.Address, Kind: setup.KindPlain}}, log, m)
				var last *wire.Frame
				out := &sender{write: func(f *wire.Frame, _ bool) error {
					last = f
					return nil
				}}
				job := &wire.Job{Id: "r", Method: http.MethodPost, Path: "/a", Once: once}
				if once {
					a.runClaimed(context.Background(), log.With("request", job.GetId()), job, &sched.Request{}, claim.Record{}, out)
				} else {
					a.runUnclaimed(context.Background(), log.With("request", job.GetId()), job, &sched.Request{}, out)
				}
				if last.GetKind() != wire.FrameKind_END || last.GetRun() != wire.Execution_MAYBE {
					t.Errorf("got last frame %v, want the end of a request that may have run", last)
				}
				if text := output.String(); !strings.Contains(text, test.want) || !strings.Contains(text, `"r"`) {
					t.Errorf("got log %q, want the request's id and %q", text, test.want)
				}
			})
		}
	}
}
