package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets in a sliding window.
const windowBuckets = 20

// safetyFactor is the fraction of the allowed retries that is used, because each
// entry counts on its own and the limit is checked by another clock.
const safetyFactor = 0.8

// WindowBudget limits the retries of each service within a sliding window: to a
// ratio of the requests, plus this entry's share of a slack that all entries
// have together.
type WindowBudget struct {
	mu           sync.Mutex
	ratio        float64
	slack        float64
	bucketLength time.Duration
	// start is the begin of the first bucket. The time of day may be set meanwhile, so that buckets
	// are counted from here.
	start    time.Time
	services map[string]*serviceCounts
}

type serviceCounts struct {
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// newest is the number of the newest bucket.
	newest int64
}

// NewWindowBudget returns the retry budget of one entry. slack is a number of
// retries.
func NewWindowBudget(now time.Time, ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, bucketLength: window / (windowBuckets - 1), start: now, services: map[string]*serviceCounts{}}
}

// Set changes the ratio and the slack at run time.
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
	bucket := int64(now.Sub(w.start) / max(1, w.bucketLength))
	for steps := min(bucket-c.newest, windowBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % windowBuckets
		c.requests[i], c.retries[i] = 0, 0
	}
	c.newest = max(c.newest, bucket)
	return c
}

// RecordRequest counts a caller's request to a service.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.newest%windowBuckets]++
}

// TryWithdraw takes one retry from the budget of a service and reports whether
// there was one. entries is the number of entries that share the slack.
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

// Balance returns the number of retries left in the budget of a service; it may
// be negative.
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
