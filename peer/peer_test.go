package peer

import (
	"net"
	"testing"
	"time"

	"cactustide/fakes"
	"cactustide/wire"
)

const testToken = "token"

func startServer(t *testing.T) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", testToken, Handler{
		Sync:   func(*wire.SyncRequest) *wire.SyncReply { return &wire.SyncReply{State: &wire.AgentState{Name: "a"}} },
		Cancel: func(*wire.CancelRequest) *wire.CancelReply { return &wire.CancelReply{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func syncWith(t *testing.T, serve func(c *net.TCPConn)) (*wire.SyncReply, error) {
	t.Helper()
	raw, err := fakes.NewRawServer(serve)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	client := NewClient(raw.Address, testToken, time.Second)
	defer client.Close()
	return client.Sync(&wire.SyncRequest{})
}

// TestBrokenReply checks that a reply which is broken off with a reset, or that is none of a peer,
// is an error.
func TestBrokenReply(t *testing.T) {
	server := startServer(t)
	whole := false
	for n := int64(0); n < 1000 && !whole; n++ {
		reply, err := syncWith(t, fakes.ServeCut(server.Address(), n))
		if err == nil && reply.GetState().GetName() != "a" {
			t.Errorf("first %d bytes: got %v, want an error", n, reply)
		}
		whole = err == nil
	}
	if !whole {
		t.Error("got no whole reply with any number of bytes, want one")
	}
	for name, response := range fakes.BrokenHeads("", "hello") {
		t.Run(name, func(t *testing.T) {
			if reply, err := syncWith(t, fakes.Respond(response)); err == nil {
				t.Errorf("got %v, want an error", reply)
			}
		})
	}
}
