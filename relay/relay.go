// Package relay replicates state between the entries of a deployment. Gossip
// messages (UDP) carry recent events and the sender's position in the store; RPCs
// (net/rpc over TCP) fetch what an entry that lags behind is missing.
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

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen"
	KindCall   Kind = "call"
	KindCodec  Kind = "codec"
)

// Error is the type of all errors of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return "relay: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	// gossipInterval is the longest time between two gossip messages, and batchDelay
	// the time for which events are collected into one message. batchDelay is also
	// the pause after a failed read or accept.
	gossipInterval = 250 * time.Millisecond
	batchDelay     = 25 * time.Millisecond
	// fullInterval is the shortest time between two full messages, which carry the
	// sender's name and positions; the messages in between carry events alone.
	fullInterval = 200 * time.Millisecond
	// peerListEvery is the number of full messages for each one that lists peers.
	peerListEvery = 5
	// peerTimeout is the time without a message after which a peer is not alive.
	peerTimeout = 3 * time.Second
	// peerExpiry is the time without a message after which a peer is removed, unless
	// it is a seed.
	peerExpiry = time.Minute
	// fanout bounds the peers that an entry sends gossip to, so that the number of
	// messages an entry sends does not grow with the number of entries.
	fanout = 24
	// datagramBytes is a message size that fits into one packet on an Ethernet
	// network.
	datagramBytes   = 1200
	readBufferBytes = 64 << 10
	callTimeout     = time.Second
)

