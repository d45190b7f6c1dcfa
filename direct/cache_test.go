package direct

import (
	"strings"
	"testing"
	"time"

	"cactustide/fleet"
	"cactustide/meter"
	"cactustide/setup"
	"cactustide/store"
)

func itemAt(key string, revision uint64) store.Item {
	return store.Item{Key: key, Value: []byte("v"), Revision: revision}
}

func deletedAt(key string, revision uint64) store.Item {
	return store.Item{Key: key, Revision: revision, Deleted: true}
}

// TestStaleItems guards against old items that bring back a key whose removal is known:
// events and listings that arrive after a snapshot with a higher revision.
func TestStaleItems(t *testing.T) {
	tests := map[string]struct {
		apply func(c *itemCache)
		want  string
	}{
		"event after a snapshot without the key": {func(c *itemCache) {
			c.replace([]store.Item{itemAt("a", 3)}, 20)
			c.apply([]store.Item{itemAt("b", 12)}, 12)
		}, "a"},
		"listing older than a snapshot": {func(c *itemCache) {
			c.replace([]store.Item{itemAt("a", 3)}, 20)
			c.replace([]store.Item{itemAt("a", 3), itemAt("b", 12)}, 15)
		}, "a"},
		"event after its own removal": {func(c *itemCache) {
			c.replace([]store.Item{itemAt("a", 3), itemAt("b", 4)}, 10)
			c.apply([]store.Item{deletedAt("b", 12)}, 12)
			c.apply([]store.Item{itemAt("b", 11)}, 11)
		}, "a"},
		"two keys of one transaction": {func(c *itemCache) {
			c.apply([]store.Item{itemAt("a", 5), itemAt("b", 5)}, 5)
		}, "a b"},
		"item of a later page, newer than the listing": {func(c *itemCache) {
			c.replace([]store.Item{itemAt("a", 3), itemAt("b", 15)}, 10)
			c.apply([]store.Item{deletedAt("b", 12)}, 15)
		}, "a b"},
		"snapshot older than a removal": {func(c *itemCache) {
			c.replace([]store.Item{itemAt("a", 3), itemAt("b", 4)}, 10)
			c.apply([]store.Item{deletedAt("b", 12)}, 12)
			c.replace([]store.Item{itemAt("a", 3), itemAt("b", 4)}, 11)
		}, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newItemCache()
			test.apply(c)
			items, _ := c.all()
			keys := map[string]bool{}
			for _, item := range items {
				keys[item.Key] = true
			}
			var got []string
			for _, key := range []string{"a", "b"} {
				if keys[key] {
					got = append(got, key)
				}
			}
			if s := strings.Join(got, " "); s != test.want {
				t.Errorf("got keys %q, want %q", s, test.want)
			}
		})
	}
}

// TestChangesInOrder guards against an upstream that stays in use after its removal,
// because a peer's snapshot and the watch write the registry in the other order than the
// cache.
func TestChangesInOrder(t *testing.T) {
	decoding, release := make(chan struct{}), make(chan struct{})
	blocked := false
	codec := ItemCodec{Prefixes: []string{"servers/"}, Decode: func(item store.Item) (Change, error) {
		if item.Deleted {
			return Change{Removed: item.Key}, nil
		}
		if !blocked {
			blocked = true
			close(decoding)
			<-release
		}
		return Change{Upstream: &fleet.Upstream{ID: item.Key, Service: "s", Revision: item.Revision}}, nil
	}}
	m := meter.New("test")
	defer m.Close()
	e := New(&setup.DirectSettings{Name: "test"}, HeaderCodec{}, codec, nil, meter.NewLogger(discard{}, "error", "json", "direct"), m)
	now := time.Now()
	snapshot := make(chan struct{})
	go func() {
		defer close(snapshot)
		e.replaceItems(now, 0, sourcePeer, []store.Item{itemAt("u", 10)}, 10)
	}()
	<-decoding
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		e.applyChanges(now, 0, sourceWatch, store.Changes{Items: []store.Item{deletedAt("u", 12)}, Revision: 12})
	}()
	select {
	case <-watch:
	case <-time.After(50 * time.Millisecond): // It waits for the snapshot.
	}
	close(release)
	<-snapshot
	<-watch
	if got := e.fleet.Count(); got != 0 {
		t.Errorf("got %d upstreams after the removal, want none", got)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
