package place

import (
	"cmp"
	"slices"
	"time"

	"cactustide/fleet"
)

const (
	// MaxScanned is the number of upstreams of a service up to which a choice compares all.
	MaxScanned = 160
	// Above it, a choice compares up to sampledHolders upstreams that have a part of the
	// prompt in their cache, sampledHomes that follow the part in the ring of the service,
	// so that entries without shared state agree, and sampledRandom at random.
	sampledHolders = 12
	sampledHomes   = 4
	sampledRandom  = 24
	// maxHolders bounds the upstreams that are known to have a segment.
	maxHolders = 16
	// sampleTimeConstant is the time constant with which the load of the samples is
	// smoothed.
	sampleTimeConstant = 500 * time.Millisecond
)

// Sample returns the upstreams of a large service, given with its ring, to compare for a request: a
// number of them that does not grow with the service. random returns a number from 0 to n-1.
func (b *Balancer) Sample(service string, ring []fleet.Node, req *Request, random func(n int) int) []string {
	ids := make([]string, 0, sampledHolders+sampledHomes+sampledRandom)
	add := func(id string) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	b.mu.Lock()
	for _, seg := range slices.Backward(req.Segments) {
		for _, u := range b.holders[segmentKey{service, seg.Hash}] {
			if len(ids) < sampledHolders {
				add(u.id)
			}
		}
	}
	b.mu.Unlock()
	if n := len(req.Segments); n > 0 {
		target := fleet.Node{Hash: req.Segments[n-1].Hash}
		i, _ := slices.BinarySearchFunc(ring, target, func(a, b fleet.Node) int { return cmp.Compare(a.Hash, b.Hash) })
		for k := range min(sampledHomes, len(ring)) {
			add(ring[(i+k)%len(ring)].ID)
		}
	}
	for range min(sampledRandom, len(ring)) {
		add(ring[random(len(ring))].ID)
	}
	return ids
}

// ChooseSampled is Choose for the candidates of a Sample. The load of the service is that of
// the candidates without a part of the prompt, smoothed over the last choices.
func (b *Balancer) ChooseSampled(now time.Time, serviceName string, candidates []fleet.Candidate, req *Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceModel(serviceName)
	var others []fleet.Candidate
	for _, c := range candidates {
		if b.upstream(c.Upstream).cachedPrefixTokens(req.Segments) == 0 {
			others = append(others, c)
		}
	}
	if len(others) > 0 {
		s.sampledLoad.add(now, b.aggregateLoad(now, others, req))
	}
	load := s.sampledLoad.load
	if !req.Engine {
		load = aggregateLoad{prefillCost: b.settings.PrefillCost}
	}
	return b.cheapest(now, s, candidates, req, load)
}

// smoothedLoad is a smoothed aggregateLoad.
type smoothedLoad struct {
	load      aggregateLoad
	updatedAt time.Time
}

func (l *smoothedLoad) add(now time.Time, sample aggregateLoad) {
	weight := 1.0
	if !l.updatedAt.IsZero() {
		// Several samples within the time constant count as one.
		weight = min(1, max(0.05, now.Sub(l.updatedAt).Seconds()/sampleTimeConstant.Seconds()))
	}
	l.updatedAt = now
	l.load.prefillCost += weight * (sample.prefillCost - l.load.prefillCost)
	l.load.prefillUtil += weight * (sample.prefillUtil - l.load.prefillUtil)
	l.load.longPrefillUtil += weight * (sample.longPrefillUtil - l.load.longPrefillUtil)
}

// addHolder and dropHolder maintain the index of the upstreams that have a segment.
func (b *Balancer) addHolder(hash uint64, u *upstreamState) {
	key := segmentKey{u.service, hash}
	if list := b.holders[key]; len(list) < maxHolders {
		b.holders[key] = append(list, u)
	}
}

func (b *Balancer) dropHolder(hash uint64, u *upstreamState) {
	key := segmentKey{u.service, hash}
	list := b.holders[key]
	i := slices.Index(list, u)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(b.holders, key)
		return
	}
	b.holders[key] = slices.Delete(list, i, i+1)
}

// dropUpstream removes the state of an upstream's process.
func (b *Balancer) dropUpstream(id string) {
	u, ok := b.upstreams[id]
	if !ok {
		return
	}
	for hash := range u.cachedSegments {
		b.dropHolder(hash, u)
	}
	delete(b.upstreams, id)
}
