package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// markLife is how long a mark lasts.
	markLife = 10 * time.Minute
	// maxMarks bounds the marks of one process; the oldest leave first.
	maxMarks = 1024
	// quarantineCrashes is the number of crashed upstreams at which a request
	// is refused.
	quarantineCrashes = 2
)

// CrashRecord records that a request was running when an upstream crashed.
type CrashRecord struct {
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	Upstream    string
	Expires     time.Time
}

// Verdict says what a request's marks allow.
type Verdict int

// Verdicts.
const (
	Clean Verdict = iota
	// Suspect requests run only when no other suspect does.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

type markKey struct {
	print    uint64
	upstream string
}

// CrashRecords is a set of marks. Sets of several processes merge by union, in any
// order and any number of times.
type CrashRecords struct {
	mu      sync.Mutex
	expires map[markKey]time.Time
}

// NewCrashRecords returns an empty set.
func NewCrashRecords() *CrashRecords {
	return &CrashRecords{expires: map[markKey]time.Time{}}
}

// Add marks a request that was running when an upstream crashed.
func (m *CrashRecords) Add(now time.Time, print uint64, upstream string) {
	m.Merge(now, []CrashRecord{{Fingerprint: print, Upstream: upstream, Expires: now.Add(markLife)}})
}

// Merge adds the marks of another process.
func (m *CrashRecords) Merge(now time.Time, marks []CrashRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mark := range marks {
		key := markKey{print: mark.Fingerprint, upstream: mark.Upstream}
		life := min(mark.Expires.Sub(now), markLife)
		if life <= 0 {
			continue
		}
		// The later expiry wins only when the mark is new: relays would
		// otherwise stretch it by their delays without end.
		if _, ok := m.expires[key]; !ok {
			m.expires[key] = now.Add(life)
		}
	}
	m.trim(now)
}

// trim drops expired marks, and the oldest ones above the bound.
func (m *CrashRecords) trim(now time.Time) {
	for key, expires := range m.expires {
		if !now.Before(expires) {
			delete(m.expires, key)
		}
	}
	if len(m.expires) <= maxMarks {
		return
	}
	marks := m.list()
	for _, mark := range marks[:len(marks)-maxMarks] {
		delete(m.expires, markKey{print: mark.Fingerprint, upstream: mark.Upstream})
	}
}

// List returns the marks that have not expired, oldest first.
func (m *CrashRecords) List(now time.Time) []CrashRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trim(now)
	return m.list()
}

func (m *CrashRecords) list() []CrashRecord {
	out := make([]CrashRecord, 0, len(m.expires))
	for key, expires := range m.expires {
		out = append(out, CrashRecord{Fingerprint: key.print, Upstream: key.upstream, Expires: expires})
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		return cmp.Or(a.Expires.Compare(b.Expires), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

// Evaluate returns what the marks of a request allow, and the upstreams that
// crashed under it.
func (m *CrashRecords) Evaluate(now time.Time, print uint64) (Verdict, []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var upstreams []string
	for key, expires := range m.expires {
		if key.print == print && now.Before(expires) {
			upstreams = append(upstreams, key.upstream)
		}
	}
	slices.Sort(upstreams)
	switch {
	case len(upstreams) >= quarantineCrashes:
		return Quarantined, upstreams
	case len(upstreams) > 0:
		return Suspect, upstreams
	default:
		return Clean, nil
	}
}
