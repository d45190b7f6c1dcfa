package direct

import (
	"context"
	"slices"
	"time"

	"cactustide/fleet"
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
	// probeTimeout is how long a watch waits while the store does not respond.
	probeTimeout = 50 * time.Millisecond
	// listTimeout bounds a listing; the store responds in milliseconds.
	listTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential time between the starts of calls
	// that fail.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
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
		err := e.callWithContext(ctx, w.poll)
		if ctx.Err() != nil {
			return nil
		}
		w.recordResult(began, time.Now(), err)
		switch {
		case err != nil:
			sleepContext(ctx, w.delay)
		case w.changed:
			sleepContext(ctx, changePause)
		}
	}
	return nil
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
	revision uint64
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
	// delay is the time from the last failed call to the next one.
	delay time.Duration
}

// outageFailures is the number of failed calls in a row that show an outage. A single
// call may be cut, refused or left unanswered by a store that serves the next one.
const outageFailures = 2

// poll lists the items or waits once for changes.
func (w *prefixWatcher) poll() error {
	e := w.entry
	prefix := e.codec.Prefixes[w.prefix]
	w.changed = false
	if !w.listed {
		items, revision, err := e.store.List(prefix, listTimeout)
		if err != nil {
			return err
		}
		e.replaceItems(time.Now(), w.prefix, sourceList, items, revision)
		w.revision, w.listed = revision, true
		w.log.With("revision", revision).Infof("listed %d items", len(items))
		return nil
	}
	// Peers may have brought the copy further.
	position, _ := e.itemCaches[w.prefix].position()
	w.revision = max(w.revision, position)
	wait := watchTimeout
	if _, sharing := e.watchRole(time.Now()); sharing {
		wait = e.duty.watchTime
	}
	if !w.downSince.IsZero() {
		wait = probeTimeout
	}
	changes, err := e.store.Watch(prefix, w.revision, wait)
	if err != nil {
		return err
	}
	if changes.Compacted {
		w.log.With("revision", w.revision).Warnf("store compacted its history; listing again")
		w.listed = false
		return nil
	}
	w.changed = len(changes.Items) > 0
	e.applyChanges(time.Now(), w.prefix, sourceWatch, changes)
	w.revision = max(w.revision, changes.Revision)
	return nil
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
		if w.listed {
			w.entry.itemCaches[w.prefix].confirm(now)
		}
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
		w.log.With("revision", w.revision).With("waited", now.Sub(began).Milliseconds()).Warnf("store does not respond: %v", err)
	}
	w.backoff = min(maxBackoff, max(minBackoff, 2*w.backoff))
	// A call that took long was a pause too; the store's return must be noticed soon.
	w.delay = max(minBackoff, w.backoff-now.Sub(began))
}

// replaceItems applies a full listing of a prefix at a revision.
func (e *Entry) replaceItems(now time.Time, prefix int, src source, items []store.Item, revision uint64) {
	c := e.itemCaches[prefix]
	c.applying.Lock()
	defer c.applying.Unlock()
	e.logKeyless(items)
	added, removed := c.replace(items, revision)
	for _, item := range added {
		e.handleItem(now, src, item)
	}
	for _, key := range removed {
		e.handleItem(now, src, store.Item{Key: key, Revision: revision, Deleted: true})
	}
	if len(added)+len(removed) > 0 {
		e.gossiper.Announce()
	}
}

// logKeyless logs the items whose key cannot be read; the copy ignores them.
func (e *Entry) logKeyless(items []store.Item) {
	for _, item := range items {
		if item.Key == "" {
			e.log.With("revision", item.Revision).Warnf("ignored an item without a readable key: %v", item.Err)
		}
	}
}

// applyChanges applies the events of a watch, or those that a peer passed on.
func (e *Entry) applyChanges(now time.Time, prefix int, src source, changes store.Changes) {
	c := e.itemCaches[prefix]
	c.applying.Lock()
	defer c.applying.Unlock()
	e.logKeyless(changes.Items)
	applied := c.apply(changes.Items, changes.Revision)
	for i, item := range applied {
		if !isReplaced(item, applied[i+1:]) {
			e.handleItem(now, src, item)
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

// handleItem applies one item. One that cannot be decoded is ignored.
func (e *Entry) handleItem(now time.Time, src source, item store.Item) {
	c, err := e.codec.Decode(item)
	if err != nil {
		e.log.With("key", item.Key).With("revision", item.Revision).Warnf("cannot decode item; keeping the last valid one: %v", err)
		return
	}
	switch {
	case c.Document != nil:
		e.applyConfig(src, item.Revision, c)
	case c.Upstream != nil:
		e.handleUpstreamChange(src, item.Revision, c.Upstream.ID, e.fleet.Put(*c.Upstream))
	case c.Removed != "":
		e.handleUpstreamChange(src, item.Revision, c.Removed, e.fleet.Remove(now, c.Removed))
	}
}

func (e *Entry) applyConfig(src source, revision uint64, c Change) {
	if !e.rules.Adopt(c.Document) {
		return
	}
	now := time.Now()
	e.configTime.Store(&now)
	e.scope.Gauge("version").Update(float64(c.Document.Version))
	e.log.With("version", c.Document.Version).With("source", string(src)).With("revision", revision).
		With("keys", c.Document.KeysRequired).Infof("configuration in force: %d routes, %d services, %d teams",
		len(c.Document.Routes), len(c.Document.Services), len(c.Document.Teams))
}

func (e *Entry) handleUpstreamChange(src source, revision uint64, id string, change fleet.Change) {
	switch change {
	case fleet.ChangeNone:
		return
	case fleet.ChangeRemoved:
		e.balancer.Forget(id)
	}
	logger := e.log.With("upstream", id).With("change", string(change)).With("source", string(src)).With("event", revision)
	if u, ok := e.fleet.Find(id); ok {
		logger = logger.With("address", u.Address).With("revision", u.Revision).With("born", u.StartedAt)
	}
	logger.Infof("upstream changed")
}
