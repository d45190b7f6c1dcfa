package retry

import (
	"slices"
	"sync"
	"time"
)

// running holds when the requests were sent that upstreams run now, by subject.
type running struct {
	mu    sync.Mutex
	began map[string][]time.Time
}

// Begin records that an upstream begins to run a request with a subject. End must be called with
// the same time once it does not run it any more.
func (e *Evidence) Begin(now time.Time, subject string) {
	r := &e.running
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began[subject] = append(r.began[subject], now)
}

// End records that an upstream does not run a request any more.
func (e *Evidence) End(began time.Time, subject string) {
	r := &e.running
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.began[subject]
	if i := slices.Index(list, began); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(r.began, subject)
	} else {
		r.began[subject] = list
	}
}

// outlives reports whether an upstream has been running a request with a subject for longer than
// ran.
func (r *running) outlives(now time.Time, subject string, ran time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.began[subject], func(began time.Time) bool { return now.Sub(began) > ran })
}
