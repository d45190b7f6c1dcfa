package cmds

import (
	"bytes"
	"testing"

	"cactustide/fakes"
	"cactustide/setup"
)

// TestBrokenHead guards against a response with a broken head shown to operators as the state of a
// process.
func TestBrokenHead(t *testing.T) {
	for name, response := range fakes.BrokenHeads("", "{}") {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.NewRawServer(fakes.Respond(response))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			if status, err := fetchStatus(server.Address); err == nil {
				t.Errorf("got status %v of an entry, want an error", status)
			}
			x := &session{streams: streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}}, settings: &setup.Settings{}}
			var into map[string]any
			if err := x.fetchJSON(server.Address, "/", &into); err == nil {
				t.Errorf("got %v of an agent, want an error", into)
			}
		})
	}
}
