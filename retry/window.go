package retry

import (
	"sync"
	"time"
)

// windowCells is the number of cells that a window is divided into.
const windowCells = 20

// safety is the part of the allowed repeats that is used, because entries count
// apart and their clocks are not the judge's.
const safety = 0.8

// WindowBudget bounds repeats over a sliding window, for each service: a ratio of the
// requests, and this entry's part of a slack that all entries share.
type WindowBudget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	cell     time.Duration
	services map[string]*cells
}

type cells struct {
	requests [windowCells]int
	repeats  [windowCells]int
	// at is the number of the newest cell since the zero time.
	at int64
}

// NewWindowBudget returns the budget of one entry.
func NewWindowBudget(ratio, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, cell: window / (windowCells - 1), services: map[string]*cells{}}
}

// Set changes the ratio and the slack.
func (w *WindowBudget) Set(ratio, slack float64) {
	w.mu.Lock()
	w.ratio, w.slack = ratio, slack
	w.mu.Unlock()
}

func (w *WindowBudget) cells(now time.Time, service string) *cells {
	c, ok := w.services[service]
	if !ok {
		c = &cells{}
		w.services[service] = c
	}
	at := now.UnixNano() / int64(max(1, w.cell))
	for steps := min(at-c.at, windowCells); steps > 0; steps-- {
		i := (at - steps + 1) % windowCells
		c.requests[i], c.repeats[i] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

// RecordRequest records a caller's request for a service.
func (w *WindowBudget) RecordRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.cells(now, service)
	c.requests[c.at%windowCells]++
}

// TryWithdraw spends one repeat and reports whether the budget had it. entries is the
// number of entries that share the slack.
func (w *WindowBudget) TryWithdraw(now time.Time, service string, entries int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.cells(now, service)
	if float64(c.sum(&c.repeats))+1 > w.allowed(c, entries) {
		return false
	}
	c.repeats[c.at%windowCells]++
	return true
}

func (w *WindowBudget) allowed(c *cells, entries int) float64 {
	return safety * (w.ratio*float64(c.sum(&c.requests)) + w.slack/float64(max(1, entries)))
}

// Balance returns how many repeats the budget has.
func (w *WindowBudget) Balance(now time.Time, service string, entries int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.cells(now, service)
	return w.allowed(c, entries) - float64(c.sum(&c.repeats))
}

func (c *cells) sum(of *[windowCells]int) int {
	n := 0
	for _, v := range of {
		n += v
	}
	return n
}
