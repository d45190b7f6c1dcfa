// Package relay carries what entries tell each other: datagrams with what they
// sent and how far they know the store, and calls that fetch what one is behind.
package relay

import (
	"cmp"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"cactustide/meter"
	"cactustide/wire"
)

// Kind tells the errors of this package apart.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindCall   Kind = "call"
	KindCodec  Kind = "codec"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return "relay: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// beatInterval is the longest time between two beats, and the time for which a
	// beat gathers what was sent.
	beatInterval   = 250 * time.Millisecond
	gatherInterval = 25 * time.Millisecond
	// wholeInterval is the time between two beats that name the sender and say how
	// far it knows the store; those between carry news alone.
	wholeInterval = 200 * time.Millisecond
	// peersEvery is how many whole beats pass between two lists of peers.
	peersEvery = 5
	// quietLimit is the age at which a peer no longer counts as there.
	quietLimit = 3 * time.Second
	// forgetLimit is the age at which a peer that is no seed is forgotten.
	forgetLimit = time.Minute
	// fanout bounds the peers that an entry sends beats to, so that the messages of
	// an entry do not grow with the number of entries.
	fanout = 24
	// datagramBytes fits a datagram into one packet of an Ethernet network.
	datagramBytes = 1200
	readBytes     = 64 << 10
	callLimit     = time.Second
)

// Gossiper tells the other entries and hears them. The function fields are set
// before Start.
type Gossiper struct {
	// OnGossip takes a newer beat of a peer.
	OnGossip func(now time.Time, b *wire.Gossip)
	// Positions tells how far this entry knows each prefix.
	Positions func() []*wire.Position
	// Snapshot returns what this entry holds under a prefix.
	Snapshot func(prefix int) *wire.SnapshotReply
	// CacheState returns what this entry believes of the engines.
	CacheState func(now time.Time) *wire.CacheStateReply
	// OnPeerUp is told of a peer that was not heard for a while.
	OnPeerUp func(now time.Time, address string)

	name    string
	address string
	process uint64
	log     *meter.Log
	udp     *net.UDPConn
	tcp     net.Listener
	seeds   []string
	mu      sync.Mutex
	peers   map[string]*peer
	// out gathers what the next beat tells.
	out  wire.Gossip
	size int
	// whole is when the last whole beat was sent, wholes their number. Only run
	// uses them.
	whole  time.Time
	wholes int
	kick   chan struct{}
	done   chan struct{}
	group  sync.WaitGroup
}

type peer struct {
	address  string
	name     string
	process  uint64
	sequence uint64
	heard    time.Time
	added    time.Time
	seed     bool
}

