package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of cells that a window is divided into.
const windowBuckets = 20

// safetyFactor is the part of the allowed repeats that is used, because entries count
// apart and their clocks are not the judge's.
const safetyFactor = 0.8

// WindowBudget bounds repeats over a sliding window, for each service: a ratio of the
// requests, and this entry's part of a slack that all entries share.
type WindowBudget struct {
	mu           sync.Mutex
	ratio        float64
	slack        float64
	bucketLength time.Duration
	services     map[string]*serviceCounts
}

type serviceCounts struct {
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// newest is the number of the newest cell since the zero time.
	newest int64
}

// NewWindowBudget returns the budget of one entry.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketLength: window / (windowBuckets - 1), services: map[string]*serviceCounts{}}
}

// Set changes the ratio and the slack.
func (w *WindowBudget) Set(ratio, slack float64) {
	w.mu.Lock()
	w.ratio, w.slack = ratio, slack
	w.mu.Unlock()
}

func (w *WindowBudget) countsAt(now time.Time, service string) *serviceCounts {
	c, ok := w.services[service]
	if !ok {
		c = &serviceCounts{}
		w.services[service] = c
	}
	bucket := now.UnixNano() / int64(max(1, w.bucketLength))
	for steps := min(bucket-c.newest, windowBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % windowBuckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.newest = max(c.newest, bucket)
	return c
}

// RecordRequest records a caller's request for a service.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.newest%windowBuckets]++
}

// TryWithdraw spends one repeat and reports whether the budget had it. entries is the
// number of entries that share the slack.
func (w *WindowBudget) TryWithdraw(now time.Time, service string, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	if float64(c.sum(&c.retries))+1 > w.allowed(c, entries) {
		return false
	}
	c.retries[c.newest%windowBuckets]++
	return true
}

func (w *WindowBudget) allowed(c *serviceCounts, entries int) float64 {
	return safetyFactor * (w.ratio*float64(c.sum(&c.requests)) + w.slack/float64(max(1, entries)))
}

// Balance returns how many repeats the budget has.
func (w *WindowBudget) Balance(now time.Time, service string, entries int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	return w.allowed(c, entries) - float64(c.sum(&c.retries))
}

func (c *serviceCounts) sum(counts *[windowBuckets]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}
