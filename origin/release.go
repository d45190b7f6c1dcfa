package origin

import (
	"slices"
	"sync"
	"time"
)

// seenRetention is how long it is remembered that a release was in service.
const seenRetention = 10 * time.Minute

// Releases holds which releases of each service were in service lately, as seen by one entry.
type Releases struct {
	mu   sync.Mutex
	seen map[string]map[string]time.Time
	// since is since when the entry has seen all registrations without a gap; zero while it
	// does not. always is set if nothing was in service before that.
	since  time.Time
	always bool
	// startedAt is when the entry started, together with the whole system if first is set, which
	// had not started before. first ends with the first gap.
	startedAt time.Time
	first     bool
	// skippedAt is when the entry last went on from what others had seen for it, listedAt when it
	// last listed all registrations as the changes before were lost, and returnedAt when the
	// platform's store last came back from an older copy.
	skippedAt, listedAt, returnedAt time.Time
	// setAt is when the time of day was last found to be set, and offset by how much it has gone beyond
	// the elapsed time since the start until then.
	setAt  time.Time
	offset time.Duration
}

// startTime is the time in which the entries of a system start, and know the registrations.
const startTime = 2 * time.Second

// NewReleases returns an empty Releases of an entry that starts at a time. first is set if the
// whole system starts for the first time.
func NewReleases(startedAt time.Time, first bool) *Releases {
	return &Releases{seen: map[string]map[string]time.Time{}, startedAt: startedAt, first: first}
}

// Observe records that a release is in service.
func (r *Releases) Observe(now time.Time, service, release string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[service] == nil {
		r.seen[service] = map[string]time.Time{}
	}
	r.seen[service][release] = now
}

// byStart returns the time of day of a moment as it would be if the clock had not been set since the start.
func (r *Releases) byStart(at time.Time) time.Time {
	return r.startedAt.Round(0).Add(at.Sub(r.startedAt))
}

// latestDay returns the time of day of a moment for a record, whose readers have other clocks: the later
// one by this clock as it was and as it is, if it was set.
func (r *Releases) latestDay(at time.Time) time.Time {
	day, byStart := at.Round(0), r.byStart(at)
	if byStart.Sub(day) > clockSkew {
		return byStart
	}
	return day
}

// checkClock records whether the clock was set since the last call.
func (r *Releases) checkClock(now time.Time) {
	if offset := now.Round(0).Sub(r.byStart(now)); (offset - r.offset).Abs() > clockSkew {
		r.setAt, r.offset = now, offset
	}
}

// SetComplete records whether the entry sees all registrations.
func (r *Releases) SetComplete(now time.Time, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkClock(now)
	switch {
	case complete && r.since.IsZero():
		r.since, r.always = now, r.first && now.Sub(r.startedAt) <= startTime
		r.first = false
	case !complete && !r.since.IsZero():
		r.since, r.always = time.Time{}, false
	}
}

// RecordSkip records that the entry goes on from what others have seen for it.
func (r *Releases) RecordSkip(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skippedAt = now
}

// RecordListing records that the entry sees what is registered, but not what came and left before,
// and whether that is because the store came back from an older copy.
func (r *Releases) RecordListing(now time.Time, returned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = now
	if returned {
		r.returnedAt = now
	}
}

// Listed reports whether changes were lost within a window before now.
func (r *Releases) Listed(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.listedAt.IsZero() && now.Sub(r.listedAt) < window
}

// Returned reports whether the store came back from an older copy within a window before now. What
// it lost since then may have begun a stream.
func (r *Releases) Returned(now time.Time, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < window
}

// completeSince returns since when the entry has seen all registrations without a gap.
func (r *Releases) completeSince() time.Time {
	return later(r.since, later(r.skippedAt, r.listedAt))
}

// isAlways reports whether the entry has seen all registrations that there ever were.
func (r *Releases) isAlways() bool {
	return r.always && r.skippedAt.IsZero() && r.listedAt.IsZero()
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// CompleteFor returns for how long the entry has seen all registrations without a gap; zero if it
// does not see them.
func (r *Releases) CompleteFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.completeSince()))
}

// Begin returns a record without releases that is complete since the entry has seen all
// registrations, or false if it does not see them.
func (r *Releases) Begin() (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isAlways() {
		return Record{}, true
	}
	return Record{Since: later(r.latestDay(r.completeSince()), r.setAt.Round(0))}, !r.since.IsZero()
}

// Continue returns a record that this entry keeps, without the time in which it has lost changes. If its
// clock was set, the times that it wrote before may be wrong.
func (r *Releases) Continue(record Record) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listedAt.IsZero() {
		record.Since = later(record.Since, r.latestDay(r.listedAt).Truncate(recordUnit))
	}
	if !record.Since.IsZero() {
		record.Since = later(record.Since, r.setAt.Round(0).Truncate(recordUnit))
	}
	return record
}

// Covers reports whether a record has all releases that were in service within a window before now, by
// this clock as it was at the start and as it is.
func (r *Releases) Covers(now time.Time, record Record, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return record.Covers(now, window) && record.Covers(r.byStart(now), window)
}

// Within returns the releases of a service that were seen within a window before now, sorted, and
// whether these are all that were in service in that time.
func (r *Releases) Within(now time.Time, service string, window time.Duration) (list []string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for release, at := range r.seen[service] {
		if now.Sub(at) <= window {
			list = append(list, release)
		}
	}
	slices.Sort(list)
	return list, r.isAlways() || !r.since.IsZero() && now.Sub(r.completeSince()) >= window
}

// Expire forgets the releases that were not in service for long.
func (r *Releases) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, releases := range r.seen {
		for release, at := range releases {
			if now.Sub(at) > seenRetention {
				delete(releases, release)
			}
		}
		if len(releases) == 0 {
			delete(r.seen, service)
		}
	}
}

// clockSkew is the largest difference between the clocks of two hosts that is reckoned with.
const clockSkew = 10 * time.Second

// recordUnit is the unit of the times in a stored record.
const recordUnit = time.Millisecond

// Record is what outlasts the entries: the releases of one service that may have begun a stream
// which has not ended. It is stored on the platform when a release comes into service, and
// again some time after its last upstream has left.
type Record struct {
	// Since is the time since which the record is complete, by the clock of its first writer;
	// zero if no stream began before it.
	Since    time.Time
	Releases []string
}

// Covers reports whether the record has all releases that were in service within a window before
// now.
func (r Record) Covers(now time.Time, window time.Duration) bool {
	return r.Since.IsZero() || now.Sub(r.Since) >= window+clockSkew
}

// Update returns the record with the releases that are in service now, and without those that
// were not in use lately. recent are the releases that were, and complete whether these are all.
func (r Record) Update(recent []string, complete bool) Record {
	next := Record{Since: r.Since, Releases: slices.Clone(recent)}
	if !complete {
		next.Releases = append(next.Releases, r.Releases...)
	}
	slices.Sort(next.Releases)
	next.Releases = slices.Compact(next.Releases)
	return next
}

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	return r.Since.Equal(other.Since) && slices.Equal(r.Releases, other.Releases)
}

// Sole returns the only release of a list, or false if there are several or none, or if it is not
// known.
func Sole(releases []string) (string, bool) {
	list := slices.Clone(releases)
	slices.Sort(list)
	list = slices.Compact(list)
	if len(list) != 1 || list[0] == "" {
		return "", false
	}
	return list[0], true
}