// New returns a hub. Other entries reach it at address, TCP and UDP.
func New(name, address string, seeds []string, process uint64, log *meter.Log) *Gossiper {
	return &Gossiper{
		name: name, address: address, process: process, seeds: seeds, log: log,
		peers: map[string]*peer{}, kick: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Start listens and starts the loops.
func (h *Gossiper) Start(now time.Time) error {
	at, err := net.ResolveUDPAddr("udp", h.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if h.udp, err = net.ListenUDP("udp", at); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if h.tcp, err = net.Listen("tcp", h.address); err != nil {
		_ = h.udp.Close() // The first error tells why the start failed.
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	h.AddSeeds(now, h.seeds)
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &Service{hub: h}); err != nil {
		return &Error{Op: "register", Kind: KindListen, Err: err}
	}
	h.group.Go(func() { h.accept(server) })
	h.group.Go(h.read)
	h.group.Go(h.run)
	return nil
}

// AddSeeds adds addresses of entries, which may be stale.
func (h *Gossiper) AddSeeds(now time.Time, seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range seeds {
		h.add(now, s, true)
	}
}

func (h *Gossiper) add(now time.Time, address string, seed bool) *peer {
	if address == h.address || address == "" {
		return nil
	}
	p, ok := h.peers[address]
	if !ok {
		p = &peer{address: address, added: now}
		h.peers[address] = p
	}
	p.seed = p.seed || seed
	return p
}

// AliveCount returns the number of entries that were heard lately, with this one.
func (h *Gossiper) AliveCount(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 1
	for _, p := range h.peers {
		if now.Sub(p.heard) < quietLimit {
			n++
		}
	}
	return n
}

// BroadcastSent tells the others of a request sent.
func (h *Gossiper) BroadcastSent(s *wire.SentRequest) {
	h.tell(40+12*len(s.GetHashes()), func(b *wire.Gossip) { b.Sent = append(b.Sent, s) })
}

// BroadcastEnded tells the others that a request ended.
func (h *Gossiper) BroadcastEnded(id uint64) {
	h.tell(6, func(b *wire.Gossip) { b.Ended = append(b.Ended, id) })
}

// BroadcastSuspicion tells the others that an upstream showed no sign of life.
func (h *Gossiper) BroadcastSuspicion(d *wire.Suspicion) {
	h.tell(16, func(b *wire.Gossip) { b.Doubts = append(b.Doubts, d) })
}

// BroadcastCrash tells the others of a request that was running when an upstream
// crashed.
func (h *Gossiper) BroadcastCrash(m *wire.CrashRecord) {
	h.tell(40, func(b *wire.Gossip) { b.Marks = append(b.Marks, m) })
}

// BroadcastOutcome tells the others how a request ended at an upstream.
func (h *Gossiper) BroadcastOutcome(upstream uint64, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.out.GetOutcomes(), func(o *wire.Outcome) bool { return o.GetUpstream() == upstream })
	if i < 0 {
		i = len(h.out.GetOutcomes())
		h.out.Outcomes = append(h.out.Outcomes, &wire.Outcome{Upstream: upstream})
	}
	if failed {
		h.out.Outcomes[i].Failed++
	} else {
		h.out.Outcomes[i].Good++
	}
}

// tell adds to the next beat. What finds no room is left out: it would be old
// before it could be sent.
func (h *Gossiper) tell(size int, add func(*wire.Gossip)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.size+size > 4*datagramBytes {
		return
	}
	h.size += size
	add(&h.out)
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// run sends beats: soon after there is something to tell, else at an interval.
func (h *Gossiper) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-h.done:
			return
		case <-timer.C:
		case <-h.kick:
			select {
			case <-h.done:
				return
			case <-time.After(gatherInterval):
			}
		}
		sequence++
		h.send(time.Now(), sequence)
		timer.Reset(beatInterval)
	}
}

func (h *Gossiper) send(now time.Time, sequence uint64) {
	whole := now.Sub(h.whole) >= wholeInterval
	var positions []*wire.Position
	if whole {
		positions = h.Positions()
	}
	h.mu.Lock()
	b := &wire.Gossip{
		Process: h.process, Sequence: sequence, Positions: positions,
		Sent: h.out.Sent, Ended: h.out.Ended, Doubts: h.out.Doubts, Marks: h.out.Marks,
		Outcomes: h.out.Outcomes,
	}
	h.out, h.size = wire.Gossip{}, 0
	if whole {
		h.whole = now
		b.Name = h.name
		if h.wholes++; h.wholes%peersEvery == 1 {
			b.Address = h.address
			b.Peers = h.known(now)
		}
	}
	targets := h.targets(now)
	h.mu.Unlock()
	data, err := proto.Marshal(b)
	if err != nil {
		h.log.Errorf("beat not encoded: %v", err)
		return
	}
	for _, t := range targets {
		// A datagram may be lost anywhere; the next one makes up for it.
		_, _ = h.udp.WriteToUDP(data, t)
	}
}

// known lists some of the peers heard lately.
func (h *Gossiper) known(now time.Time) []string {
	var list []string
	for _, p := range h.peers {
		if now.Sub(p.heard) < quietLimit {
			list = append(list, p.address)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), 2*fanout)]
}

// targets returns the peers that get beats. Peers that were never heard get
// some as well, as they may just start.
func (h *Gossiper) targets(now time.Time) []*net.UDPAddr {
	var list []*peer
	for _, p := range h.peers {
		last := p.heard
		if last.IsZero() {
			last = p.added
		}
		if !p.seed && now.Sub(last) > forgetLimit {
			delete(h.peers, p.address)
			continue
		}
		list = append(list, p)
	}
	if len(list) > fanout {
		own := xxhash.Sum64String(h.address)
		slices.SortFunc(list, func(a, b *peer) int {
			return cmp.Compare(xxhash.Sum64String(a.address)^own, xxhash.Sum64String(b.address)^own)
		})
		list = list[:fanout]
	}
	addresses := make([]*net.UDPAddr, 0, len(list))
	for _, p := range list {
		if at, err := net.ResolveUDPAddr("udp", p.address); err == nil {
			addresses = append(addresses, at)
		}
	}
	return addresses
}

