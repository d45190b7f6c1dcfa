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

// Mark records that a request was running when an upstream crashed.
type Mark struct {
	// Print is the fingerprint of the request's content.
	Print    uint64
	Upstream string
	Expires  time.Time
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

// Marks is a set of marks. Sets of several processes merge by union, in any
// order and any number of times.
type Marks struct {
	mu      sync.Mutex
	expires map[markKey]time.Time
}

// NewMarks returns an empty set.
func NewMarks() *Marks {
	return &Marks{expires: map[markKey]time.Time{}}
}

// Add marks a request that was running when an upstream crashed.
func (m *Marks) Add(now time.Time, print uint64, upstream string) {
	m.Merge(now, []Mark{{Print: print, Upstream: upstream, Expires: now.Add(markLife)}})
}

// Merge adds the marks of another process.
func (m *Marks) Merge(now time.Time, marks []Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mark := range marks {
		key := markKey{print: mark.Print, upstream: mark.Upstream}
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
func (m *Marks) trim(now time.Time) {
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
		delete(m.expires, markKey{print: mark.Print, upstream: mark.Upstream})
	}
}

// List returns the marks that have not expired, oldest first.
func (m *Marks) List(now time.Time) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trim(now)
	return m.list()
}

func (m *Marks) list() []Mark {
	out := make([]Mark, 0, len(m.expires))
	for key, expires := range m.expires {
		out = append(out, Mark{Print: key.print, Upstream: key.upstream, Expires: expires})
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(a.Expires.Compare(b.Expires), cmp.Compare(a.Print, b.Print), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

// Judge returns what the marks of a request allow, and the upstreams that
// crashed under it.
func (m *Marks) Judge(now time.Time, print uint64) (Verdict, []string) {
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
