package relay

import (
	"slices"

	"cactustide/wire"
)

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

// BroadcastCrash announces that an upstream crashed while it ran a request.
func (g *Gossiper) BroadcastCrash(c *wire.Crash) {
	g.broadcast(28+len(c.GetSubject())+len(c.GetUpstream()), func(msg *wire.Gossip) { msg.Crashes = append(msg.Crashes, c) })
}

// BroadcastSuccess announces a whole response.
func (g *Gossiper) BroadcastSuccess(s *wire.Success) {
	g.broadcast(16+len(s.GetSubject()), func(msg *wire.Gossip) { msg.Sound = append(msg.Sound, s) })
}

// BroadcastLeaving announces that a process of an upstream is leaving.
func (g *Gossiper) BroadcastLeaving(d *wire.Departure) {
	g.broadcast(24+len(d.GetUpstream()), func(msg *wire.Gossip) { msg.Leaving = append(msg.Leaving, d) })
}

// BroadcastLimit announces the rate that an upstream names.
func (g *Gossiper) BroadcastLimit(l *wire.Limit) {
	g.broadcast(40+len(l.GetUpstream()), func(msg *wire.Gossip) { msg.Limits = append(msg.Limits, l) })
}

// SendAsk sends a request for turns to one entry, at once. The answer goes to the address in
// the message.
func (g *Gossiper) SendAsk(address string, ask *wire.TurnAsk) {
	msg := g.message(false)
	msg.Address, msg.Asks = g.address, []*wire.TurnAsk{ask}
	g.sendTo(msg, address)
}

// SendAnswer sends the answer to a request for turns, at once.
func (g *Gossiper) SendAnswer(address string, answer *wire.TurnAnswer) {
	msg := g.message(false)
	msg.Answers = []*wire.TurnAnswer{answer}
	g.sendTo(msg, address)
}

// SendStream sends the origin of a stream to entries that keep it, at once.
func (g *Gossiper) SendStream(s *wire.Stream, addresses ...string) {
	msg := g.message(false)
	msg.Streams = []*wire.Stream{s}
	g.sendTo(msg, addresses...)
}

// SendStreamAsk asks entries for the origin of a stream, at once. The answers go to the address
// in the message.
func (g *Gossiper) SendStreamAsk(ask *wire.StreamAsk, addresses ...string) {
	msg := g.message(false)
	msg.Address, msg.Wants = g.address, []*wire.StreamAsk{ask}
	g.sendTo(msg, addresses...)
}

// SendStreamAnswer sends the answer to a question about a stream, at once.
func (g *Gossiper) SendStreamAnswer(address string, answer *wire.StreamAnswer) {
	msg := g.message(false)
	msg.Tells = []*wire.StreamAnswer{answer}
	g.sendTo(msg, address)
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
		g.dropped.Add(1)
		return
	}
	g.pendingBytes += size
	add(&g.pending)
	g.wake()
}

// wake makes sendLoop send the next message soon.
func (g *Gossiper) wake() {
	select {
	case g.flush <- struct{}{}:
	default:
	}
}

// Announce makes the next message a full one and sends it soon: this entry's position in the
// store has changed.
func (g *Gossiper) Announce() {
	g.urgent.Store(true)
	g.wake()
}
