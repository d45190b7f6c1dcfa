package direct

import (
	"context"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/store"
)

const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 3 * time.Second
	// listTimeout bounds a listing; the store answers in milliseconds.
	listTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential delay between failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// watchPrefix keeps the items under a prefix up to date until ctx ends.
func (e *Entry) watchPrefix(ctx context.Context, prefix int) error {
	f := prefixWatcher{entry: e, prefix: prefix, log: e.log.With("prefix", e.codec.Prefixes[prefix])}
	for ctx.Err() == nil {
		err := e.runAbandonable(ctx, f.poll)
		if ctx.Err() != nil {
			return nil
		}
		f.recordResult(time.Now(), err)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.backoff):
		}
	}
	return nil
}

// runAbandonable runs a call that cannot be canceled. When ctx ends, it returns
// without waiting for the call.
func (e *Entry) runAbandonable(ctx context.Context, call func() error) error {
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
	log      *meter.Log
	revision uint64
	// downSince is when the store stopped answering; zero while it answers.
	downSince time.Time
	backoff   time.Duration
}

// poll lists the items or waits once for changes.
func (f *prefixWatcher) poll() error {
	e := f.entry
	prefix := e.codec.Prefixes[f.prefix]
	if f.revision == 0 {
		items, revision, err := e.store.List(prefix, listTimeout)
		if err != nil {
			return err
		}
		e.replaceItems(time.Now(), f.prefix, items, revision)
		f.revision = revision
		f.log.With("revision", revision).Infof("listed %d items", len(items))
		return nil
	}
	changes, err := e.store.Watch(prefix, f.revision, watchTimeout)
	if err != nil {
		return err
	}
	if changes.Lost {
		f.log.With("revision", f.revision).Warnf("the store dropped its history; listing again")
		f.revision = 0
		return nil
	}
	for _, item := range changes.Items {
		e.applyItem(time.Now(), f.prefix, item)
	}
	f.revision = max(f.revision, changes.Revision)
	e.itemCaches[f.prefix].advance(f.revision)
	return nil
}

// recordResult logs when the store stops or starts answering, and sets the backoff.
func (f *prefixWatcher) recordResult(now time.Time, err error) {
	if err == nil {
		if !f.downSince.IsZero() {
			f.entry.fleet.NoteOutage(now)
			f.log.Infof("the store answers again after %v", now.Sub(f.downSince).Round(time.Millisecond))
		}
		f.downSince, f.backoff = time.Time{}, minBackoff
		f.entry.itemCaches[f.prefix].setDown(time.Time{})
		f.entry.itemCaches[f.prefix].confirm(now)
		return
	}
	f.entry.fleet.NoteOutage(now)
	if f.downSince.IsZero() {
		f.downSince = now
		f.entry.itemCaches[f.prefix].setDown(now)
		f.log.Warnf("the store does not answer: %v", err)
	}
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
}

// replaceItems applies a full listing of a prefix at a revision.
func (e *Entry) replaceItems(now time.Time, prefix int, items []store.Item, revision uint64) {
	removed := e.itemCaches[prefix].replace(items, revision)
	for _, item := range items {
		e.handleItem(now, item)
	}
	for _, key := range removed {
		e.handleItem(now, store.Item{Key: key, Revision: revision, Deleted: true})
	}
}

// applyItem applies one change.
func (e *Entry) applyItem(now time.Time, prefix int, item store.Item) {
	if e.itemCaches[prefix].put(item) {
		e.handleItem(now, item)
	}
}

// handleItem applies one item. An item that cannot be decoded changes nothing.
func (e *Entry) handleItem(now time.Time, item store.Item) {
	c, err := e.codec.Decode(item)
	if err != nil {
		e.log.With("key", item.Key).With("revision", item.Revision).Warnf("cannot decode item; keeping the last valid one: %v", err)
		return
	}
	switch {
	case c.Document != nil:
		e.applyConfig(c)
	case c.Upstream != nil:
		e.handleUpstreamChange(c.Upstream.ID, e.fleet.Put(*c.Upstream))
	case c.Removed != "":
		e.handleUpstreamChange(c.Removed, e.fleet.Remove(now, c.Removed))
	}
}

func (e *Entry) applyConfig(c Change) {
	if !e.rules.Adopt(c.Document) {
		return
	}
	now := time.Now()
	e.configTime.Store(&now)
	e.scope.Gauge("version").Update(float64(c.Document.Version))
	e.log.With("version", c.Document.Version).Infof("configuration in force: %d routes, %d services, %d teams",
		len(c.Document.Routes), len(c.Document.Services), len(c.Document.Teams))
}

func (e *Entry) handleUpstreamChange(id string, change fleet.Change) {
	switch change {
	case fleet.ChangeNone:
		return
	case fleet.ChangeGone:
		e.balancer.Forget(id)
	}
	line := e.log.With("upstream", id).With("change", string(change))
	if u, ok := e.fleet.Find(id); ok {
		line = line.With("address", u.Address).With("revision", u.Revision).With("born", u.Born)
	}
	line.Infof("upstream changed")
}
