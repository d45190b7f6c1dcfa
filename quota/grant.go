package quota

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// grantedFraction is the part of a rate that is handed out; the rest covers turns that are
	// used late.
	grantedFraction = 0.9
	// burstTime is the time whose turns may be handed out at once.
	burstTime = 100 * time.Millisecond
	// horizon is how far ahead turns are handed out.
	horizon = 500 * time.Millisecond
	// askerTime is the time between two requests of an entry for each entry that asks, which
	// bounds the requests for the turns of one upstream to 200 a second, whatever the fleet.
	askerTime = 5 * time.Millisecond
	// askerWindow is the time in which entries that ask are counted.
	askerWindow = 2 * time.Second
	// minRetry is the shortest time between two requests that are answered without a turn.
	minRetry = 20 * time.Millisecond
	// settleTime, and settlePerMember more for each member, is how long an entry must have been
	// the one that hands out turns before it does: the one before must have learned of it.
	settleTime      = time.Second
	settlePerMember = 15 * time.Millisecond
	// otherRetry is the time between two requests while entries differ on who hands out turns.
	otherRetry = 150 * time.Millisecond
)

// Fleet is what an entry knows of the entries.
type Fleet struct {
	// Self is the address of the entry.
	Self string
	// Version changes with the members that are alive.
	Version uint64
	// Alive returns their addresses, that of the entry included.
	Alive func() []string
	// Count is their number, Known that of all members heard of lately. While some are missing,
	// they may be a part of the fleet that was cut off and hands out turns as well.
	Count, Known int
	// StartedAt is when the entry started.
	StartedAt time.Time
}

// granter is the state of handing out turns for one upstream.
type granter struct {
	limiter *rate.Limiter
	// owner is the address of the entry that hands out turns, by the members of a version.
	owner   string
	version uint64
	// ownedSince is since when this entry is the one; zero if it is not.
	ownedSince time.Time
	askers     askerCount
	granted    int64
}

// askerCount estimates the number of entries that ask (linear counting, Whang, Vander-Zanden
// and Taylor, 1990).
type askerCount struct {
	bits, last [16]uint64
	since      time.Time
}

// add counts an entry, and returns the estimate for the window before or the present one.
func (c *askerCount) add(now time.Time, address string) float64 {
	if now.Sub(c.since) >= askerWindow {
		c.last, c.bits, c.since = c.bits, [16]uint64{}, now
	}
	h := xxhash.Sum64String(address) % (64 * uint64(len(c.bits)))
	c.bits[h/64] |= 1 << (h % 64)
	return max(estimate(c.bits), estimate(c.last))
}

func estimate(set [16]uint64) float64 {
	ones := 0
	for _, word := range set {
		ones += bits.OnesCount64(word)
	}
	size := float64(64 * len(set))
	return -size * math.Log(max(1, size-float64(ones))/size)
}

// Owner returns the member that hands out turns for an upstream: the one with the highest
// hash (rendezvous hashing, Thaler and Ravishankar, 1998).
func Owner(members []string, key Key) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key.Upstream) // Never fails.
		_, _ = d.WriteString("|")
		_, _ = d.WriteString(m)
		if h := d.Sum64(); best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best
}

// updateOwner finds the owner again if the members have changed.
func (r *record) updateOwner(now time.Time, f Fleet) {
	if r.owner != "" && r.version == f.Version {
		return
	}
	r.owner, r.version = Owner(f.Alive(), r.Key), f.Version
	switch {
	case r.owner != f.Self:
		r.ownedSince = time.Time{}
	case r.ownedSince.IsZero():
		r.ownedSince = now
	}
}

// OwnerOf returns the address of the entry that hands out turns for a process.
func (l *Ledger) OwnerOf(now time.Time, key Key, f Fleet) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[key]
	if !ok {
		return ""
	}
	r.updateOwner(now, f)
	return r.owner
}

// Grant answers a request for turns.
func (l *Ledger) Grant(now time.Time, a Ask, f Fleet) Answer {
	l.Merge(now, a.Limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[a.Limit.Key]
	if !ok {
		return Answer{Limit: a.Limit, Number: a.Number, Retry: otherRetry}
	}
	answer := Answer{Limit: r.Limit, Number: a.Number}
	if r.Rate == 0 {
		return answer
	}
	r.updateOwner(now, f)
	if r.ownedSince.IsZero() {
		answer.Retry = otherRetry
		return answer
	}
	askers := r.askers.add(now, a.From)
	settled := settleTime + time.Duration(f.Known)*settlePerMember
	begin := r.ownedSince
	if f.StartedAt.After(begin) {
		begin = f.StartedAt
	}
	if wait := begin.Add(settled).Sub(now); wait > 0 {
		answer.Retry = max(minRetry, min(wait, otherRetry))
		return answer
	}
	r.setRate(now, grantedFraction*r.Rate*min(1, float64(f.Count)/float64(max(1, f.Known))))
	for range min(a.Count, turnsAtOnce(r.Rate)) {
		reserved := r.limiter.ReserveN(now, 1)
		delay := reserved.DelayFrom(now)
		if ahead := min(a.Within, horizon); delay > ahead {
			reserved.CancelAt(now)
			if answer.Count == 0 {
				answer.Retry = max(minRetry, delay-ahead) + time.Duration(askers*float64(askerTime))
			}
			return answer
		}
		if answer.Count == 0 {
			answer.First = delay
		}
		answer.Count, answer.Last = answer.Count+1, delay
		r.granted++
	}
	return answer
}

// setRate sets the rate at which turns are handed out. A new limiter has none saved.
func (r *record) setRate(now time.Time, perSecond float64) {
	burst := max(1, int(perSecond*burstTime.Seconds()))
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiter.AllowN(now, burst)
		return
	}
	if r.limiter.Limit() != rate.Limit(perSecond) {
		r.limiter.SetLimitAt(now, rate.Limit(perSecond))
		r.limiter.SetBurstAt(now, burst)
	}
}
