package place

import "time"

const (
	// hopelessPart is the part of a caller's time after which a first event comes too
	// late: with more work than the engines can do, half of such streams and fewer
	// are whole in time, and their prompts delay those of others
	// (docs/MEASUREMENTS.md: 0.25 and 0.5 served fewer on one kind of day or other).
	hopelessPart = 0.35
	// lowerLife is how long a less urgent request sent keeps more urgent ones from
	// being refused. It is as long as the span over which the platform compares them.
	lowerLife = 5 * time.Second
	// roomPart is the part of its time after which a refused caller may come back at
	// the latest: later it could not be served in what is left.
	roomPart = 0.25
)

// noteSent remembers when requests of each level were last sent to a service.
func (m *Balancer) noteSent(now time.Time, serviceName string, level int) {
	levels, ok := m.sent[serviceName]
	if !ok {
		levels = map[int]time.Time{}
		m.sent[serviceName] = levels
	}
	levels[level] = now
}

// ShouldShed reports whether a request is better refused than sent: its first
// event would come too late for the rest to follow in time, and no less urgent
// kind of request was sent lately, here or by another entry.
func (m *Balancer) ShouldShed(now time.Time, serviceName string, w *Request, f Forecast) bool {
	expected := now.Sub(w.ArrivedAt) + f.TimeToFirst
	if !w.Engine || w.Timeout <= 0 || expected.Seconds() < hopelessPart*w.Timeout.Seconds() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for level, at := range m.sent[serviceName] {
		if level > w.RouteTier && now.Sub(at) < lowerLife {
			return false
		}
	}
	return true
}

// RetryAfter is when there will be room for a request that was refused.
func (w *Request) RetryAfter(f Forecast) time.Duration {
	return min(f.Backlog, time.Duration(roomPart*float64(w.Timeout)))
}
