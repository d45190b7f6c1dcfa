package direct

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fleet"
	"cactustide/member"
	"cactustide/place"
	"cactustide/relay"
	"cactustide/store"
	"cactustide/wire"
)

const (
	// maxLag is how long a peer may be ahead of an entry that watches the store before its
	// changes are fetched: the store's own response usually arrives within that time.
	maxLag = 300 * time.Millisecond
	// lagCheckInterval is the time between two checks.
	lagCheckInterval = 100 * time.Millisecond
	// fetchInterval is the shortest time between two fetches of a prefix.
	fetchInterval = 80 * time.Millisecond
	// maxReportedAge bounds the age of a confirmation that is passed on.
	maxReportedAge = time.Minute
)

// lag records since when this entry is behind a peer for a prefix, and the peer's
// process number. A zero since means that it is not behind.
type lag struct {
	mu      sync.Mutex
	since   time.Time
	process uint64
	// local is set if the peer is in the data centre of this entry.
	local bool
	// fetchedAt is when changes were last fetched.
	fetchedAt time.Time
}

// positions returns the replication position of each prefix.
func (e *Entry) positions(now time.Time) []*wire.Position {
	list := make([]*wire.Position, 0, len(e.itemCaches))
	for _, c := range e.itemCaches {
		age := reportedAge(c, now) // Asked before the position, which may be newer then.
		position, digest := c.state()
		list = append(list, &wire.Position{Era: position.Era, Revision: position.Revision, Digest: digest, Age: age})
	}
	return list
}

// reportedAge returns 1 + the time since the store had nothing newer than a copy, ms, as peers are
// told; 0 if it is not known or too long. It is rounded up: what is passed on many times must not
// become younger.
func reportedAge(c *itemCache, now time.Time) uint32 {
	age, ok := c.confirmedAge(now)
	if !ok || age >= maxReportedAge {
		return 0
	}
	return 1 + uint32((age + time.Millisecond - 1).Milliseconds())
}

// confirmedByPeer returns when the store had nothing newer than a peer's copy, whose reported age
// is as of a time.
func confirmedByPeer(at time.Time, reported uint32) time.Time {
	return at.Add(-time.Duration(reported-1) * time.Millisecond)
}

// copyAge returns the time since the store last had nothing newer than the oldest copy, as
// it told this or another entry.
func (e *Entry) copyAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, c := range e.itemCaches {
		age, ok := c.confirmedAge(now)
		if !ok {
			age = now.Sub(e.createdAt)
		}
		oldest = max(oldest, age)
	}
	return oldest
}

// snapshot returns the cached items under a prefix, or just the changes after the position in
// the request if they are known.
func (e *Entry) snapshot(req *wire.SnapshotRequest) *wire.SnapshotReply {
	prefix := int(req.GetPrefix())
	if prefix >= len(e.itemCaches) {
		return &wire.SnapshotReply{}
	}
	age := reportedAge(e.itemCaches[prefix], time.Now()) // Asked before the items, which may be newer then.
	items, position, delta := e.itemCaches[prefix].changesAfter(store.Position{Era: req.GetEra(), Revision: req.GetAfter()})
	if req.GetAfter() == 0 || !delta {
		items, position = e.itemCaches[prefix].all()
		delta = false
	}
	reply := &wire.SnapshotReply{Era: position.Era, Revision: position.Revision, Delta: delta, Age: age, Kept: e.keptFor(req.GetVersion())}
	// An entry that the store still turns away cannot tell a lapse from a removal.
	_, downSince := e.itemCaches[prefix].storeTimes()
	if age, ok := e.fleet.OutageAge(time.Now()); ok && downSince.IsZero() {
		reply.Outage = 1 + uint32(age.Milliseconds())
	}
	for _, item := range items {
		reply.Items = append(reply.Items, encodeItem(item))
	}
	return reply
}

func encodeItem(item store.Item) *wire.Item {
	return &wire.Item{Key: item.Key, Value: item.Value, Revision: item.Position.Revision, Deleted: item.Deleted}
}

// decodeItem decodes an item of a reply, whose era is that of the item.
func decodeItem(item *wire.Item, era uint64) store.Item {
	return store.Item{
		Key: item.GetKey(), Value: item.GetValue(), Deleted: item.GetDeleted(),
		Position: store.Position{Era: era, Revision: item.GetRevision()},
	}
}

