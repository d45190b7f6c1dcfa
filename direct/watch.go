package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"cactustide/fleet"
	"cactustide/fresh"
	"cactustide/meter"
	"cactustide/store"
)

const (
	// watchTimeout is how long a watch waits for a change. A call that the store took
	// before an outage may never be answered; the entry notices only after this time
	// and the client's margin, which must stay well below the time after which an
	// entry is expected to be up to date again.
	watchTimeout = time.Second
	// changePause is the time between a watch that returned changes and the next one, so
	// that many changes in a row take few calls.
	changePause = 60 * time.Millisecond
	// maxEarlyPause bounds the pause after calls that returned nothing before changePause.
	maxEarlyPause = 500 * time.Millisecond
	// probeTimeout is how long a watch waits while the store does not respond.
	probeTimeout = 50 * time.Millisecond
	// minWait is the shortest wait of a watch.
	minWait = time.Millisecond
	// confirmMargin is how long before the copy of the configuration no longer counts as confirmed
	// a watch of it ends.
	confirmMargin = 100 * time.Millisecond
	// A store that has answered a watch without a change earlier than waitSlack before the end of the
	// wait counts as one that does not wait, until provingWaits watches of at least provingWait have
	// ended within provingWait after theirs.
	waitSlack    = 10 * time.Millisecond
	provingWaits = 3
	provingWait  = 100 * time.Millisecond
	// unansweredTime is what a watch that is never answered takes beyond its wait, with the pause and
	// the two calls after it.
	unansweredTime = time.Second
	// maxUnansweredFraction bounds that part of the time for which a copy counts as confirmed.
	maxUnansweredFraction = 2.0 / 3
	// listTimeout bounds a listing; the store responds in milliseconds.
	listTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential time between the starts of calls
	// that fail.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minRetryPause is the shortest time from the end of a call that failed to the next one.
	minRetryPause = 10 * time.Millisecond
)

// source is the call by which a change reached the entry.
type source string

// Values of source.
const (
	sourceList  source = "list"
	sourceWatch source = "watch"
	sourcePeer  source = "peer"
)

// watchPrefix keeps the items under a prefix up to date until ctx ends.
func (e *Entry) watchPrefix(ctx context.Context, prefix int) error {
	w := prefixWatcher{entry: e, prefix: prefix, log: e.log.With("prefix", e.codec.Prefixes[prefix])}
	for ctx.Err() == nil {
		if pause := w.followFor(time.Now()); pause > 0 {
			sleepContext(ctx, pause)
			continue
		}
		began := time.Now()
		err := e.callWithContext(ctx, func() error { return w.poll(began) })
		if ctx.Err() != nil {
			return nil
		}
		w.recordResult(began, time.Now(), err)
		if err != nil {
			sleepContext(ctx, w.delay)
		} else {
			sleepContext(ctx, w.pauseAfter(time.Since(began)))
		}
	}
	return nil
}

// pauseAfter returns the time between a call that succeeded and the next one. It grows while calls
// return at once without changes, as they do if the store does not wait or has no history.
func (w *prefixWatcher) pauseAfter(took time.Duration) time.Duration {
	if w.changed || took >= changePause {
		w.earlyPause = 0
		if w.changed {
			return changePause
		}
		return 0
	}
	pause := w.earlyPause
	w.earlyPause = min(maxEarlyPause, max(changePause, 2*pause))
	return pause
}

