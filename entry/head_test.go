package entry

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"cactustide/burn"
	"cactustide/fakes"
	"cactustide/meter"
	"cactustide/usage"
	"cactustide/wire"
)

// TestBrokenHead guards against a response with a broken head taken for that of an agent: the job
// may be running there, so that it must not count as one that was not sent.
func TestBrokenHead(t *testing.T) {
	var frames bytes.Buffer
	for _, f := range []*wire.Frame{{Kind: wire.FrameKind_HEAD, Status: 200}, {Kind: wire.FrameKind_END, Run: wire.Execution_DONE}} {
		if err := wire.WriteFrame(&frames, f); err != nil {
			t.Fatal(err)
		}
	}
	for name, response := range fakes.BrokenHeads("", frames.String()) {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.NewRawServer(fakes.Respond(response))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			c, err := newDispatchEntry(server.Address).sendJob("a", server.Address, &wire.Job{Id: "r"})
			if err == nil || c.unsent {
				t.Errorf("got error %v, unsent %v, want an error of a job that may run", err, c.unsent)
			}
			c.close()
		})
	}
}

// TestBrokenAnswerLogged checks that the log states why an agent's answer that broke off is none.
func TestBrokenAnswerLogged(t *testing.T) {
	for name, contentType := range map[string]string{"body": "text/plain", "stream": "text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			address := newFakeAgent(t, &wire.Frame{Kind: wire.FrameKind_HEAD, Status: 200, Type: contentType}, &wire.Frame{Kind: wire.FrameKind_DATA, Data: []byte("data: a\n\n")})
			e := newDispatchEntry(address)
			e.counters, e.burn = usage.New(), burn.New()
			var log, body bytes.Buffer
			e.log = meter.NewLogger(&log, "info", "json", "entry")
			r := &request{id: "request-1", job: &wire.Job{Id: "request-1"}, arrivedAt: time.Now()}
			got := e.tryAgent(r, "a", address, nil)
			if got.response != nil {
				e.copyStream(bufio.NewWriter(&body), r, got.response)
			}
			if text := log.String(); !strings.Contains(text, "request-1") || !strings.Contains(text, "ended early: ") {
				t.Errorf("got log %q, want why the answer ended", text)
			}
			if contentType == "text/event-stream" && !strings.Contains(body.String(), "event: error") {
				t.Errorf("got body %q, want an error event", body.String())
			}
		})
	}
}