// handleGossip applies a gossip message of a peer.
func (e *Entry) handleGossip(now time.Time, msg *wire.Gossip) {
	if len(msg.GetPositions()) > 0 {
		peer, _ := e.gossiper.Members().Find(msg.GetProcess())
		local := peer.Centre == e.settings.Load().Centre
		late, known := e.lateness.measure(now, msg.GetProcess(), msg.GetClock())
		for i, p := range msg.GetPositions()[:min(len(msg.GetPositions()), len(e.itemCaches))] {
			if known && p.GetAge() > 0 {
				p.Age += uint32(min(late, maxReportedAge).Milliseconds())
			} else {
				p.Age = 0 // Nothing tells how old it is by now.
			}
			e.comparePosition(now, i, p, msg.GetProcess(), local)
		}
		e.compareVersion(now, msg.GetVersion(), msg.GetProcess(), local)
	}
	for _, s := range msg.GetSent() {
		e.handleSentRequest(now, msg.GetProcess(), s)
	}
	for _, id := range msg.GetEnded() {
		e.balancer.FinishRemote(msg.GetProcess() ^ id)
	}
	// Where not all entries hear each other, what is new is passed on.
	spread := e.gossiper.AliveCount(now) > member.Fanout+1
	for _, d := range msg.GetDoubts() {
		if u, ok := e.fleet.FindHash(d.GetUpstream()); ok {
			if e.fleet.BanUntil(now, u.ID, now.Add(time.Duration(d.GetLeft())*time.Millisecond)) && spread {
				e.gossiper.BroadcastSuspicion(d)
			}
			if d.GetRefused() {
				e.fleet.RecordRefused(now, u.ID, d.GetBorn())
				e.recordCrash(now, u)
			}
		}
	}
	for _, o := range msg.GetOutcomes() {
		if u, ok := e.fleet.FindHash(o.GetUpstream()); ok {
			e.fleet.RecordOutcomes(now, u.ID, int(o.GetGood()), int(o.GetFailed()))
		}
	}
	e.mergeEvidence(now, msg.GetCrashes(), msg.GetSound())
	e.mergeDepartures(now, msg.GetLeaving())
	e.mergeLimits(now, msg.GetLimits(), spread)
	e.handleStreams(now, msg)
	for _, a := range msg.GetAsks() {
		e.handleTurnAsk(now, msg.GetAddress(), a)
	}
	for _, a := range msg.GetAnswers() {
		e.handleTurnAnswer(now, a)
	}
}

// comparePosition records whether a peer is ahead of this entry for a prefix. If it is not, and
// of the same era, what the store told the peer holds here too.
func (e *Entry) comparePosition(now time.Time, prefix int, p *wire.Position, process uint64, local bool) {
	c := e.itemCaches[prefix]
	theirs := store.Position{Era: p.GetEra(), Revision: p.GetRevision()}
	// While changes are applied, the copy is ahead of what depends on it.
	applied := c.applying.TryLock()
	if applied {
		defer c.applying.Unlock()
	}
	mine, digest := c.state()
	sameEra := theirs.Era == mine.Era
	same := sameEra && p.GetDigest() == digest
	behind := mine.Before(theirs) && !same
	if applied && !behind && sameEra {
		if same {
			c.advance(theirs)
		}
		if p.GetAge() > 0 {
			c.confirm(confirmedByPeer(now, p.GetAge()))
		}
	}
	if theirs == mine && mine.Revision > 0 && c.differs(now, !same, differsLimit) {
		e.relist[prefix].Store(true)
	}
	e.recordLag(now, &e.lags[prefix], behind, process, local)
}

// recordLag records whether this entry is behind a peer.
func (e *Entry) recordLag(now time.Time, l *lag, behind bool, process uint64, local bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case behind && l.since.IsZero():
		l.since, l.process, l.local = now, process, local
		select {
		case e.behind <- struct{}{}:
		default:
		}
	case behind && (local || !l.local):
		l.process, l.local = process, local
	case !behind && l.process == process:
		l.since = time.Time{}
	}
}

