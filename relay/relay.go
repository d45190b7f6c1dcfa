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
	// gossipInterval is the longest time between two beats, and the time for which a
	// beat gathers what was sent.
	gossipInterval = 250 * time.Millisecond
	batchDelay     = 25 * time.Millisecond
	// fullInterval is the time between two beats that name the sender and say how
	// far it knows the store; those between carry news alone.
	fullInterval = 200 * time.Millisecond
	// peerListEvery is how many whole beats pass between two lists of peers.
	peerListEvery = 5
	// peerTimeout is the age at which a peer no longer counts as there.
	peerTimeout = 3 * time.Second
	// peerExpiry is the age at which a peer that is no seed is forgotten.
	peerExpiry = time.Minute
	// fanout bounds the peers that an entry sends beats to, so that the messages of
	// an entry do not grow with the number of entries.
	fanout = 24
	// datagramBytes fits a datagram into one packet of an Ethernet network.
	datagramBytes   = 1200
	readBufferBytes = 64 << 10
	callTimeout     = time.Second
)

// Gossiper tells the other entries and hears them. The function fields are set
// before Start.
type Gossiper struct {
	// OnGossip takes a newer beat of a peer.
	OnGossip func(now time.Time, msg *wire.Gossip)
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
	// pending gathers what the next beat tells.
	pending      wire.Gossip
	pendingBytes int
	// lastFull is when the last lastFull beat was sent, wholes their number. Only run
	// uses them.
	lastFull  time.Time
	fullCount int
	flush     chan struct{}
	done      chan struct{}
	group     sync.WaitGroup
}

type peer struct {
	address  string
	name     string
	process  uint64
	sequence uint64
	lastSeen time.Time
	added    time.Time
	seed     bool
}

// New returns a hub. Other entries reach it at address, TCP and UDP.
func New(name, address string, seeds []string, process uint64, log *meter.Log) *Gossiper {
	return &Gossiper{
		name: name, address: address, process: process, seeds: seeds, log: log,
		peers: map[string]*peer{}, flush: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Start listens and starts the loops.
func (g *Gossiper) Start(now time.Time) error {
	udpAddress, err := net.ResolveUDPAddr("udp", g.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if g.udp, err = net.ListenUDP("udp", udpAddress); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if g.tcp, err = net.Listen("tcp", g.address); err != nil {
		_ = g.udp.Close() // The first error tells why the start failed.
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	g.AddSeeds(now, g.seeds)
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &Service{gossiper: g}); err != nil {
		return &Error{Op: "register", Kind: KindListen, Err: err}
	}
	g.group.Go(func() { g.acceptLoop(server) })
	g.group.Go(g.readLoop)
	g.group.Go(g.sendLoop)
	return nil
}

// AddSeeds adds addresses of entries, which may be stale.
func (g *Gossiper) AddSeeds(now time.Time, seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range seeds {
		g.addPeer(now, s, true)
	}
}

func (g *Gossiper) addPeer(now time.Time, address string, seed bool) *peer {
	if address == g.address || address == "" {
		return nil
	}
	p, ok := g.peers[address]
	if !ok {
		p = &peer{address: address, added: now}
		g.peers[address] = p
	}
	p.seed = p.seed || seed
	return p
}

// AliveCount returns the number of entries that were heard lately, with this one.
func (g *Gossiper) AliveCount(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < peerTimeout {
			n++
		}
	}
	return n
}

// BroadcastSent tells the others of a request sent.
func (g *Gossiper) BroadcastSent(s *wire.SentRequest) {
	g.broadcast(40+12*len(s.GetHashes()), func(msg *wire.Gossip) { msg.Sent = append(msg.Sent, s) })
}

// BroadcastEnded tells the others that a request ended.
func (g *Gossiper) BroadcastEnded(id uint64) {
	g.broadcast(6, func(msg *wire.Gossip) { msg.Ended = append(msg.Ended, id) })
}

// BroadcastSuspicion tells the others that an upstream showed no sign of life.
func (g *Gossiper) BroadcastSuspicion(s *wire.Suspicion) {
	g.broadcast(16, func(msg *wire.Gossip) { msg.Doubts = append(msg.Doubts, s) })
}

// BroadcastCrash tells the others of a request that was running when an upstream
// crashed.
func (g *Gossiper) BroadcastCrash(m *wire.CrashRecord) {
	g.broadcast(40, func(msg *wire.Gossip) { msg.Marks = append(msg.Marks, m) })
}

// BroadcastOutcome tells the others how a request ended at an upstream.
func (g *Gossiper) BroadcastOutcome(upstream uint64, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.pending.GetOutcomes(), func(o *wire.Outcome) bool { return o.GetUpstream() == upstream })
	if i < 0 {
		i = len(g.pending.GetOutcomes())
		g.pending.Outcomes = append(g.pending.Outcomes, &wire.Outcome{Upstream: upstream})
	}
	if failed {
		g.pending.Outcomes[i].Failed++
	} else {
		g.pending.Outcomes[i].Good++
	}
}

// broadcast adds to the next beat. What finds no room is left out: it would be old
// before it could be sent.
func (g *Gossiper) broadcast(size int, add func(*wire.Gossip)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingBytes+size > 4*datagramBytes {
		return
	}
	g.pendingBytes += size
	add(&g.pending)
	select {
	case g.flush <- struct{}{}:
	default:
	}
}

// sendLoop sends beats: soon after there is something to tell, else at an interval.
func (g *Gossiper) sendLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sequence := uint64(0)
	for {
		select {
		case <-g.done:
			return
		case <-timer.C:
		case <-g.flush:
			select {
			case <-g.done:
				return
			case <-time.After(batchDelay):
			}
		}
		sequence++
		g.send(time.Now(), sequence)
		timer.Reset(gossipInterval)
	}
}

