package entry

import (
	"bytes"
	"testing"

	"cactustide/fakes"
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