// Gossiper exchanges gossip messages with the other entries and serves their
// RPCs. The function fields must be set before Start.
type Gossiper struct {
	// OnGossip handles a message that is newer than the last one of its sender.
	OnGossip func(now time.Time, msg *wire.Gossip)
	// Positions returns this entry's position in each prefix of the store.
	Positions func() []*wire.Position
	// Snapshot returns the items that this entry stores under a prefix.
	Snapshot func(prefix int) *wire.SnapshotReply
	// CacheState returns this entry's estimate of the engines' caches and backlogs.
	CacheState func(now time.Time) *wire.CacheStateReply
	// OnPeerUp is called when a peer is first seen, has restarted, or sends again
	// after peerTimeout.
	OnPeerUp func(now time.Time, address string)

	name    string
	address string
	process uint64
	log     *meter.Logger
	udp     *net.UDPConn
	tcp     net.Listener
	seeds   []string
	mu      sync.Mutex
	peers   map[string]*peer
	// pending collects the events of the next message.
	pending      wire.Gossip
	pendingBytes int
	// lastFull is when the last full message was sent, and fullCount the number of
	// full messages. Only sendLoop uses them.
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

// New returns a gossiper. Other entries reach it at address, over TCP and UDP.
func New(name, address string, seeds []string, process uint64, log *meter.Logger) *Gossiper {
	return &Gossiper{
		name: name, address: address, process: process, seeds: seeds, log: log,
		peers: map[string]*peer{}, flush: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Start opens the UDP and TCP listeners and starts the loops.
func (g *Gossiper) Start(now time.Time) error {
	udpAddress, err := net.ResolveUDPAddr("udp", g.address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if g.udp, err = net.ListenUDP("udp", udpAddress); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	if g.tcp, err = net.Listen("tcp", g.address); err != nil {
		_ = g.udp.Close() // The error of Listen is the cause and is returned.
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

// AddSeeds adds entries by their addresses, which may be stale.
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

// AliveCount returns the number of entries that are alive, including this one.
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

// BroadcastSent announces a request sent to an upstream.
func (g *Gossiper) BroadcastSent(s *wire.SentRequest) {
	g.broadcast(40+12*len(s.GetHashes()), func(msg *wire.Gossip) { msg.Sent = append(msg.Sent, s) })
}

// BroadcastEnded announces that the request with this id ended.
func (g *Gossiper) BroadcastEnded(id uint64) {
	g.broadcast(6, func(msg *wire.Gossip) { msg.Ended = append(msg.Ended, id) })
}

// BroadcastSuspicion announces that an upstream is suspected to be unreachable.
func (g *Gossiper) BroadcastSuspicion(s *wire.Suspicion) {
	g.broadcast(16, func(msg *wire.Gossip) { msg.Doubts = append(msg.Doubts, s) })
}

// BroadcastCrash announces a request that was running when an upstream crashed.
func (g *Gossiper) BroadcastCrash(m *wire.CrashRecord) {
	g.broadcast(40, func(msg *wire.Gossip) { msg.Marks = append(msg.Marks, m) })
}

// BroadcastPartCrash announces a request that had not begun when an upstream crashed, by a
// part of its prompt.
func (g *Gossiper) BroadcastPartCrash(c *wire.PartCrash) {
	g.broadcast(16+len(c.GetPart())+len(c.GetCrash()), func(msg *wire.Gossip) { msg.Parts = append(msg.Parts, c) })
}

// BroadcastPartSuccess announces a whole response by a part of its prompt.
func (g *Gossiper) BroadcastPartSuccess(s *wire.PartSuccess) {
	g.broadcast(16+len(s.GetPart()), func(msg *wire.Gossip) { msg.Sound = append(msg.Sound, s) })
}

// BroadcastLeaving announces that a process of an upstream is leaving.
func (g *Gossiper) BroadcastLeaving(d *wire.Departure) {
	g.broadcast(24+len(d.GetUpstream()), func(msg *wire.Gossip) { msg.Leaving = append(msg.Leaving, d) })
}

// BroadcastOutcome announces how a request ended at an upstream.
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

// broadcast adds an event of about size bytes to the next message. An event that
// does not fit is dropped: it would be outdated before it could be sent.
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

// sendLoop sends messages: batchDelay after an event, otherwise every
// gossipInterval.
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
		Outcomes: g.pending.Outcomes, Parts: g.pending.Parts, Sound: g.pending.Sound, Leaving: g.pending.Leaving,
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
		g.log.Errorf("failed to encode gossip message: %v", err)
		return
	}
	for _, t := range targets {
		// Errors are ignored: the network may lose a datagram as well, and the next
		// one makes up for it.
		_, _ = g.udp.WriteToUDP(data, t)
	}
}

// alivePeers returns the addresses of at most 2*fanout peers that are alive.
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

// targets returns the peers to send to and removes expired ones. A peer without
// a message yet is included until peerExpiry, as it may be starting.
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
			time.Sleep(batchDelay) // Such as ICMP port unreachable after an earlier write. Avoids a busy loop.
			continue
		}
		g.handleDatagram(time.Now(), from.String(), buffer[:n])
	}
}

// handleDatagram decodes one datagram and calls the handlers.
func (g *Gossiper) handleDatagram(now time.Time, from string, data []byte) {
	msg := &wire.Gossip{}
	if err := proto.Unmarshal(data, msg); err != nil {
		g.log.With("from", from).Warnf("failed to decode gossip message: %v", err)
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

// updatePeer records the sender of a message. newer reports whether the message
// is newer than those seen from the sender's process, and up whether the peer is
// new, has restarted, or was not alive.
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
		g.log.With("peer", msg.GetName()).With("address", from).Infof("peer is up")
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

// PeerAddress returns the address of the peer with a process number, or "" if
// there is none.
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
	_ = g.udp.Close() // Unblocks readLoop.
	_ = g.tcp.Close()
	g.group.Wait()
}

const rpcName = "Relay"

// Envelope is the net/rpc argument and reply. Data is an encoded message of package wire.
type Envelope struct {
	Data []byte
}

// Service is the net/rpc receiver.
type Service struct{ gossiper *Gossiper }

// Catch returns the items that this entry stores under a prefix.
func (s *Service) Catch(in *Envelope, out *Envelope) error {
	var req wire.SnapshotRequest
	if err := proto.Unmarshal(in.Data, &req); err != nil {
		return err
	}
	data, err := proto.Marshal(s.gossiper.Snapshot(int(req.GetPrefix())))
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

// FetchSnapshot fetches the items that a peer stores under a prefix.
func (g *Gossiper) FetchSnapshot(address string, prefix int) (*wire.SnapshotReply, error) {
	reply := &wire.SnapshotReply{}
	return reply, call("Catch", address, &wire.SnapshotRequest{Prefix: uint32(prefix)}, reply)
}

// FetchCacheState fetches a peer's estimate of the engines' caches and backlogs.
func (g *Gossiper) FetchCacheState(address string) (*wire.CacheStateReply, error) {
	reply := &wire.CacheStateReply{}
	return reply, call("Recall", address, &wire.SnapshotRequest{}, reply)
}

// call makes one RPC over a new connection; these RPCs are rare.
func call(method, address string, request, reply proto.Message) error {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return &Error{Op: method, Kind: KindCall, Err: err}
	}
	defer func() { _ = conn.Close() }() // The reply was read or the call has failed.
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