func (g *Gossiper) send(now time.Time, sequence uint64) {
	full := now.Sub(g.lastFull) >= fullInterval
	var positions []*wire.Position
	if full {
		positions = g.Positions()
	}
	g.mu.Lock()
	msg := &wire.Gossip{
		Process: g.process, Sequence: sequence, Positions: positions,
		Sent: g.pending.Sent, Ended: g.pending.Ended, Doubts: g.pending.Doubts, Marks: g.pending.Marks,
		Outcomes: g.pending.Outcomes,
	}
	g.pending, g.pendingBytes = wire.Gossip{}, 0
	if full {
		g.lastFull = now
		msg.Name = g.name
		if g.fullCount++; g.fullCount%peerListEvery == 1 {
			msg.Address = g.address
			msg.Peers = g.alivePeers(now)
		}
	}
	targets := g.targets(now)
	g.mu.Unlock()
	data, err := proto.Marshal(msg)
	if err != nil {
		g.log.Errorf("beat not encoded: %v", err)
		return
	}
	for _, t := range targets {
		// A datagram may be lost anywhere; the next one makes up for it.
		_, _ = g.udp.WriteToUDP(data, t)
	}
}

// alivePeers lists some of the peers heard lately.
func (g *Gossiper) alivePeers(now time.Time) []string {
	var list []string
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) < peerTimeout {
			list = append(list, p.address)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), 2*fanout)]
}

// targets returns the peers that get beats. Peers that were never heard get
// some as well, as they may just start.
func (g *Gossiper) targets(now time.Time) []*net.UDPAddr {
	var list []*peer
	for _, p := range g.peers {
		last := p.lastSeen
		if last.IsZero() {
			last = p.added
		}
		if !p.seed && now.Sub(last) > peerExpiry {
			delete(g.peers, p.address)
			continue
		}
		list = append(list, p)
	}
	if len(list) > fanout {
		ownHash := xxhash.Sum64String(g.address)
		slices.SortFunc(list, func(a, b *peer) int {
			return cmp.Compare(xxhash.Sum64String(a.address)^ownHash, xxhash.Sum64String(b.address)^ownHash)
		})
		list = list[:fanout]
	}
	addresses := make([]*net.UDPAddr, 0, len(list))
	for _, p := range list {
		if udpAddress, err := net.ResolveUDPAddr("udp", p.address); err == nil {
			addresses = append(addresses, udpAddress)
		}
	}
	return addresses
}

