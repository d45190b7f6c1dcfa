package direct

import (
	"context"
	"sync"
	"time"

	"cactustide/place"
	"cactustide/relay"
	"cactustide/wire"
)

const (
	// joinTime is how long after its start an entry looks for a peer that knows what the entries
	// tell only each other. After that, nobody does.
	joinTime = 3 * time.Second
	// joinWait is how long after the start a request waits for such a peer.
	joinWait = 300 * time.Millisecond
	// maxJoinFetches bounds the peers that are asked in that time.
	maxJoinFetches = 8
	// cacheStateInterval is the shortest time between two fetches after it.
	cacheStateInterval = 2 * time.Second
)

// peerJoin decides from which peers an entry fetches what the entries tell only each other: crashes,
// limits, upstreams that leave, members, caches of prompts. One that starts asks one peer after the
// other until one has complete knowledge: the first ones may have just started as well.
type peerJoin struct {
	mu        sync.Mutex
	startedAt time.Time
	// complete is set once a peer answered that has complete knowledge; joined is closed then.
	complete bool
	joined   chan struct{}
	// waiting holds the addresses of the peers to ask next, asking is set while one is asked.
	waiting []string
	asking  bool
	fetches int
	// fetchedAt is when the last fetch began.
	fetchedAt time.Time
}

// newPeerJoin returns the state of an entry that starts now. alone is set if there is nobody to ask.
func newPeerJoin(now time.Time, alone bool) *peerJoin {
	j := &peerJoin{startedAt: now, joined: make(chan struct{})}
	j.record(alone)
	return j
}

// wait waits until the entry knows what its peers know, for joinWait after the start or until ctx ends.
func (j *peerJoin) wait(ctx context.Context, now time.Time) {
	left := joinWait - now.Sub(j.startedAt)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-j.joined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isComplete reports whether the entry knows what its peers know.
func (j *peerJoin) isComplete(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.completeAt(now)
}

func (j *peerJoin) completeAt(now time.Time) bool {
	return j.complete || now.Sub(j.startedAt) >= joinTime
}

// add adds a peer that has just come up, and reports whether the caller has to begin to ask.
func (j *peerJoin) add(now time.Time, address string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.completeAt(now) {
		if j.asking || !j.fetchedAt.IsZero() && now.Sub(j.fetchedAt) < cacheStateInterval {
			return false
		}
	} else if j.fetches+len(j.waiting) >= maxJoinFetches {
		return false
	}
	j.waiting = append(j.waiting, address)
	begin := !j.asking
	j.asking = true
	return begin
}

// next returns the peer to ask now; false ends the asking.
func (j *peerJoin) next(now time.Time) (address string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.waiting) == 0 {
		j.asking = false
		return "", false
	}
	address, j.waiting = j.waiting[0], j.waiting[1:]
	j.fetches++
	j.fetchedAt = now
	return address, true
}

// record records the answer of a peer, and whether its knowledge is complete.
func (j *peerJoin) record(complete bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !complete {
		return
	}
	if !j.complete {
		close(j.joined)
	}
	j.complete, j.waiting = true, nil
}

// joinPeer fetches what the entries tell only each other from a peer that has come up: this entry has just
// started, or the network between the two was interrupted.
func (e *Entry) joinPeer(now time.Time, address string) {
	if e.stopping.Load() || !e.join.add(now, address) {
		return
	}
	e.group.Go(func() error {
		for {
			peer, ok := e.join.next(time.Now())
			if !ok {
				return nil
			}
			var reply *wire.CacheStateReply
			err := e.callWithContext(e.ending, func() (err error) {
				reply, err = e.gossiper.FetchCacheState(peer)
				return err
			})
			if e.ending.Err() != nil {
				return nil
			}
			if err != nil {
				e.log.With("peer", peer).Warnf("cannot fetch cache state from the peer: %v", err)
				continue
			}
			n := e.mergeState(time.Now(), reply)
			e.join.record(reply.GetComplete())
			e.log.With("peer", peer).With("complete", reply.GetComplete()).Infof("fetched cache state of %d prompt segments from the peer", n)
		}
	})
}

// mergeState merges what a peer knows, and returns the number of prompt segments in it.
func (e *Entry) mergeState(now time.Time, reply *wire.CacheStateReply) int {
	e.mergeEvidence(now, reply.GetCrashes(), nil)
	e.mergeDepartures(now, reply.GetLeaving())
	e.mergeLimits(now, reply.GetLimits(), false)
	e.gossiper.Members().Merge(now, relay.DecodeMembers(reply.GetMembers()))
	n := 0
	for _, c := range reply.GetCaches() {
		u, ok := e.fleet.FindHash(c.GetUpstream())
		if !ok || len(c.GetHashes()) != len(c.GetTokens()) {
			continue
		}
		segments := make([]place.Segment, len(c.GetHashes()))
		for i, h := range c.GetHashes() {
			segments[i] = place.Segment{Hash: h, Tokens: int(c.GetTokens()[i])}
		}
		n += len(segments)
		e.balancer.MergeCache(now, u, segments, time.Duration(c.GetBacklog())*time.Millisecond)
	}
	return n
}