// sleepContext waits for a time or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// callWithContext runs a call that cannot be canceled. When ctx ends, it returns
// without waiting for the call.
func (e *Entry) callWithContext(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prefixWatcher is the state of watching one prefix.
type prefixWatcher struct {
	entry    *Entry
	prefix   int
	log      *meter.Logger
	position store.Position
	// listed is set once the items were listed since the start, the loss of the store's
	// history or the finding that a peer has other items.
	listed bool
	// changed is set if the last call returned changes.
	changed bool
	// lastCall is when the store last answered this entry.
	lastCall time.Time
	// downSince is when the store stopped responding; zero while it responds.
	downSince time.Time
	// failures counts the failed calls in a row.
	failures int
	// outage is set once the failures show that the store is away.
	outage  bool
	backoff time.Duration
	// unproven is how many more watches have to last for their wait before the store counts as one
	// that waits.
	unproven int
	// earlyPause is the pause after the next call that returns nothing at once.
	earlyPause time.Duration
	// delay is the time from the last failed call to the next one.
	delay time.Duration
}

// outageFailures is the number of failed calls in a row that show an outage. A single
// call may be cut, refused or left unanswered by a store that serves the next one.
const outageFailures = 2

// poll lists the items or waits once for changes, in a call that begins now.
func (w *prefixWatcher) poll(now time.Time) error {
	e := w.entry
	prefix := e.codec.Prefixes[w.prefix]
	w.changed = false
	w.position = e.beginReading(now, w.prefix)
	if w.position.Era < e.storeEra.Load() {
		w.listed = false // Another call found that the store came back from a copy.
	}
	if !w.listed {
		items, position, err := e.store.List(prefix, listTimeout)
		if err != nil {
			return err
		}
		if err := w.checkEra(position); err != nil {
			return err
		}
		e.settle(w.prefix, position, now, func() { e.replaceItems(time.Now(), w.prefix, sourceList, items, position) })
		w.position, w.listed = position, true
		w.log.With("era", position.Era).With("revision", position.Revision).Infof("listed %d items", len(items))
		return nil
	}
	wait := watchTimeout
	_, sharing := e.watchRole(time.Now())
	if sharing {
		wait = e.duty.watchTime
	}
	if w.prefix == configPrefix {
		wait = min(wait, e.configWait(now, sharing))
	}
	if !w.downSince.IsZero() {
		wait = probeTimeout
	}
	wait = max(minWait, wait.Truncate(time.Millisecond)) // The store counts whole milliseconds.
	changes, err := e.store.Watch(prefix, w.position, wait)
	if err != nil {
		return err
	}
	if changes.Compacted {
		w.log.With("era", w.position.Era).With("revision", w.position.Revision).Warnf("store does not have the changes after the copy; listing again")
		w.listed = false
		return nil
	}
	if err := w.checkEra(changes.Position); err != nil {
		return err
	}
	if changes.Position.Era > w.position.Era {
		w.listed = false // The changes do not follow the copy, which is of an earlier era.
		return nil
	}
	w.changed = len(changes.Items) > 0
	e.settle(w.prefix, changes.Position, w.answeredFrom(now, time.Now(), wait), func() { e.applyChanges(time.Now(), w.prefix, sourceWatch, changes) })
	e.recordObserved(w.prefix, w.position, changes.Position)
	w.position = store.Later(w.position, changes.Position)
	return nil
}

// answeredFrom returns the earliest time at which the store can have given an answer that is read now,
// to a watch that began with a wait. The answer may have been on its way, or lain unread, for long.
func (w *prefixWatcher) answeredFrom(began, now time.Time, wait time.Duration) time.Time {
	took := now.Sub(began)
	switch {
	case w.changed:
		return began
	case took+waitSlack < wait:
		w.unproven = provingWaits
	case w.unproven > 0 && wait >= provingWait && took >= wait && took < wait+provingWait:
		w.unproven--
	}
	if took < wait || w.unproven > 0 {
		return began
	}
	return began.Add(wait) // The store waits until then for a change.
}

// configWait returns how long a watch of the configuration waits: if it is not answered, a later call
// can still confirm the copy while that counts as confirmed. An entry that shares the watches with others
// waits for a short time anyway, and hears from them.
func (e *Entry) configWait(now time.Time, sharing bool) time.Duration {
	reserve := min(unansweredTime, time.Duration(maxUnansweredFraction*float64(e.confirmedTime())))
	if sharing {
		reserve = confirmMargin
	}
	return max(minWait, e.confirmedFor(now)-reserve)
}

// readChanges applies all changes under a prefix that the store has at a time at which the call
// begins.
func (e *Entry) readChanges(now time.Time, prefix int) error {
	name, after := e.codec.Prefixes[prefix], e.beginReading(now, prefix)
	if after.IsZero() {
		return &Error{Op: "read " + name, Kind: KindBehind, Err: errs.New("it was not listed yet")}
	}
	changes, err := e.store.Watch(name, after, minWait)
	if err != nil {
		return err
	}
	if changes.Compacted || changes.Position.Era != after.Era {
		return &Error{Op: "read " + name, Kind: KindBehind, Err: errs.New("it has to be listed again")}
	}
	if !e.settle(prefix, changes.Position, now, func() { e.applyChanges(time.Now(), prefix, sourceWatch, changes) }) {
		return &Error{Op: "read " + name, Kind: KindEra, Err: errs.New("the store came back from an older copy")}
	}
	e.recordObserved(prefix, after, changes.Position)
	return nil
}

// settle applies an answer of the store that brings the copy to a position, confirms the copy as of a
// time, and reports whether it did: not if the store came back from an older copy meanwhile. A request
// that the copy does not allow waits for it.
func (e *Entry) settle(prefix int, position store.Position, answeredFrom time.Time, apply func()) bool {
	c := e.itemCaches[prefix]
	c.settling.Lock()
	defer c.settling.Unlock()
	apply()
	mine, _ := c.state()
	if mine.Era != position.Era || mine.Before(position) {
		return false
	}
	c.confirm(answeredFrom)
	return true
}

// checkEra returns an error if an answer of the store is from before a return from a copy that
// is known: it was on its way for long.
func (w *prefixWatcher) checkEra(position store.Position) error {
	e := w.entry
	known, _ := e.itemCaches[w.prefix].state()
	if position.Era >= max(known.Era, e.storeEra.Load()) {
		return nil
	}
	e.countOldAnswer(w.prefix)
	return &Error{Op: "read " + e.codec.Prefixes[w.prefix], Kind: KindEra, Err: errs.New("answer of era %d, known is %d", position.Era, max(known.Era, e.storeEra.Load()))}
}

// countOldAnswer counts an answer of the store or of a peer that is of an earlier era than the copy.
func (e *Entry) countOldAnswer(prefix int) {
	e.scope.Tagged(map[string]string{"prefix": e.codec.Prefixes[prefix]}).Counter("old_answers").Inc(1)
}

// recordEra records the era that an answer of the store names.
func (e *Entry) recordEra(era uint64) {
	for {
		known := e.storeEra.Load()
		if era <= known || e.storeEra.CompareAndSwap(known, era) {
			return
		}
	}
}

// recordResult logs when the store stops or starts responding, and sets the backoff.
// began is when the call was made.
func (w *prefixWatcher) recordResult(began, now time.Time, err error) {
	if err == nil {
		if !w.downSince.IsZero() {
			if w.outage {
				w.entry.fleet.RecordOutage(now)
			}
			w.log.Infof("store responds again after %v", now.Sub(w.downSince).Round(time.Millisecond))
		}
		w.downSince, w.failures, w.outage, w.backoff = time.Time{}, 0, false, minBackoff
		w.entry.itemCaches[w.prefix].setDownSince(time.Time{})
		w.entry.itemCaches[w.prefix].setLastResponse(now)
		w.lastCall = now
		return
	}
	w.failures++
	w.outage = w.outage || w.failures >= outageFailures
	if w.outage {
		w.entry.fleet.RecordOutage(now)
	}
	if w.downSince.IsZero() {
		w.downSince = now
		w.entry.itemCaches[w.prefix].setDownSince(now)
		w.log.With("era", w.position.Era).With("revision", w.position.Revision).With("waited", now.Sub(began).Milliseconds()).Warnf("store does not respond: %v", err)
	}
	w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
	// A call that took long was a pause too; the store's return must be noticed soon.
	w.delay = max(minRetryPause, w.backoff-now.Sub(began))
}

// replaceItems applies a full listing of a prefix.
func (e *Entry) replaceItems(now time.Time, prefix int, src source, items []store.Item, position store.Position) {
	c := e.itemCaches[prefix]
	c.applying.Lock()
	defer c.applying.Unlock()
	e.logKeyless(items)
	before, _ := c.state()
	if position.Era < before.Era {
		e.countOldAnswer(prefix)
		return
	}
	returned := position.Era > before.Era && !before.IsZero()
	if returned {
		e.fleet.RecordReturn(now, position.Era) // The store may have lost registrations, as in an outage.
	}
	added, removed := c.replace(items, position)
	e.recordListing(now, prefix, src, position, returned)
	changes := map[fleet.Change]int{}
	for _, item := range added {
		changes[e.handleItem(now, src, item, returned)]++
	}
	for _, key := range removed {
		changes[e.handleItem(now, src, store.Item{Key: key, Position: position, Deleted: true}, returned)]++
	}
	if returned {
		e.log.With("prefix", e.codec.Prefixes[prefix]).With("source", string(src)).With("before", before.Era).With("era", position.Era).
			With("from", before.Revision).With("revision", position.Revision).With("items", len(items)).With("missing", len(removed)).
			With("same", changes[fleet.ChangeNone]).With("old", changes[fleet.ChangeStale]).With("lapsed", changes[fleet.ChangeLapsed]).
			Warnf("store came back from an older copy")
	}
	if len(added)+len(removed) > 0 {
		e.gossiper.Announce()
	}
}

// logKeyless logs the items whose key cannot be read; the copy ignores them.
func (e *Entry) logKeyless(items []store.Item) {
	for _, item := range items {
		if item.Key == "" {
			e.log.With("revision", item.Position.Revision).Warnf("ignored an item without a readable key: %v", item.Err)
		}
	}
}

// applyChanges applies the events of a watch, or those that a peer passed on.
func (e *Entry) applyChanges(now time.Time, prefix int, src source, changes store.Changes) {
	c := e.itemCaches[prefix]
	c.applying.Lock()
	defer c.applying.Unlock()
	e.logKeyless(changes.Items)
	if known, _ := c.state(); changes.Position.Era != known.Era {
		e.countOldAnswer(prefix) // A return became known while the changes were on their way.
		return
	}
	applied := c.apply(changes.Items, changes.Position)
	next := 0
	for _, item := range changes.Items {
		isNew := next < len(applied) && applied[next].Key == item.Key && applied[next].Position == item.Position
		if isNew {
			next++
		}
		switch {
		case isNew && !isReplaced(item, applied[next:]):
			e.handleItem(now, src, item, false)
		case !item.Deleted && !c.holds(item):
			e.observeItem(now, item)
		}
	}
	if len(applied) > 0 {
		e.gossiper.Announce()
	}
}

// isReplaced reports whether a later change of the same key makes an item needless. A removal
// in between counts: what is stored after it is another thing of the same name.
func isReplaced(item store.Item, later []store.Item) bool {
	if item.Deleted {
		return false
	}
	i := slices.IndexFunc(later, func(next store.Item) bool { return next.Key == item.Key })
	return i >= 0 && !later[i].Deleted
}

// handleItem applies one item and returns its effect on the registry of upstreams. One that
// cannot be decoded is ignored. returned is set for the items of a store that came back from a
// copy: those of them that are older than what is known are only counted.
func (e *Entry) handleItem(now time.Time, src source, item store.Item, returned bool) fleet.Change {
	c, err := e.codec.Decode(item)
	if err != nil {
		e.log.With("key", item.Key).With("era", item.Position.Era).With("revision", item.Position.Revision).Warnf("cannot decode item; keeping the last valid one: %v", err)
		return fleet.ChangeNone
	}
	change := fleet.ChangeNone
	switch {
	case c.Document != nil:
		e.applyConfig(src, item, c)
	case c.Upstream != nil:
		e.observeUpstream(now, c.Upstream.ID)
		if change = e.fleet.Put(*c.Upstream); change == fleet.ChangeStale && returned {
			return change
		}
		e.origins.releases.Observe(now, c.Upstream.Service, c.Upstream.Release)
		e.handleUpstreamChange(src, item.Position, c.Upstream.ID, change)
	case c.Removed != "":
		e.observeUpstream(now, c.Removed)
		change = e.fleet.Remove(now, c.Removed)
		e.handleUpstreamChange(src, item.Position, c.Removed, change)
	}
	return change
}

func (e *Entry) applyConfig(src source, item store.Item, c Change) {
	if t := e.rules.Get(); t != nil {
		e.observeRoutes(time.Now(), t.Document)
	}
	if !e.rules.Adopt(c.Document) {
		return
	}
	now := time.Now()
	e.origins.routes.adopt(now, c.Document, cmp.Or(e.settings.Load().ApplyTimeout, fresh.DefaultApplyTimeout))
	e.configOrigin.Store(&configOrigin{at: now, source: src, position: item.Position})
	e.keepConfig(item, c.Document.Version)
	e.observeReleases(now) // The routes may lead to other services now.
	e.scope.Gauge("version").Update(float64(c.Document.Version))
	e.log.With("version", c.Document.Version).With("source", string(src)).With("era", item.Position.Era).With("revision", item.Position.Revision).
		With("keys", c.Document.KeysRequired).Infof("configuration in force: %d routes, %d services, %d teams",
		len(c.Document.Routes), len(c.Document.Services), len(c.Document.Teams))
}

func (e *Entry) handleUpstreamChange(src source, position store.Position, id string, change fleet.Change) {
	switch change {
	case fleet.ChangeNone:
		return
	case fleet.ChangeRemoved:
		e.balancer.Forget(id)
	}
	logger := e.log.With("upstream", id).With("change", string(change)).With("source", string(src)).With("era", position.Era).With("event", position.Revision)
	if u, ok := e.fleet.Find(id); ok {
		logger = logger.With("address", u.Address).With("revision", u.Position.Revision).With("born", u.StartedAt)
	}
	logger.Infof("upstream changed")
}