func (h *Gossiper) read() {
	buffer := make([]byte, readBytes)
	for {
		n, from, err := h.udp.ReadFromUDP(buffer)
		select {
		case <-h.done:
			return
		default:
		}
		if err != nil {
			time.Sleep(gatherInterval) // An answer "no such port" to an earlier beat; not a reason to spin.
			continue
		}
		h.take(time.Now(), from.String(), buffer[:n])
	}
}

// take takes one datagram.
func (h *Gossiper) take(now time.Time, from string, data []byte) {
	b := &wire.Gossip{}
	if err := proto.Unmarshal(data, b); err != nil {
		h.log.With("from", from).Warnf("unreadable beat: %v", err)
		return
	}
	newer, fresh := h.accepts(now, from, b)
	if fresh {
		h.OnPeerUp(now, from)
	}
	if newer {
		h.OnGossip(now, b)
	}
}

// accepts records the sender. It reports whether the beat is newer than those
// seen of its run, and whether the sender was not heard for a while.
func (h *Gossiper) accepts(now time.Time, from string, b *wire.Gossip) (newer, fresh bool) {
	if b.GetProcess() == h.process {
		return false, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.add(now, from, false)
	if p == nil {
		return false, false
	}
	if p.process == b.GetProcess() && b.GetSequence() <= p.sequence {
		return false, false
	}
	fresh = p.process != b.GetProcess() || now.Sub(p.heard) > quietLimit
	if fresh {
		h.log.With("peer", b.GetName()).With("address", from).Infof("peer heard")
	}
	p.process, p.sequence, p.heard = b.GetProcess(), b.GetSequence(), now
	if b.GetName() != "" {
		p.name = b.GetName()
	}
	for _, other := range b.GetPeers() {
		h.add(now, other, false)
	}
	return true, fresh
}

// PeerAddress returns the peer address of a run, or an empty text.
func (h *Gossiper) PeerAddress(process uint64) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.process == process {
			return p.address
		}
	}
	return ""
}

// Close stops the loops and waits for them.
func (h *Gossiper) Close() {
	close(h.done)
	_ = h.udp.Close() // Wakes the reader.
	_ = h.tcp.Close()
	h.group.Wait()
}

const rpcName = "Relay"

// Envelope is the net/rpc argument and reply: a message of the schema.
type Envelope struct {
	Data []byte
}

// Service is the net/rpc receiver. Its methods are called by net/rpc.
type Service struct{ hub *Gossiper }

// Catch returns what this entry holds under a prefix.
func (s *Service) Catch(in *Envelope, out *Envelope) error {
	var req wire.SnapshotRequest
	if err := proto.Unmarshal(in.Data, &req); err != nil {
		return err
	}
	data, err := proto.Marshal(s.hub.Snapshot(int(req.GetPrefix())))
	out.Data = data
	return err
}

// Recall returns what this entry believes of the engines.
func (s *Service) Recall(_ *Envelope, out *Envelope) error {
	data, err := proto.Marshal(s.hub.CacheState(time.Now()))
	out.Data = data
	return err
}

func (h *Gossiper) accept(server *rpc.Server) {
	var open sync.Map
	defer open.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true }) // Ends its server.
	for {
		c, err := h.tcp.Accept()
		if err != nil {
			select {
			case <-h.done:
				return
			case <-time.After(gatherInterval):
				continue
			}
		}
		open.Store(c, true)
		h.group.Go(func() {
			defer open.Delete(c)
			server.ServeConn(c)
		})
	}
}

// FetchSnapshot fetches what a peer holds under a prefix.
func (h *Gossiper) FetchSnapshot(address string, prefix int) (*wire.SnapshotReply, error) {
	reply := &wire.SnapshotReply{}
	return reply, call("Catch", address, &wire.SnapshotRequest{Prefix: uint32(prefix)}, reply)
}

// FetchCacheState fetches what a peer believes of the engines.
func (h *Gossiper) FetchCacheState(address string) (*wire.CacheStateReply, error) {
	reply := &wire.CacheStateReply{}
	return reply, call("Recall", address, &wire.SnapshotRequest{}, reply)
}

// call makes one call over a connection of its own; such calls are rare.
func call(method, address string, request, reply proto.Message) error {
	conn, err := net.DialTimeout("tcp", address, callLimit)
	if err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	defer func() { _ = conn.Close() }() // The answer was read, or failed already.
	if err := conn.SetDeadline(time.Now().Add(callLimit)); err != nil {
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
