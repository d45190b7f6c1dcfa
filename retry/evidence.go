package retry

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evidenceThreshold is the number of crashes without which no request with a subject is
	// refused.
	evidenceThreshold = 3
	// crashSpacing is the shortest time between two crashes that count as two for a prompt
	// part, and less counts as a fraction: upstreams that fail together say little about the
	// requests that ran there.
	crashSpacing = 250 * time.Millisecond
	// overlapSlack is how long before a crash a request may have been sent not to count as one that
	// ran beside it. It covers the time for which entries hear of each other.
	overlapSlack = 250 * time.Millisecond
	// successWindow is how long before a crash a complete response shows that the subject
	// did not cause the crash.
	successWindow = 5 * time.Second
	// partQuarantine is how long after the last crash requests with a part are refused.
	// Then they are tried again, and one more crash suffices.
	partQuarantine = 2 * time.Minute
	// maxCrashes bounds the crashes that are stored, maxSuccesses the subjects whose last
	// success is.
	maxCrashes = 1024
	// maxRetold bounds the earlier crashes that are told again with a new one.
	maxRetold    = 16
	maxSuccesses = 8192
	// maxEnded bounds the processes whose end is stored.
	maxEnded = 1024
)

// Crash states that an upstream crashed while it ran requests with a subject.
type Crash struct {
	// Subject is the request's fingerprint or the part.
	Subject string
	// Upstream identifies the process that crashed: the upstream and its start.
	Upstream string
	// Began is when the request was sent there; zero means At.
	Began time.Time
	At    time.Time
	// Requests are the requests with the subject that the crash ended.
	Requests RequestSet
	// Late is set if all of their responses had begun long before.
	Late bool
	// Known is set by AddCrashes if another process has told of the same crash before.
	Known bool
}

// RequestSet is a set of requests that merges in any order and any number of times: the bit of
// each is chosen by a hash of its id. Sets that differ may be taken for the same, and the size
// is an estimate that is low for more than some 30.
type RequestSet uint64

// Add adds a request by the hash of its id.
func (s *RequestSet) Add(hash uint64) { *s |= 1 << (hash % 64) }

// size returns the number of requests, at least 1: a process of an earlier version sends no set.
func (s RequestSet) size() int { return max(1, bits.OnesCount64(uint64(s))) }

// CrashesOfParts returns the crashes of the prompt parts of requests that a crash of an
// upstream's process ended, of at most maxCrashes parts: first those of requests whose response
// had not long begun.
func CrashesOfParts(process string, aborted []Abort) []Crash {
	total := 0
	for _, x := range aborted {
		total += len(x.Parts)
	}
	if total > maxCrashes {
		aborted = slices.Clone(aborted)
		rand.Shuffle(len(aborted), func(i, j int) { aborted[i], aborted[j] = aborted[j], aborted[i] })
		slices.SortStableFunc(aborted, func(a, b Abort) int { return compareLate(a.isLate(), b.isLate()) })
	}
	var list []Crash
	index := map[string]int{}
	for _, x := range aborted {
		for _, part := range x.Parts {
			i, ok := index[part]
			if !ok {
				if len(list) == maxCrashes {
					continue
				}
				i = len(list)
				index[part] = i
				list = append(list, Crash{Subject: part, Upstream: process, Began: x.Began, At: x.At, Late: true})
			}
			list[i].Late = list[i].Late && x.isLate()
			list[i].Requests.Add(x.Request)
		}
	}
	return list
}

// compareLate orders what is late behind what is not.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Success states that a request with the subject got its whole response.
type Success struct {
	Subject string
	At      time.Time
}

// crashRecord is when a request was sent to an upstream, when that crashed, and the requests
// with the subject that the crash ended.
type crashRecord struct {
	began, at time.Time
	requests  RequestSet
	late      bool
}

// ran returns for how long the request ran, the oldest one if there were several.
func (r crashRecord) ran() time.Duration { return r.at.Sub(r.began) }

// crash returns the record as a crash of a process.
func (r crashRecord) crash(subject, process string) Crash {
	return Crash{Subject: subject, Upstream: process, Began: r.began, At: r.at, Requests: r.requests, Late: r.late}
}

// quarantine is a group of subjects that the crashes do not tell apart: requests that hold
// all of them are refused.
type quarantine struct {
	subjects []string
	// last is the time of the last crash.
	last time.Time
	// overlapping is set if they are served while one of them has run for longer than ran.
	overlapping bool
	ran         time.Duration
}