func (e *Entry) handleSentRequest(now time.Time, process uint64, s *wire.SentRequest) {
	u, ok := e.fleet.FindHash(s.GetUpstream())
	if !ok || len(s.GetHashes()) != len(s.GetTokens()) {
		return
	}
	req := &place.Request{
		PromptTokens: int(s.GetPrompt()), OutputTokens: int(s.GetOutput()), Tier: int(s.GetTier()), RouteTier: int(s.GetLevel()),
		EventGapTarget: time.Duration(s.GetPause()) * time.Millisecond,
	}
	for i, h := range s.GetHashes() {
		req.Segments = append(req.Segments, place.Segment{Hash: h, Tokens: int(s.GetTokens()[i])})
	}
	if t := e.rules.Get(); t != nil {
		if service := t.FindService(u.Service); service != nil && service.Engine != nil {
			req.Engine, req.KVCapacity, req.TokensPerEvent = true, service.Engine.KVCapacity, service.Engine.TokensPerEvent
		}
	}
	e.balancer.StartRemote(now, process^s.GetId(), u, req)
}

// broadcastSent announces a sent request to the peers and returns its id.
func (e *Entry) broadcastSent(to fleet.Upstream, q *request) uint64 {
	s := &wire.SentRequest{
		Id:       rand.Uint64() >> 24, // 40 bits keep the message short; collisions are rare.
		Upstream: xxhash.Sum64String(to.ID),
		Prompt:   uint32(q.placement.PromptTokens),
		Output:   uint32(q.placement.OutputTokens),
		Pause:    uint32(q.placement.EventGapTarget.Milliseconds()),
		Tier:     uint32(q.placement.Tier),
		Level:    uint32(q.placement.RouteTier),
	}
	for _, seg := range q.placement.Segments {
		s.Hashes = append(s.Hashes, seg.Hash)
		s.Tokens = append(s.Tokens, uint32(seg.Tokens))
	}
	e.gossiper.BroadcastSent(s)
	return s.Id
}

// recordOutcome records whether a request failed at an upstream, and broadcasts it.
func (e *Entry) recordOutcome(now time.Time, to fleet.Upstream, failed bool) {
	if failed {
		e.fleet.RecordOutcomes(now, to.ID, 0, 1)
	} else {
		e.fleet.RecordOutcomes(now, to.ID, 1, 0)
	}
	e.gossiper.BroadcastOutcome(xxhash.Sum64String(to.ID), failed)
}

// ban bans an upstream, here and at the peers, and returns for how long.
func (e *Entry) ban(now time.Time, to fleet.Upstream, reason error) time.Duration {
	duration := e.fleet.Ban(now, to.ID)
	e.pool.CloseIdle(to.Address)
	refused := isConnRefused(reason)
	if refused {
		e.recordCrash(now, to)
	}
	e.gossiper.BroadcastSuspicion(&wire.Suspicion{Upstream: xxhash.Sum64String(to.ID), Left: uint32(duration.Milliseconds()), Refused: refused, Born: to.StartedAt})
	return duration
}

// catchUp fetches changes from peers: at once if others watch the store for this entry, else
// when the store does not deliver them in time.
func (e *Entry) catchUp(ctx context.Context) error {
	ticker := time.NewTicker(lagCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.behind:
			sleepContext(ctx, randomJitter())
		}
		if e.stopping.Load() {
			continue // A fetch could outlast the time left.
		}
		now := time.Now()
		limit := maxLag
		if watcher, _ := e.watchRole(now); !watcher {
			limit = 0
		}
		for i := range e.lags {
			if process, ok := e.lags[i].due(now, limit); ok {
				e.fetchUntil(ctx, i, process)
			}
		}
		if process, ok := e.keptLag.due(now, maxLag); ok && e.rules.Version() < e.peerVersion.Load() {
			e.fetchUntil(ctx, configPrefix, process) // The configuration in force comes with any prefix.
		}
	}
}

// due reports whether the entry was behind for longer than a limit, and returns the
// process to fetch from.
func (l *lag) due(now time.Time, limit time.Duration) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() || now.Sub(l.since) < limit || now.Sub(l.fetchedAt) < fetchInterval {
		return 0, false
	}
	l.since, l.fetchedAt = time.Time{}, now
	return l.process, true
}

// fetchUntil fetches from a peer what this entry lacks under a prefix. When ctx ends, it returns
// without waiting for the peer.
func (e *Entry) fetchUntil(ctx context.Context, prefix int, process uint64) {
	_ = e.callWithContext(ctx, func() error { // A failed fetch is logged.
		e.fetchSnapshot(prefix, process)
		return nil
	})
}

