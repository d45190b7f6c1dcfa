package relay

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cactustide/member"
	"cactustide/meter"
	"cactustide/wire"
)

const (
	// gossipInterval is the longest time between two gossip messages, and batchDelay
	// the time for which events are collected into one message. batchDelay is also
	// the pause after a failed read or accept.
	gossipInterval = 250 * time.Millisecond
	batchDelay     = 25 * time.Millisecond
	// fullInterval is the shortest time between two full messages, which carry the
	// sender's positions and records of members; the messages in between carry events
	// alone.
	fullInterval = 200 * time.Millisecond
	// newsInterval is that time while changes of members wait to be passed on.
	newsInterval = 60 * time.Millisecond
	// nameEvery is the number of full messages for each one that names the sender and
	// lists addresses for older processes.
	nameEvery = 5
	// A full message has at most maxRecords of members, steadyRecords of them in turn.
	// welcomeRecords are sent to a peer that has just been heard of.
	maxRecords     = 20
	steadyRecords  = 1
	welcomeRecords = 20
	// One of fullShare neighbours, in turn, gets each full message.
	fullShare = 3
	// fullLimits is the number of limits of upstreams in a full message, in turn.
	fullLimits = 4
	// listedPeers is the number of addresses for older processes.
	listedPeers = 6
	// A member that is suspected is probed by the entry and by helpers others. At most
	// maxSuspects are asked for at a time.
	helpers     = 3
	maxSuspects = 8
	// datagramBytes is a message size that fits into one packet on an Ethernet
	// network.
	datagramBytes   = 1200
	readBufferBytes = 64 << 10
	// maxSenders bounds the senders whose last message is known.
	maxSenders = 1 << 14
)

// Gossiper exchanges gossip messages with the other entries and serves their
// RPCs. The function fields must be set before Start.
type Gossiper struct {
	// OnGossip handles a message that is newer than the last one of its sender.
	OnGossip func(now time.Time, msg *wire.Gossip)
	// Positions returns this entry's position in each prefix of the store.
	Positions func(now time.Time) []*wire.Position
	// Snapshot returns the items that this entry stores under a prefix, or the changes
	// after a position.
	Snapshot func(req *wire.SnapshotRequest) *wire.SnapshotReply
	// Version returns the version of the configuration in force.
	Version func() uint64
	// CacheState returns this entry's estimate of the engines' caches and backlogs.
	CacheState func(now time.Time) *wire.CacheStateReply
	// Limits returns up to n of the rates that upstreams name, in turn.
	Limits func(now time.Time, n int) []*wire.Limit
	// OnPeerUp is called when a peer is first seen, has restarted, or sends again
	// after it was silent.
	OnPeerUp func(now time.Time, address string)
	// Send sends a datagram. Start sets it, unless it is set already.
	Send func(address string, data []byte)

	name    string
	address string
	centre  string
	process uint64
	log     *meter.Logger
	members *member.Table
	udp     *net.UDPConn
	tcp     net.Listener
	dropped atomic.Int64
	urgent  atomic.Bool
	mu      sync.Mutex
	// last is the last message of each sender.
	last map[string]lastMessage
	// pending collects the events of the next message.
	pending      wire.Gossip
	pendingBytes int
	// sequence is the number of the last message, lastFull when the last full one was
	// sent, and fullCount the number of those.
	sequence  uint64
	lastFull  time.Time
	fullCount int
	flush     chan struct{}
	done      chan struct{}
	group     sync.WaitGroup
	startedAt time.Time
}

// lastMessage is the newest message of a sender.
type lastMessage struct {
	process  uint64
	sequence uint64
	// seen has a bit for each of the last 64 messages that arrived, the newest one in the lowest.
	seen uint64
}

// New returns a gossiper. Other entries reach it at address, over TCP and UDP.
func New(now time.Time, name, centre, address string, seeds []string, process uint64, log *meter.Logger) *Gossiper {
	g := &Gossiper{
		name: name, address: address, centre: centre, process: process, log: log, startedAt: now,
		members: member.New(member.Record{Address: address, Centre: centre, Process: process, Beat: uint64(max(0, now.UnixMilli()))}),
		Limits:  func(time.Time, int) []*wire.Limit { return nil },
		Version: func() uint64 { return 0 },
		last:    map[string]lastMessage{}, flush: make(chan struct{}, 1), done: make(chan struct{}),
	}
	g.members.AddSeeds(now, seeds)
	return g
}

// Start opens the UDP and TCP listeners and starts the loops.
func (g *Gossiper) Start() error {
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
	if g.Send == nil {
		g.Send = g.sendDatagram
	}
	server := rpc.NewServer()
	if err := server.RegisterName(rpcName, &Service{gossiper: g}); err != nil {
		return &Error{Op: "register", Kind: KindListen, Err: err}
	}
	g.group.Go(func() { g.acceptLoop(server) })
	g.group.Go(g.readLoop)
	g.group.Go(g.sendLoop)
	return nil
}

