package place

import "time"

const (
	// shedThreshold is the part of a caller's time after which a first event comes too
	// late: with more work than the engines can do, half of such streams and fewer
	// are whole in time, and their prompts delay those of others
	// (docs/MEASUREMENTS.md: 0.25 and 0.5 served fewer on one kind of day or other).
	shedThreshold = 0.35
	// lowerTierWindow is how long a less urgent request sent keeps more urgent ones from
	// being refused. It is as long as the span over which the platform compares them.
	lowerTierWindow = 5 * time.Second
	// maxRetryAfterShare is the part of its time after which a refused caller may come back at
	// the latest: later it could not be served in what is left.
	maxRetryAfterShare = 0.25
)

// recordSent remembers when requests of each level were last sent to a service.
func (b *Balancer) recordSent(now time.Time, serviceName string, routeTier int) {
	byTier, ok := b.lastSent[serviceName]
	if !ok {
		byTier = map[int]time.Time{}
		b.lastSent[serviceName] = byTier
	}
	byTier[routeTier] = now
}

// ShouldShed reports whether a request is better refused than sent: its first
// event would come too late for the rest to follow in time, and no less urgent
// kind of request was sent lately, here or by another entry.
func (b *Balancer) ShouldShed(now time.Time, serviceName string, req *Request, f Forecast) bool {
	expected := now.Sub(req.ArrivedAt) + f.TimeToFirst
	if !req.Engine || req.Timeout <= 0 || expected.Seconds() < shedThreshold*req.Timeout.Seconds() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for routeTier, at := range b.lastSent[serviceName] {
		if routeTier > req.RouteTier && now.Sub(at) < lowerTierWindow {
			return false
		}
	}
	return true
}

// RetryAfter is when there will be room for a request that was refused.
func (req *Request) RetryAfter(f Forecast) time.Duration {
	return min(f.Backlog, time.Duration(maxRetryAfterShare*float64(req.Timeout)))
}
