package direct

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/member"
)

const (
	// minSharingEntries is the number of entries from which on a few of them watch the
	// store for all.
	minSharingEntries = 8
	// watcherCount is the number of entries that watch the store for all, in different data
	// centres if there are as many.
	watcherCount = 3
	// joinPeriod is how long after its start an entry learns of the others before it takes
	// the role of a watcher.
	joinPeriod = 600 * time.Millisecond
	// freshFraction is the fraction of the time within which a change must be in force
	// everywhere for which an entry relies on others to hear of it. It is bounded by
	// minFresh and maxFresh.
	freshFraction = 0.35
	minFresh      = 700 * time.Millisecond
	maxFresh      = 1500 * time.Millisecond
	// maxFreshFraction is the largest fraction of that time: a copy on which an entry relies still
	// counts as confirmed after it.
	maxFreshFraction = 0.6
	// ownWatchInterval is the longest time without a call to the store by an entry that
	// relies on others.
	ownWatchInterval = 20 * time.Second
	// followInterval is the time between two checks whether to rely on others.
	followInterval = 100 * time.Millisecond
	// differsLimit is how long a peer may have other items at the same position before
	// both list them again.
	differsLimit = 2 * time.Second
)

// watchDuty decides whether an entry watches the store or follows others that do.
type watchDuty struct {
	// fresh is the age up to which an entry relies on what the store told another one.
	fresh time.Duration
	// watchTime is how long a watch waits for a change.
	watchTime time.Duration

	mu      sync.Mutex
	version uint64
	known   bool
	// watcher is set if the entry watches the store, sharing if others rely on it.
	watcher, sharing bool
}

// newWatchDuty returns the duty for a time within which changes must be in force.
func newWatchDuty(applyTimeout time.Duration) *watchDuty {
	fresh := min(maxFresh, max(minFresh, time.Duration(freshFraction*float64(applyTimeout))))
	if applyTimeout > 0 {
		fresh = min(fresh, time.Duration(maxFreshFraction*float64(applyTimeout)))
	}
	return &watchDuty{fresh: fresh, watchTime: min(watchTimeout, fresh/2)}
}

// role reports whether the entry at an address watches the store, and whether others rely on
// those that do. It changes with the members only.
func (d *watchDuty) role(now time.Time, members *member.Table, address string) (watcher, sharing bool) {
	version := members.Version()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || d.version != version {
		alive := members.Alive(now)
		d.watcher = slices.Contains(chooseWatchers(alive), address)
		d.sharing = len(alive) >= minSharingEntries
		d.version, d.known = version, true
	}
	return d.watcher, d.sharing
}

// watchRole returns the role of this entry.
func (e *Entry) watchRole(now time.Time) (watcher, sharing bool) {
	return e.duty.role(now, e.gossiper.Members(), e.settings.Load().Peer)
}

// chooseWatchers returns the addresses of the entries that watch the store: all of a small
// fleet, else watcherCount of them, in as many data centres as possible. All entries with the
// same view of the members choose the same ones; where views differ, more watch.
func chooseWatchers(members []member.Record) []string {
	if len(members) < minSharingEntries {
		addresses := make([]string, 0, len(members))
		for _, m := range members {
			addresses = append(addresses, m.Address)
		}
		return addresses
	}
	byCentre := map[string][]string{}
	for _, m := range members {
		byCentre[m.Centre] = append(byCentre[m.Centre], m.Address)
	}
	centres := slices.Collect(maps.Keys(byCentre))
	sortByHash(centres)
	for _, addresses := range byCentre {
		sortByHash(addresses)
	}
	var chosen []string
	for rank := 0; len(chosen) < watcherCount; rank++ {
		for _, centre := range centres {
			if addresses := byCentre[centre]; rank < len(addresses) && len(chosen) < watcherCount {
				chosen = append(chosen, addresses[rank])
			}
		}
	}
	return chosen
}

// sortByHash sorts names in an order that is the same at all entries and evenly spread.
func sortByHash(names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String("watch "+a), xxhash.Sum64String("watch "+b)), cmp.Compare(a, b))
	})
}

// followFor returns for how long the entry need not call the store: others watch it, and
// what the store told them is known here and fresh. It returns 0 if a call is due.
func (w *prefixWatcher) followFor(now time.Time) time.Duration {
	e := w.entry
	if e.relist[w.prefix].Swap(false) {
		w.log.Warnf("a peer has other items at the same position; listing again")
		w.listed = false
	}
	age, known := e.itemCaches[w.prefix].confirmedAge(now)
	watcher, sharing := e.watchRole(now)
	joining := !sharing && len(e.settings.Load().Seeds) > 0 && now.Sub(e.createdAt) < joinPeriod
	switch {
	case watcher && !joining, !w.listed, !w.downSince.IsZero():
		return 0
	case !known, age >= e.duty.fresh, now.Sub(w.lastCall) >= ownWatchInterval:
		return 0
	}
	return min(followInterval, e.duty.fresh-age)
}

// followJitter spreads the fetches of the entries that follow one watcher.
const followJitter = 40 * time.Millisecond

// randomJitter returns a time up to followJitter.
func randomJitter() time.Duration { return rand.N(followJitter) }
