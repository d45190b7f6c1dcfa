// Package burn computes how fast each class consumes the error budget of its
// objective. The burn rate is the fraction of requests that missed their target,
// divided by the fraction that may miss it (Beyer et al., "The Site Reliability
// Workbook", chapter 5).
package burn

import (
	"sync"
	"time"
)

const (
	// bucketLength is the resolution of the windows.
	bucketLength = 10 * time.Second
	// ShortWindow detects a sudden burn.
	ShortWindow = 5 * time.Minute
	// LongWindow detects a sustained burn. It is also the period of the budget.
	LongWindow = time.Hour

	bucketCount = int(LongWindow / bucketLength)
)

// Window counts the requests of a class that ended within a time window.
type Window struct {
	Total int64
	Good  int64
}

// Rate returns the burn rate for an objective such as 0.95; 0 without traffic.
func (w Window) Rate(objective float64) float64 {
	if w.Total == 0 || objective >= 1 {
		return 0
	}
	missed := float64(w.Total-w.Good) / float64(w.Total)
	return missed / (1 - objective)
}

// RemainingBudget returns the remaining fraction of the error budget for an
// objective; it is negative when the budget is exceeded.
func (w Window) RemainingBudget(objective float64) float64 {
	return 1 - w.Rate(objective)
}

// Report holds the short and the long window of one class.
type Report struct {
	Class string
	Short Window
	Long  Window
}

type bucket struct {
	index  int64
	window Window
}

// Meter counts ended requests by class and time. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	classes map[string]*[bucketCount]bucket
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{classes: map[string]*[bucketCount]bucket{}}
}

// Add counts one request that ended at now. good means that it met its target.
func (m *Meter) Add(now time.Time, class string, good bool) {
	index := now.UnixNano() / int64(bucketLength)
	m.mu.Lock()
	defer m.mu.Unlock()
	ring, ok := m.classes[class]
	if !ok {
		ring = &[bucketCount]bucket{}
		m.classes[class] = ring
	}
	b := &ring[index%int64(bucketCount)]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.window.Total++
	if good {
		b.window.Good++
	}
}

// Reports returns the windows that end at now, by class. A class is absent
// until its first request has ended.
func (m *Meter) Reports(now time.Time) map[string]Report {
	index := now.UnixNano() / int64(bucketLength)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Report{}
	for class, ring := range m.classes {
		r := Report{Class: class}
		for i := range ring {
			age := index - ring[i].index
			if age < int64(LongWindow/bucketLength) {
				r.Long.add(ring[i].window)
			}
			if age < int64(ShortWindow/bucketLength) {
				r.Short.add(ring[i].window)
			}
		}
		out[class] = r
	}
	return out
}

func (w *Window) add(other Window) {
	w.Total += other.Total
	w.Good += other.Good
}

// Sum adds up the reports of several entries by class.
func Sum(reports ...map[string]Report) map[string]Report {
	out := map[string]Report{}
	for _, r := range reports {
		for class, x := range r {
			total := out[class]
			total.Class = class
			total.Short.add(x.Short)
			total.Long.add(x.Long)
			out[class] = total
		}
	}
	return out
}