func (g *Gossiper) readLoop() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := g.udp.ReadFromUDP(buffer)
		select {
		case <-g.done:
			return
		default:
		}
		if err != nil {
			time.Sleep(batchDelay) // An answer "no such port" to an earlier beat; not a reason to spin.
			continue
		}
		g.handleDatagram(time.Now(), from.String(), buffer[:n])
	}
}

// handleDatagram takes one datagram.
func (g *Gossiper) handleDatagram(now time.Time, from string, data []byte) {
	msg := &wire.Gossip{}
	if err := proto.Unmarshal(data, msg); err != nil {
		g.log.With("from", from).Warnf("unreadable beat: %v", err)
		return
	}
	newer, up := g.updatePeer(now, from, msg)
	if up {
		g.OnPeerUp(now, from)
	}
	if newer {
		g.OnGossip(now, msg)
	}
}

// updatePeer records the sender. It reports whether the beat is newer than those
// seen of its run, and whether the sender was not heard for a while.
func (g *Gossiper) updatePeer(now time.Time, from string, msg *wire.Gossip) (newer, up bool) {
	if msg.GetProcess() == g.process {
		return false, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.addPeer(now, from, false)
	if p == nil {
		return false, false
	}
	if p.process == msg.GetProcess() && msg.GetSequence() <= p.sequence {
		return false, false
	}
	up = p.process != msg.GetProcess() || now.Sub(p.lastSeen) > peerTimeout
	if up {
		g.log.With("peer", msg.GetName()).With("address", from).Infof("peer heard")
	}
	p.process, p.sequence, p.lastSeen = msg.GetProcess(), msg.GetSequence(), now
	if msg.GetName() != "" {
		p.name = msg.GetName()
	}
	for _, other := range msg.GetPeers() {
		g.addPeer(now, other, false)
	}
	return true, up
}

// PeerAddress returns the peer address of a run, or an empty text.
func (g *Gossiper) PeerAddress(process uint64) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.process == process {
			return p.address
		}
	}
	return ""
}

// Close stops the loops and waits for them.
func (g *Gossiper) Close() {
	close(g.done)
	_ = g.udp.Close() // Wakes the reader.
	_ = g.tcp.Close()
	g.group.Wait()
}

const rpcName = "Relay"

// Envelope is the net/rpc argument and reply: a message of the schema.
type Envelope struct {
	Data []byte
}

// Service is the net/rpc receiver. Its methods are called by net/rpc.
type Service struct{ gossiper *Gossiper }

// Catch returns what this entry holds under a prefix.
func (s *Service) Catch(in *Envelope, out *Envelope) error {
	var req wire.SnapshotRequest
	if err := proto.Unmarshal(in.Data, &req); err != nil {
		return err
	}
	data, err := proto.Marshal(s.gossiper.Snapshot(int(req.GetPrefix())))
	out.Data = data
	return err
}

// Recall returns what this entry believes of the engines.
func (s *Service) Recall(_ *Envelope, out *Envelope) error {
	data, err := proto.Marshal(s.gossiper.CacheState(time.Now()))
	out.Data = data
	return err
}

func (g *Gossiper) acceptLoop(server *rpc.Server) {
	var conns sync.Map
	defer conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true }) // Ends its server.
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

// FetchSnapshot fetches what a peer holds under a prefix.
func (g *Gossiper) FetchSnapshot(address string, prefix int) (*wire.SnapshotReply, error) {
	reply := &wire.SnapshotReply{}
	return reply, call("Catch", address, &wire.SnapshotRequest{Prefix: uint32(prefix)}, reply)
}

// FetchCacheState fetches what a peer believes of the engines.
func (g *Gossiper) FetchCacheState(address string) (*wire.CacheStateReply, error) {
	reply := &wire.CacheStateReply{}
	return reply, call("Recall", address, &wire.SnapshotRequest{}, reply)
}

// call makes one call over a connection of its own; such calls are rare.
func call(method, address string, request, reply proto.Message) error {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	defer func() { _ = conn.Close() }() // The answer was read, or failed already.
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
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
