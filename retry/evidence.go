package retry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// evidenceThreshold is the number of crashes at which requests with a subject are
	// refused.
	evidenceThreshold = 3
	// crashSpacing is the shortest time between two crashes that count as two for a prompt
	// part: upstreams that fail together say little about the requests that ran there.
	crashSpacing = 250 * time.Millisecond
	// overlapSlack is how long before the last crash a request may have been sent to count as
	// another one: copies of a request that run for longer when upstreams fail together are
	// one crash. It covers the time for which entries hear of each other.
	overlapSlack = 250 * time.Millisecond
	// successWindow is how long before a crash a complete response shows that the subject
	// did not cause the crash.
	successWindow = 5 * time.Second
	// partQuarantine is how long after the last crash requests with a part are refused.
	// Then they are tried again, and one more crash suffices.
	partQuarantine = 2 * time.Minute
	// maxCrashes bounds the crashes that are stored, maxSuccesses the subjects whose last
	// success is.
	maxCrashes   = 1024
	maxSuccesses = 8192
)

// Crash states that an upstream crashed while it ran a request, or for a prompt part,
// before the response had begun.
type Crash struct {
	// Subject is the request's fingerprint or the part.
	Subject string
	// Upstream identifies the process that crashed: the upstream and its start.
	Upstream string
	// Began is when the request was sent there; zero means At.
	Began time.Time
	At    time.Time
}

// Success states that a request with the subject got its whole response.
type Success struct {
	Subject string
	At      time.Time
}

// crashTime is when a request was sent to an upstream and when that crashed.
type crashTime struct{ began, at time.Time }

// Evidence finds what crashes upstreams: whole requests, or parts of prompts whatever else
// the request holds. Each process of an upstream counts once. A whole response refutes the
// crashes before it and those shortly after it. The evidence of several processes merges in
// any order and any number of times. It is safe for concurrent use.
type Evidence struct {
	// spacing is the shortest time between two crashes that count as two; 0 means that the
	// request must have been sent after the earlier one. quarantine is how long after the
	// last crash requests are refused.
	spacing    time.Duration
	quarantine time.Duration

	mu sync.Mutex
	// crashes holds the time of each crash by subject and process, quarantined the subjects
	// whose requests are refused.
	crashes     map[string]map[string]crashTime
	quarantined map[string]bool
	successes   map[string]time.Time
	count       int
}

// NewPartEvidence returns an empty set about parts of prompts.
func NewPartEvidence() *Evidence { return newEvidence(crashSpacing, partQuarantine) }

// NewRequestEvidence returns an empty set about whole requests. The retries of an attempt
// crash upstreams within milliseconds, so that time alone does not tell two crashes from
// upstreams that fail together.
func NewRequestEvidence() *Evidence { return newEvidence(0, crashRecordTTL) }

func newEvidence(spacing, quarantine time.Duration) *Evidence {
	return &Evidence{
		spacing: spacing, quarantine: quarantine,
		crashes: map[string]map[string]crashTime{}, quarantined: map[string]bool{}, successes: map[string]time.Time{},
	}
}

// AddCrashes adds crashes and returns those that were new, most crashes of one subject
// first, and the successes that refute others. Both are for the peers.
func (e *Evidence) AddCrashes(now time.Time, list []Crash) (added []Crash, refuting []Success) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range list {
		if now.Sub(c.At) >= crashRecordTTL {
			continue
		}
		if at, ok := e.successes[c.Subject]; ok && c.At.Sub(at) < successWindow {
			refuting = append(refuting, Success{Subject: c.Subject, At: at})
			continue
		}
		if e.crashes[c.Subject] == nil {
			e.crashes[c.Subject] = map[string]crashTime{}
		}
		if _, ok := e.crashes[c.Subject][c.Upstream]; ok {
			continue
		}
		if c.Began.IsZero() {
			c.Began = c.At
		}
		e.crashes[c.Subject][c.Upstream] = crashTime{began: c.Began, at: c.At}
		e.count++
		added = append(added, c)
	}
	slices.SortStableFunc(added, func(a, b Crash) int { return cmp.Compare(len(e.crashes[b.Subject]), len(e.crashes[a.Subject])) })
	e.trim(now)
	e.evaluate()
	return added, refuting
}

// Count returns the number of crashes of a subject.
func (e *Evidence) Count(subject string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes[subject])
}

// AddSuccess records that a request with the subjects got its whole response, and returns
// the successes of those that were suspected until now. They are for the peers.
func (e *Evidence) AddSuccess(now time.Time, subjects []string) []Success {
	list := make([]Success, 0, len(subjects))
	for _, subject := range subjects {
		list = append(list, Success{Subject: subject, At: now})
	}
	return e.AddSuccesses(now, list)
}

