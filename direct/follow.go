package direct

import (
	"context"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/store"
)

const (
	// watchWait is how long a watch waits for a change.
	watchWait = 3 * time.Second
	// listLimit bounds a listing; the store answers in milliseconds.
	listLimit = 800 * time.Millisecond
	// firstPause and lastPause bound the growing time between failed calls.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// follow keeps up with the items under a prefix.
func (e *Entry) follow(ctx context.Context, prefix int) error {
	f := follower{entry: e, prefix: prefix, log: e.log.With("prefix", e.items.Prefixes[prefix])}
	for ctx.Err() == nil {
		err := e.leave(ctx, f.step)
		if ctx.Err() != nil {
			return nil
		}
		f.note(time.Now(), err)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.pause):
		}
	}
	return nil
}

// leave makes a call that cannot be ended. A stopping entry leaves it behind.
func (e *Entry) leave(ctx context.Context, call func() error) error {
	done := make(chan error, 1)
	go func() { done <- call() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follower is the state of following one prefix.
type follower struct {
	entry    *Entry
	prefix   int
	log      *meter.Logger
	revision uint64
	// down is since when the store does not answer; zero if it does.
	down  time.Time
	pause time.Duration
}

// step lists or watches once.
func (f *follower) step() error {
	e := f.entry
	prefix := e.items.Prefixes[f.prefix]
	if f.revision == 0 {
		items, revision, err := e.store.List(prefix, listLimit)
		if err != nil {
			return err
		}
		e.replace(time.Now(), f.prefix, items, revision)
		f.revision = revision
		f.log.With("revision", revision).Infof("listed %d items", len(items))
		return nil
	}
	changes, err := e.store.Watch(prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	if changes.Lost {
		f.log.With("revision", f.revision).Warnf("the store dropped its history; listing anew")
		f.revision = 0
		return nil
	}
	for _, item := range changes.Items {
		e.apply(time.Now(), f.prefix, item)
	}
	f.revision = max(f.revision, changes.Revision)
	e.holdings[f.prefix].advance(f.revision)
	return nil
}

// note logs when the store stops or starts answering, and sets the pause.
func (f *follower) note(now time.Time, err error) {
	if err == nil {
		if !f.down.IsZero() {
			f.entry.fleet.RecordOutage(now)
			f.log.Infof("the store answers again after %v", now.Sub(f.down).Round(time.Millisecond))
		}
		f.down, f.pause = time.Time{}, firstPause
		f.entry.holdings[f.prefix].setDown(time.Time{})
		f.entry.holdings[f.prefix].confirm(now)
		return
	}
	f.entry.fleet.RecordOutage(now)
	if f.down.IsZero() {
		f.down = now
		f.entry.holdings[f.prefix].setDown(now)
		f.log.Warnf("the store does not answer: %v", err)
	}
	f.pause = min(lastPause, max(firstPause, 2*f.pause))
}

// replace takes a whole listing of a prefix, as of a revision.
func (e *Entry) replace(now time.Time, prefix int, items []store.Item, revision uint64) {
	removed := e.holdings[prefix].replace(items, revision)
	for _, item := range items {
		e.take(now, item)
	}
	for _, key := range removed {
		e.take(now, store.Item{Key: key, Revision: revision, Deleted: true})
	}
}

// apply takes one change.
func (e *Entry) apply(now time.Time, prefix int, item store.Item) {
	if e.holdings[prefix].put(item) {
		e.take(now, item)
	}
}

// take acts on one item. One that cannot be read changes nothing.
func (e *Entry) take(now time.Time, item store.Item) {
	c, err := e.items.Decode(item)
	if err != nil {
		e.log.With("key", item.Key).With("revision", item.Revision).Warnf("unreadable item; the last good one stays: %v", err)
		return
	}
	switch {
	case c.Document != nil:
		e.adopt(c)
	case c.Upstream != nil:
		e.noteUpstream(c.Upstream.ID, e.fleet.Put(*c.Upstream))
	case c.Removed != "":
		e.noteUpstream(c.Removed, e.fleet.Remove(now, c.Removed))
	}
}

func (e *Entry) adopt(c Change) {
	if !e.rules.Adopt(c.Document) {
		return
	}
	now := time.Now()
	e.adopted.Store(&now)
	e.scope.Gauge("version").Update(float64(c.Document.Version))
	e.log.With("version", c.Document.Version).Infof("configuration in force: %d routes, %d services, %d teams",
		len(c.Document.Routes), len(c.Document.Services), len(c.Document.Teams))
}

func (e *Entry) noteUpstream(id string, change fleet.Change) {
	switch change {
	case fleet.ChangeNone:
		return
	case fleet.ChangeRemoved:
		e.model.Forget(id)
	}
	line := e.log.With("upstream", id).With("change", string(change))
	if u, ok := e.fleet.Find(id); ok {
		line = line.With("address", u.Address).With("revision", u.Revision).With("born", u.StartedAt)
	}
	line.Infof("upstream changed")
}