// Evidence finds what crashes upstreams: whole requests, or parts of prompts whatever else
// the request holds. Each process of an upstream counts once. A whole response refutes the
// crashes before it and those shortly after it. Of the subjects that ran at the same crashes
// the one that explains them best is refused; findSuspects says which that is. The evidence of
// several processes merges in any order and any number of times. It is safe for concurrent use.
type Evidence struct {
	// period is how long after the last crash requests are refused. parts is set if the
	// subjects are parts of prompts: a request holds several of them.
	period time.Duration
	parts  bool
	// running holds the requests that run now; it is not used for parts.
	running running

	// quarantined holds the group of each subject whose requests are refused. It is replaced
	// and not changed, so that requests do not wait for mu.
	quarantined atomic.Pointer[map[string]*quarantine]

	mu sync.Mutex
	// crashes holds the record of each crash by subject and process.
	crashes   map[string]map[string]crashRecord
	successes map[string]time.Time
	count     int
	// ended holds when each process crashed, whatever it ran; it is not used for parts.
	ended map[string]time.Time
}

// NewPartEvidence returns an empty set about parts of prompts.
func NewPartEvidence() *Evidence { return newEvidence(partQuarantine, true) }

// NewRequestEvidence returns an empty set about whole requests. The retries of an attempt
// crash upstreams within milliseconds, so that time alone does not tell two crashes from
// upstreams that fail together.
func NewRequestEvidence() *Evidence { return newEvidence(crashRecordTTL, false) }

func newEvidence(period time.Duration, parts bool) *Evidence {
	e := &Evidence{
		period: period, parts: parts, running: running{began: map[string][]time.Time{}},
		crashes: map[string]map[string]crashRecord{}, successes: map[string]time.Time{}, ended: map[string]time.Time{},
	}
	e.quarantined.Store(&map[string]*quarantine{})
	return e
}

// AddCrashes adds crashes and returns those that were new or ended requests that were not
// known, what peers need most first, and the successes that refute others. Both are for the
// peers.
func (e *Evidence) AddCrashes(now time.Time, list []Crash) (added []Crash, refuting []Success) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var fresh []Crash
	for _, c := range list {
		if now.Sub(c.At) >= crashRecordTTL {
			continue
		}
		e.recordEnd(c)
		if at, ok := e.successes[c.Subject]; ok && c.At.Sub(at) < successWindow {
			refuting = append(refuting, Success{Subject: c.Subject, At: at})
			continue
		}
		if len(e.crashes[c.Subject]) == 0 {
			fresh = append(fresh, c)
		} else if e.merge(&c) {
			added = append(added, c)
		}
	}
	for _, c := range limitCrashes(fresh) {
		if e.merge(&c) {
			added = append(added, c)
		}
	}
	e.trim(now)
	e.evaluate()
	slices.SortStableFunc(added, func(a, b Crash) int {
		return cmp.Or(
			cmp.Compare(len(e.crashes[b.Subject]), len(e.crashes[a.Subject])), compareLate(a.Late, b.Late),
			cmp.Compare(a.Requests.size(), b.Requests.size()),
		)
	})
	return added, refuting
}

// EarlierCrashes returns the other crashes of those subjects of new ones that are refused: peers
// may have missed them.
func (e *Evidence) EarlierCrashes(added []Crash) []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Crash
	quarantined := *e.quarantined.Load()
	for _, c := range added {
		if quarantined[c.Subject] == nil || c.Known {
			continue
		}
		for process, r := range e.crashes[c.Subject] {
			if process != c.Upstream && len(list) < maxRetold {
				list = append(list, r.crash(c.Subject, process))
			}
		}
	}
	return list
}

// merge adds a crash and reports whether it changed anything.
func (e *Evidence) merge(c *Crash) bool {
	if e.crashes[c.Subject] == nil {
		e.crashes[c.Subject] = map[string]crashRecord{}
	}
	if c.Began.IsZero() {
		c.Began = c.At
	}
	record, known := e.crashes[c.Subject][c.Upstream]
	if !known {
		record = crashRecord{began: c.Began, at: c.At, late: c.Late}
		e.count++
	}
	before := record
	record.requests |= c.Requests
	record.late = record.late && c.Late
	if !e.parts && c.At.Before(record.at) {
		record.at = c.At // Others noticed it later.
	}
	if !e.parts && c.Began.Before(record.began) {
		record.began = c.Began
	}
	e.crashes[c.Subject][c.Upstream] = record
	c.Known = known
	return !known || record != before
}

// recordEnd records when a process crashed; the first that tells of it is the closest.
func (e *Evidence) recordEnd(c Crash) {
	if e.parts {
		return
	}
	if at, ok := e.ended[c.Upstream]; !ok || c.At.Before(at) {
		e.ended[c.Upstream] = c.At
	}
}

