package relay

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cactustide/dial"
	"cactustide/wire"
)

const (
	rpcName     = "Relay"
	callTimeout = time.Second
	// A snapshot whose first replyBytes came within callTimeout may take longer, while as many
	// arrive within each replyWindow.
	replyBytes  = 8 << 10
	replyWindow = 700 * time.Millisecond
)

// Envelope is the net/rpc argument and reply. Data is an encoded message of package wire.
type Envelope struct {
	Data []byte
}

// Service is the net/rpc receiver.
type Service struct{ gossiper *Gossiper }

// Catch returns the items that this entry stores under a prefix, or the changes after a
// position.
func (s *Service) Catch(in *Envelope, out *Envelope) error {
	var req wire.SnapshotRequest
	if err := proto.Unmarshal(in.Data, &req); err != nil {
		return err
	}
	data, err := proto.Marshal(s.gossiper.Snapshot(&req))
	out.Data = data
	return err
}

// Recall returns this entry's estimate of the engines' caches and backlogs.
func (s *Service) Recall(_ *Envelope, out *Envelope) error {
	data, err := proto.Marshal(s.gossiper.CacheState(time.Now()))
	out.Data = data
	return err
}

func (g *Gossiper) acceptLoop(server *rpc.Server) {
	var conns sync.Map
	defer conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true }) // Ends ServeConn.
	for {
		c, err := g.tcp.Accept()
		if err != nil {
			select {
			case <-g.done:
				return
			case <-time.After(batchDelay):
				continue
			}
		}
		conns.Store(c, true)
		g.group.Go(func() {
			defer conns.Delete(c)
			server.ServeConn(c)
		})
	}
}

// FetchSnapshot fetches the items that a peer stores under a prefix. If the peer still has
// the changes after the position in the request, it sends just these; 0 asks for all items.
// The fetch ends with ctx. It takes as long as a large reply arrives.
func (g *Gossiper) FetchSnapshot(ctx context.Context, address string, req *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	reply := &wire.SnapshotReply{}
	return reply, call(ctx, "Catch", address, dial.Progress{Bytes: replyBytes, Window: replyWindow}, req, reply)
}

// FetchCacheState fetches a peer's estimate of the engines' caches and backlogs. The fetch ends
// with ctx, and after callTimeout: others wait for it.
func (g *Gossiper) FetchCacheState(ctx context.Context, address string) (*wire.CacheStateReply, error) {
	reply := &wire.CacheStateReply{}
	return reply, call(ctx, "Recall", address, dial.Progress{}, &wire.SnapshotRequest{}, reply)
}

// call makes one RPC over a new connection; these RPCs are rare.
func call(ctx context.Context, method, address string, progress dial.Progress, request, reply proto.Message) error {
	conn, err := dial.OpenPlain(ctx, address, progress)
	if err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	defer func() { _ = conn.Close() }()                         // The reply was read or the call has failed.
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // Ends the call.
	deadline := time.Now().Add(callTimeout)
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	data, err := proto.Marshal(request)
	if err != nil {
		return &Error{Op: method, Kind: KindCodec, Err: err}
	}
	var out Envelope
	// The connection's deadline ends the call.
	if err := rpc.NewClient(conn).Call(rpcName+"."+method, &Envelope{Data: data}, &out); err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	if err := proto.Unmarshal(out.Data, reply); err != nil {
		return &Error{Op: method, Kind: KindCodec, Err: err}
	}
	return nil
}
