package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// crashRecordTTL is how long a mark lasts.
	crashRecordTTL = 10 * time.Minute
	// maxCrashRecords bounds the marks of one process; the oldest leave first.
	maxCrashRecords = 1024
	// quarantineThreshold is the number of crashed upstreams at which a request
	// is refused.
	quarantineThreshold = 2
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

type crashKey struct {
	fingerprint uint64
	upstream    string
}

// CrashRecords is a set of marks. Sets of several processes merge by union, in any
// order and any number of times.
type CrashRecords struct {
	mu      sync.Mutex
	expires map[crashKey]time.Time
}

// NewCrashRecords returns an empty set.
func NewCrashRecords() *CrashRecords {
	return &CrashRecords{expires: map[crashKey]time.Time{}}
}

// Add marks a request that was running when an upstream crashed.
func (c *CrashRecords) Add(now time.Time, fingerprint uint64, upstream string) {
	c.Merge(now, []CrashRecord{{Fingerprint: fingerprint, Upstream: upstream, Expires: now.Add(crashRecordTTL)}})
}

// Merge adds the marks of another process.
func (c *CrashRecords) Merge(now time.Time, records []CrashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		key := crashKey{fingerprint: record.Fingerprint, upstream: record.Upstream}
		ttl := min(record.Expires.Sub(now), crashRecordTTL)
		if ttl <= 0 {
			continue
		}
		// The later expiry wins only when the mark is new: relays would
		// otherwise stretch it by their delays without end.
		if _, ok := c.expires[key]; !ok {
			c.expires[key] = now.Add(ttl)
		}
	}
	c.trim(now)
}

// trim drops expired marks, and the oldest ones above the bound.
func (c *CrashRecords) trim(now time.Time) {
	for key, expires := range c.expires {
		if !now.Before(expires) {
			delete(c.expires, key)
		}
	}
	if len(c.expires) <= maxCrashRecords {
		return
	}
	records := c.list()
	for _, record := range records[:len(records)-maxCrashRecords] {
		delete(c.expires, crashKey{fingerprint: record.Fingerprint, upstream: record.Upstream})
	}
}

// List returns the marks that have not expired, oldest first.
func (c *CrashRecords) List(now time.Time) []CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trim(now)
	return c.list()
}

func (c *CrashRecords) list() []CrashRecord {
	out := make([]CrashRecord, 0, len(c.expires))
	for key, expires := range c.expires {
		out = append(out, CrashRecord{Fingerprint: key.fingerprint, Upstream: key.upstream, Expires: expires})
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		return cmp.Or(a.Expires.Compare(b.Expires), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

// Evaluate returns what the marks of a request allow, and the upstreams that
// crashed under it.
func (c *CrashRecords) Evaluate(now time.Time, fingerprint uint64) (Verdict, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var upstreams []string
	for key, expires := range c.expires {
		if key.fingerprint == fingerprint && now.Before(expires) {
			upstreams = append(upstreams, key.upstream)
		}
	}
	slices.Sort(upstreams)
	switch {
	case len(upstreams) >= quarantineThreshold:
		return Quarantined, upstreams
	case len(upstreams) > 0:
		return Suspect, upstreams
	default:
		return Clean, nil
	}
}