// limitCrashes returns at most maxCrashes of the crashes of subjects that had none, chosen by
// chance, the late ones last.
func limitCrashes(list []Crash) []Crash {
	if len(list) <= maxCrashes {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Crash) int { return compareLate(a.Late, b.Late) })
	return list[:maxCrashes]
}

// Count returns the number of crashes of a subject and of the requests that they ended.
func (e *Evidence) Count(subject string) (crashes, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.crashes[subject] {
		requests += r.requests.size()
	}
	return len(e.crashes[subject]), requests
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

// FindQuarantined reports whether a request that holds the subjects is refused, and returns
// those of them for which it is.
func (e *Evidence) FindQuarantined(now time.Time, subjects ...string) ([]string, bool) {
	quarantined := *e.quarantined.Load()
	if len(quarantined) == 0 {
		return nil, false
	}
	for _, subject := range subjects {
		q := quarantined[subject]
		if q == nil || now.Sub(q.last) >= e.period || q.subjects[0] != subject {
			continue
		}
		if q.overlapping && e.running.outlives(now, subject, q.ran+alikeSlack) {
			continue
		}
		if len(q.subjects) == 1 || containsAll(subjects, q.subjects) {
			return q.subjects, true
		}
	}
	return nil, false
}

// Quarantine returns the group of a subject whose requests are refused.
func (e *Evidence) Quarantine(now time.Time, subject string) ([]string, bool) {
	if q := (*e.quarantined.Load())[subject]; q != nil && now.Sub(q.last) < e.period {
		return q.subjects, true
	}
	return nil, false
}

// containsAll reports whether a list contains all elements of another one.
func containsAll(list, wanted []string) bool {
	held := make(map[string]bool, len(list))
	for _, s := range list {
		held[s] = true
	}
	return !slices.ContainsFunc(wanted, func(s string) bool { return !held[s] })
}

// Crashes returns all crashes, for a peer that has just started.
func (e *Evidence) Crashes(now time.Time) []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trim(now)
	var list []Crash
	for subject, crashes := range e.crashes {
		for upstream, t := range crashes {
			list = append(list, t.crash(subject, upstream))
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

// evaluate decides anew which subjects are quarantined.
func (e *Evidence) evaluate() {
	quarantined := map[string]*quarantine{}
	for _, group := range findSuspects(e.crashes, e.ended, e.parts) {
		q := &quarantine{subjects: group.subjects, last: e.lastCrash(group.subjects[0]), overlapping: group.overlapping, ran: group.ran}
		for _, subject := range group.subjects {
			quarantined[subject] = q
		}
	}
	e.quarantined.Store(&quarantined)
}

// trim removes the crashes that are too old, and subjects above the bound: those with the
// fewest crashes first, the oldest of them before the others.
func (e *Evidence) trim(now time.Time) {
	e.trimEnded(now)
	e.count = 0
	for subject, crashes := range e.crashes {
		maps.DeleteFunc(crashes, func(_ string, t crashRecord) bool { return now.Sub(t.at) >= crashRecordTTL })
		if len(crashes) == 0 {
			delete(e.crashes, subject)
		}
		e.count += len(crashes)
	}
	if e.count <= maxCrashes {
		return
	}
	for _, subject := range e.sortByEvidence() {
		e.count -= len(e.crashes[subject])
		delete(e.crashes, subject)
		if e.count <= maxCrashes {
			return
		}
	}
}

// trimEnded removes the ends of processes that are too old, and the oldest half above the bound.
func (e *Evidence) trimEnded(now time.Time) {
	maps.DeleteFunc(e.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= crashRecordTTL })
	if len(e.ended) <= maxEnded {
		return
	}
	times := slices.SortedFunc(maps.Values(e.ended), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(e.ended, func(_ string, at time.Time) bool { return at.Before(middle) })
}

func (e *Evidence) trimSuccesses(now time.Time) {
	if len(e.successes) > maxSuccesses {
		maps.DeleteFunc(e.successes, func(_ string, at time.Time) bool { return now.Sub(at) >= successWindow })
	}
	if len(e.successes) > maxSuccesses {
		clear(e.successes) // They come again within successWindow if they matter.
	}
}

// sortByEvidence returns the subjects in the order of their crashes, fewest first, and of those
// with as many the ones first whose last crash is the longest ago.
func (e *Evidence) sortByEvidence() []string {
	last := make(map[string]time.Time, len(e.crashes))
	for subject := range e.crashes {
		last[subject] = e.lastCrash(subject)
	}
	return slices.SortedFunc(maps.Keys(e.crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(e.crashes[a]), len(e.crashes[b])), last[a].Compare(last[b]), cmp.Compare(a, b))
	})
}
