package place

import "time"

const (
	// shedThreshold is the fraction of a request's timeout after which the first event
	// comes too late. Beyond capacity, at most half of such streams finish in time, and
	// their prefills delay those of others (docs/MEASUREMENTS.md: 0.25 and 0.5 each serve
	// fewer requests on some kind of load).
	shedThreshold = 0.35
	// lowerTierWindow is how long a request of a lower tier protects those of higher
	// tiers from being shed. It equals the interval over which the platform compares
	// them.
	lowerTierWindow = 5 * time.Second
	// maxRetryAfterFraction bounds the delay before a retry, as a fraction of the timeout: a
	// later retry couldn't be served in the time left.
	maxRetryAfterFraction = 0.25
)

// recordSent records when a request of a route tier was last sent to a service.
func (b *Balancer) recordSent(now time.Time, serviceName string, routeTier int) {
	byTier, ok := b.lastSent[serviceName]
	if !ok {
		byTier = map[int]time.Time{}
		b.lastSent[serviceName] = byTier
	}
	byTier[routeTier] = now
}

// ShouldShed reports whether a request should be refused instead of sent: its first
// event would come too late for the stream to finish in time, or its last one is forecast
// after its timeout, and no request of a lower route tier was sent recently, by this or
// another entry.
func (b *Balancer) ShouldShed(now time.Time, serviceName string, req *Request, f Forecast) bool {
	elapsed := now.Sub(req.ArrivedAt)
	late := (elapsed + f.TimeToFirst).Seconds() >= shedThreshold*req.Timeout.Seconds()
	unfinished := f.TimeToLast > 0 && elapsed+f.TimeToLast >= req.Timeout
	if !req.Engine || req.Timeout <= 0 || !late && !unfinished {
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

// RetryAfter returns how long the caller of a refused request should wait before it
// retries.
func (req *Request) RetryAfter(f Forecast) time.Duration {
	return min(f.Backlog, time.Duration(maxRetryAfterFraction*float64(req.Timeout)))
}