func (g *Gossiper) sendDatagram(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return // The table takes no such address.
	}
	// Errors are ignored: the network may lose a datagram as well, and the next one makes
	// up for it.
	_, _ = g.udp.WriteToUDPAddrPort(data, to)
}

// AddSeeds adds entries by their addresses, which may be stale.
func (g *Gossiper) AddSeeds(now time.Time, seeds []string) { g.members.AddSeeds(now, seeds) }

// AliveCount returns the number of entries that are alive, including this one.
func (g *Gossiper) AliveCount(now time.Time) int { return g.members.Count(now) }

// Members returns the table of the entries.
func (g *Gossiper) Members() *member.Table { return g.members }

// Dropped returns the number of events that were dropped because a message was full.
func (g *Gossiper) Dropped() int64 { return g.dropped.Load() }

// sendLoop sends messages: batchDelay after an event, otherwise every
// gossipInterval.
func (g *Gossiper) sendLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
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
		g.send(time.Now())
		timer.Reset(g.interval())
	}
}

// interval returns the longest time until the next message.
func (g *Gossiper) interval() time.Duration {
	if g.members.HasNews() {
		return newsInterval
	}
	return gossipInterval
}

// send sends the pending events to the neighbours. If it is due, a part of them, in turn, also
// get the entry's own state; all of them do if that is urgent.
func (g *Gossiper) send(now time.Time) {
	urgent := g.urgent.Swap(false)
	full := urgent || now.Sub(g.lastFull) >= min(fullInterval, g.interval())
	events := g.takeEvents()
	neighbours := g.members.Neighbours()
	if !full {
		g.sendTo(events, neighbours...)
		return
	}
	g.lastFull = now
	g.fullCount++
	var chosen, others []string
	for i, address := range neighbours {
		if urgent || (i+g.fullCount)%fullShare == 0 {
			chosen = append(chosen, address)
		} else {
			others = append(others, address)
		}
	}
	if hasEvents(events) {
		g.sendTo(events, others...)
	}
	g.fillFull(now, events)
	g.sendTo(events, chosen...)
	g.probeSuspects(now)
}

// takeEvents returns a message with the pending events.
func (g *Gossiper) takeEvents() *wire.Gossip {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	msg := &wire.Gossip{
		Process: g.process, Sequence: g.sequence, Sent: g.pending.Sent, Ended: g.pending.Ended, Doubts: g.pending.Doubts,
		Outcomes: g.pending.Outcomes, Crashes: g.pending.Crashes, Sound: g.pending.Sound, Leaving: g.pending.Leaving,
		Limits: g.pending.Limits,
	}
	g.pending, g.pendingBytes = wire.Gossip{}, 0
	return msg
}

func hasEvents(msg *wire.Gossip) bool {
	return len(msg.GetSent())+len(msg.GetEnded())+len(msg.GetDoubts())+
		len(msg.GetOutcomes())+len(msg.GetCrashes())+len(msg.GetSound())+len(msg.GetLeaving())+len(msg.GetLimits()) > 0
}

// fillFull adds the entry's own state and records of members to a message.
func (g *Gossiper) fillFull(now time.Time, msg *wire.Gossip) {
	msg.Beat = g.members.NextBeat().Beat
	msg.Positions = g.Positions(now)
	msg.Clock = 1 + uint64(max(0, now.Sub(g.startedAt).Milliseconds()))
	msg.Version = g.Version()
	msg.Limits = append(msg.Limits, g.Limits(now, fullLimits)...)
	g.addRecords(msg, g.members.Records(now, maxRecords, steadyRecords))
	if g.fullCount%nameEvery == 1 {
		msg.Name, msg.Address, msg.Centre = g.name, g.address, g.centre
		alive := g.members.Alive(now)
		for range min(listedPeers, len(alive)) {
			msg.Peers = append(msg.Peers, alive[rand.IntN(len(alive))].Address)
		}
	}
}

func (g *Gossiper) addRecords(msg *wire.Gossip, records []member.Record) {
	msg.Members = append(msg.Members, EncodeMembers(records)...)
}

// EncodeMembers encodes records of members.
func EncodeMembers(records []member.Record) []*wire.Member {
	list := make([]*wire.Member, 0, len(records))
	for _, r := range records {
		list = append(list, &wire.Member{Address: r.Address, Centre: r.Centre, Process: r.Process, Beat: r.Beat, Down: r.Down})
	}
	return list
}

// DecodeMembers decodes records of members.
func DecodeMembers(list []*wire.Member) []member.Record {
	records := make([]member.Record, 0, len(list))
	for _, m := range list {
		records = append(records, member.Record{Address: m.GetAddress(), Centre: m.GetCentre(), Process: m.GetProcess(), Beat: m.GetBeat(), Down: m.GetDown()})
	}
	return records
}