// AddSuccesses merges successes and returns those of subjects that were suspected until now.
func (e *Evidence) AddSuccesses(now time.Time, list []Success) []Success {
	e.mu.Lock()
	defer e.mu.Unlock()
	var clearing []Success
	for _, s := range list {
		if s.At.After(e.successes[s.Subject]) {
			e.successes[s.Subject] = s.At
		}
		removed := 0
		for upstream, t := range e.crashes[s.Subject] {
			if t.at.Sub(s.At) < successWindow {
				delete(e.crashes[s.Subject], upstream)
				removed++
			}
		}
		if removed > 0 {
			e.count -= removed
			clearing = append(clearing, s)
		}
	}
	if len(clearing) > 0 {
		e.evaluate()
	}
	e.trimSuccesses(now)
	return clearing
}

// FindQuarantined returns the first of the subjects whose requests are refused.
func (e *Evidence) FindQuarantined(now time.Time, subjects ...string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, subject := range subjects {
		if e.quarantined[subject] && now.Sub(e.lastCrash(subject)) < e.quarantine {
			return subject, true
		}
	}
	return "", false
}

// Crashes returns all crashes, for a peer that has just started.
func (e *Evidence) Crashes(now time.Time) []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trim(now)
	var list []Crash
	for subject, crashes := range e.crashes {
		for upstream, t := range crashes {
			list = append(list, Crash{Subject: subject, Upstream: upstream, Began: t.began, At: t.at})
		}
	}
	return list
}

func (e *Evidence) lastCrash(subject string) time.Time {
	var last time.Time
	for _, t := range e.crashes[subject] {
		if t.at.After(last) {
			last = t.at
		}
	}
	return last
}

// evaluate decides anew which subjects are quarantined. The one with the most crashes comes
// first; a crash that it explains does not count for the others that were there by chance.
func (e *Evidence) evaluate() {
	clear(e.quarantined)
	explained := map[string]bool{}
	for {
		best := 0
		var worst []string
		for subject, crashes := range e.crashes {
			if e.quarantined[subject] {
				continue
			}
			n := e.countCrashes(crashes, explained)
			if n >= evidenceThreshold && n >= best {
				if n > best {
					worst = worst[:0]
				}
				best = n
				worst = append(worst, subject)
			}
		}
		if len(worst) == 0 {
			return
		}
		for _, subject := range worst {
			e.quarantined[subject] = true
			for upstream := range e.crashes[subject] {
				explained[upstream] = true
			}
		}
	}
}

// countCrashes counts the crashes that are not explained and tell more than the one before.
func (e *Evidence) countCrashes(crashes map[string]crashTime, explained map[string]bool) int {
	var times []crashTime
	for upstream, t := range crashes {
		if !explained[upstream] {
			times = append(times, t)
		}
	}
	slices.SortFunc(times, func(a, b crashTime) int { return a.at.Compare(b.at) })
	n := 0
	var last crashTime
	for _, t := range times {
		if n == 0 || e.isAnother(last, t) {
			n++
			last = t
		}
	}
	return n
}

// isAnother reports whether a crash counts beside the one before it.
func (e *Evidence) isAnother(last, next crashTime) bool {
	if e.spacing > 0 {
		return next.at.Sub(last.at) >= e.spacing
	}
	return !next.began.Before(last.at.Add(-overlapSlack))
}

// trim removes the crashes that are too old, and subjects above the bound: those with the
// fewest crashes first, the oldest of them before the others.
func (e *Evidence) trim(now time.Time) {
	e.count = 0
	for subject, crashes := range e.crashes {
		maps.DeleteFunc(crashes, func(_ string, t crashTime) bool { return now.Sub(t.at) >= crashRecordTTL })
		if len(crashes) == 0 {
			delete(e.crashes, subject)
		}
		e.count += len(crashes)
	}
	for e.count > maxCrashes {
		subject := e.leastSuspect()
		e.count -= len(e.crashes[subject])
		delete(e.crashes, subject)
		delete(e.quarantined, subject)
	}
}

func (e *Evidence) trimSuccesses(now time.Time) {
	if len(e.successes) > maxSuccesses {
		maps.DeleteFunc(e.successes, func(_ string, at time.Time) bool { return now.Sub(at) >= successWindow })
	}
	if len(e.successes) > maxSuccesses {
		clear(e.successes) // They come again within successWindow if they matter.
	}
}

// leastSuspect returns the subject with the fewest crashes, and of these the one whose last
// crash is the longest ago.
func (e *Evidence) leastSuspect() string {
	least, fewest := "", 0
	var oldest time.Time
	for subject, crashes := range e.crashes {
		at := e.lastCrash(subject)
		if least == "" || cmp.Or(cmp.Compare(len(crashes), fewest), at.Compare(oldest)) < 0 {
			least, fewest, oldest = subject, len(crashes), at
		}
	}
	return least
}
