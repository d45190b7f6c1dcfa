package retry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// crashRecordTTL is the lifetime of a crash record.
	crashRecordTTL = 10 * time.Minute
	// maxCrashRecords bounds the records of one process; the oldest are evicted
	// first.
	maxCrashRecords = 1024
	// quarantineThreshold is the number of crashed upstreams at which a request
	// is refused.
	quarantineThreshold = 2
)

// CrashRecord states that a request was running when an upstream crashed.
type CrashRecord struct {
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	Upstream    string
	Expires     time.Time
}

// Verdict is how a request may run, given its crash records.
type Verdict int

// Verdicts, as returned by CrashRecords.Evaluate.
const (
	Clean Verdict = iota
	// Suspect requests run only while no other suspect request runs.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

type crashKey struct {
	fingerprint uint64
	upstream    string
}

// CrashRecords is a set of crash records. The sets of several processes merge by
// union, in any order and any number of times. It is safe for concurrent use.
type CrashRecords struct {
	mu      sync.Mutex
	expires map[crashKey]time.Time
}

// NewCrashRecords returns an empty set.
func NewCrashRecords() *CrashRecords {
	return &CrashRecords{expires: map[crashKey]time.Time{}}
}

// Add records that a request was running when an upstream crashed.
func (c *CrashRecords) Add(now time.Time, fingerprint uint64, upstream string) {
	c.Merge(now, []CrashRecord{{Fingerprint: fingerprint, Upstream: upstream, Expires: now.Add(crashRecordTTL)}})
}

// Merge adds the records of another process and returns those that are new. Expired records
// and records that are known already are ignored.
func (c *CrashRecords) Merge(now time.Time, records []CrashRecord) []CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []CrashRecord
	for _, record := range records {
		key := crashKey{fingerprint: record.Fingerprint, upstream: record.Upstream}
		ttl := min(record.Expires.Sub(now), crashRecordTTL)
		if ttl <= 0 {
			continue
		}
		// A known record keeps its expiry: transmission delays between
		// processes would otherwise extend it without limit.
		if _, ok := c.expires[key]; !ok {
			c.expires[key] = now.Add(ttl)
			added = append(added, record)
		}
	}
	c.trim(now)
	return added
}

// trim removes expired records, and the oldest ones above maxCrashRecords.
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

// List returns the records that have not expired, oldest first.
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

// Evaluate returns the verdict on a request, and the sorted names of the
// upstreams that crashed while it was running.
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