// probeSuspects probes the members that have fallen silent, asks others to do so, and sends
// a message to one that is absent.
func (g *Gossiper) probeSuspects(now time.Time) {
	suspects := g.members.Check(now)
	suspects = suspects[:min(len(suspects), maxSuspects)]
	for _, address := range suspects {
		g.sendTo(g.message(true), address)
	}
	neighbours := g.members.Neighbours()
	if len(suspects) > 0 {
		msg := g.message(false)
		msg.Ask = suspects
		rand.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
		g.sendTo(msg, neighbours[:min(len(neighbours), helpers)]...)
	}
	if absent := g.members.Absent(); len(absent) > 0 {
		r := absent[rand.IntN(len(absent))]
		msg := g.message(false)
		g.addRecords(msg, []member.Record{r})
		g.sendTo(msg, r.Address)
	}
}

// message returns a message with the entry's number.
func (g *Gossiper) message(probe bool) *wire.Gossip {
	self := g.members.NextBeat()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	return &wire.Gossip{Process: g.process, Sequence: g.sequence, Beat: self.Beat, Centre: self.Centre, Probe: probe}
}

func (g *Gossiper) sendTo(msg *wire.Gossip, addresses ...string) {
	data, err := proto.Marshal(msg)
	if err != nil {
		g.log.Errorf("failed to encode gossip message: %v", err)
		return
	}
	for _, address := range addresses {
		g.Send(address, data)
	}
}

func (g *Gossiper) readLoop() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := g.udp.ReadFromUDPAddrPort(buffer)
		select {
		case <-g.done:
			return
		default:
		}
		if err != nil {
			time.Sleep(batchDelay) // Such as ICMP port unreachable after an earlier write. Avoids a busy loop.
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		g.handleDatagram(time.Now(), sender.String(), buffer[:n])
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
	if !newer {
		if g.isOvertaken(from, msg) {
			g.OnGossip(now, &wire.Gossip{Process: msg.GetProcess(), Address: msg.GetAddress(), Streams: msg.GetStreams(), Wants: msg.GetWants(), Tells: msg.GetTells()})
		}
		return
	}
	if up {
		g.OnPeerUp(now, from)
	}
	if up || msg.GetProbe() {
		reply := g.message(false)
		if up {
			g.addRecords(reply, g.members.Sample(now, welcomeRecords, rand.IntN))
		}
		g.sendTo(reply, from)
	}
	for _, address := range msg.GetAsk()[:min(len(msg.GetAsk()), maxSuspects)] {
		if g.members.Asked(now, address) {
			g.sendTo(g.message(true), address)
		}
	}
	g.OnGossip(now, msg)
}

// updatePeer records the sender of a message and what it knows of others. newer reports
// whether the message is newer than those seen from the sender's process, and up whether the
// sender is new, has restarted, or was silent.
func (g *Gossiper) updatePeer(now time.Time, from string, msg *wire.Gossip) (newer, up bool) {
	if msg.GetProcess() == g.process || msg.GetProcess() == 0 {
		return false, false
	}
	g.mu.Lock()
	last := g.last[from]
	newer = last.process != msg.GetProcess() || msg.GetSequence() > last.sequence
	if newer {
		if len(g.last) >= maxSenders {
			clear(g.last)
		}
		g.last[from] = last.next(msg.GetProcess(), msg.GetSequence())
	}
	g.mu.Unlock()
	if !newer {
		return false, false
	}
	up = g.members.Hear(now, member.Record{Address: from, Centre: msg.GetCentre(), Process: msg.GetProcess(), Beat: msg.GetBeat()})
	if up {
		g.log.With("peer", msg.GetName()).With("address", from).Infof("peer is up")
	}
	g.members.Merge(now, DecodeMembers(msg.GetMembers()))
	g.members.AddAddresses(now, msg.GetPeers())
	return true, up
}

// next returns the record of a sender after a newer message.
func (m lastMessage) next(process, sequence uint64) lastMessage {
	n := lastMessage{process: process, sequence: sequence, seen: 1}
	if m.process == process {
		n.seen |= m.seen << (sequence - m.sequence) // 0 if all are out of the window.
	}
	return n
}

// isOvertaken reports whether a message that is not newer arrives for the first time: a later one of
// its sender overtook it. What it says of streams still holds.
func (g *Gossiper) isOvertaken(from string, msg *wire.Gossip) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.last[from]
	if !ok || last.process != msg.GetProcess() || msg.GetSequence() > last.sequence {
		return false
	}
	bit := uint64(1) << (last.sequence - msg.GetSequence()) // 0 if it is out of the window.
	if bit == 0 || last.seen&bit != 0 {
		return false
	}
	last.seen |= bit
	g.last[from] = last
	return true
}

// PeerAddress returns the address of the peer with a process number, or "" if
// there is none.
func (g *Gossiper) PeerAddress(process uint64) string {
	r, _ := g.members.Find(process)
	return r.Address
}

// Close stops the loops and waits for them.
func (g *Gossiper) Close() {
	close(g.done)
	_ = g.udp.Close() // Unblocks readLoop.
	_ = g.tcp.Close()
	g.group.Wait()
}