// fetchSnapshot fetches from a peer what this entry lacks under a prefix.
func (e *Entry) fetchSnapshot(prefix int, process uint64) {
	address := e.gossiper.PeerAddress(process)
	logger := e.log.With("prefix", e.codec.Prefixes[prefix]).With("peer", address)
	c := e.itemCaches[prefix]
	before, _ := c.state()
	began := time.Now()
	reply, err := e.gossiper.FetchSnapshot(address, &wire.SnapshotRequest{
		Prefix: uint32(prefix), Era: before.Era, After: before.Revision, Version: e.rules.Version(),
	})
	if err != nil {
		logger.Warnf("cannot fetch changes from the peer: %v", err)
		return
	}
	c.settling.Lock()
	defer c.settling.Unlock()
	now := time.Now()
	if kept := reply.GetKept(); kept != nil {
		e.handleItem(now, sourcePeer, decodeItem(kept, reply.GetEra()), false)
	}
	position := store.Position{Era: reply.GetEra(), Revision: reply.GetRevision()}
	defer func() {
		c.applying.Lock() // Another call may be applying the same changes.
		defer c.applying.Unlock()
		if mine, _ := c.state(); reply.GetAge() > 0 && mine.Era == position.Era && !mine.Before(position) {
			c.confirm(confirmedByPeer(began, reply.GetAge()))
		}
	}()
	if mine, _ := c.state(); !mine.Before(position) {
		return
	}
	if reply.GetOutage() > 0 {
		// The peer may have learned of removals right after an outage, as lapses.
		e.fleet.RecordPeerOutage(now.Add(-time.Duration(reply.GetOutage()-1) * time.Millisecond))
	}
	var items []store.Item
	for _, s := range reply.GetItems() {
		items = append(items, decodeItem(s, position.Era))
	}
	logger.With("before", before.Revision).With("era", position.Era).With("revision", position.Revision).With("delta", reply.GetDelta()).Infof("fetched %d items from the peer", len(items))
	if reply.GetDelta() {
		e.applyChanges(now, prefix, sourcePeer, store.Changes{Items: items, Position: position})
		return
	}
	e.replaceItems(now, prefix, sourcePeer, items, position)
}

// keptConfig is the item of the configuration in force.
type keptConfig struct {
	item    store.Item
	version uint64
}

// keepConfig keeps the item of a configuration that came into force. The store may hold an older
// one for a while after it has come back from a copy.
func (e *Entry) keepConfig(item store.Item, version uint64) {
	next := &keptConfig{item: item, version: version}
	for {
		old := e.kept.Load()
		if old != nil && old.version >= version || e.kept.CompareAndSwap(old, next) {
			return
		}
	}
}

// keptFor returns the item of the configuration in force for a peer that has an older version in
// force; nil if the peer's is not older, or if the copy has the item.
func (e *Entry) keptFor(version uint64) *wire.Item {
	kept := e.kept.Load()
	if kept == nil || version == 0 || kept.version <= version {
		return nil
	}
	for _, c := range e.itemCaches {
		if c.holds(kept.item) {
			return nil
		}
	}
	return encodeItem(kept.item)
}

// compareVersion records whether a peer has a newer configuration in force although this entry is
// not behind it: the store does not hold that configuration any more.
func (e *Entry) compareVersion(now time.Time, version, process uint64, local bool) {
	mine := e.rules.Version()
	if version > e.peerVersion.Load() {
		e.peerVersion.Store(version)
	}
	e.recordLag(now, &e.keptLag, mine > 0 && version > mine, process, local)
}

// cacheState returns the estimated prompt caches and backlogs of the engines.
func (e *Entry) cacheState(now time.Time) *wire.CacheStateReply {
	reply := &wire.CacheStateReply{Members: relay.EncodeMembers(e.gossiper.Members().Alive(now)), Crashes: e.encodeEvidence(now), Complete: e.join.isComplete(now)}
	for _, d := range e.fleet.Departures() {
		reply.Leaving = append(reply.Leaving, encodeDeparture(now, d))
	}
	for _, l := range e.quota.Limits() {
		reply.Limits = append(reply.Limits, encodeLimit(now, l))
	}
	for id, state := range e.balancer.CacheStates(now) {
		c := &wire.Cache{Upstream: xxhash.Sum64String(id), Backlog: uint32(state.Backlog.Milliseconds())}
		for _, seg := range state.Segments {
			c.Hashes = append(c.Hashes, seg.Hash)
			c.Tokens = append(c.Tokens, uint32(seg.Tokens))
		}
		reply.Caches = append(reply.Caches, c)
	}
	return reply
}

// AliveEntries returns the number of alive entries, including this one.
func (e *Entry) AliveEntries() int { return e.gossiper.AliveCount(time.Now()) }
