package direct

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/store"
)

// itemCache holds a copy of the store items under a prefix at a revision.
type itemCache struct {
	// applying is held while changes are applied to the copy and to what depends on it,
	// so that both see them in one order.
	applying sync.Mutex

	mu    sync.Mutex
	items map[string]store.Item
	// revision is the revision up to which the copy is complete.
	revision uint64
	// digest is a hash of the keys and revisions; 0 means that it must be recomputed.
	digest uint64
	// lastResponse is when the store last responded, downSince when it stopped
	// responding; downSince is zero while it responds.
	lastResponse time.Time
	downSince    time.Time
}

func newItemCache() *itemCache { return &itemCache{items: map[string]store.Item{}} }

func (c *itemCache) setDownSince(since time.Time) {
	c.mu.Lock()
	c.downSince = since
	c.mu.Unlock()
}

func (c *itemCache) setLastResponse(now time.Time) {
	c.mu.Lock()
	c.lastResponse = now
	c.mu.Unlock()
}

// storeTimes returns when the store last responded and when it stopped responding.
func (c *itemCache) storeTimes() (lastResponse, downSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse, c.downSince
}

// apply applies all changes up to a revision and returns those that were not known.
// Without the key in the copy, only a change after its revision is new: one before it
// was followed by the key's removal.
func (c *itemCache) apply(items []store.Item, revision uint64) []store.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied []store.Item
	for _, item := range items {
		cached, ok := c.items[item.Key]
		if item.Key == "" || ok && cached.Revision >= item.Revision || !ok && item.Revision <= c.revision {
			continue
		}
		if item.Deleted {
			delete(c.items, item.Key)
		} else {
			c.items[item.Key] = item
		}
		c.digest = 0
		applied = append(applied, item)
	}
	c.revision = max(c.revision, revision)
	return applied
}

// replace applies a full listing and returns the items that were not known and the
// removed keys. Items newer than the listing stay; one that is older than the copy adds
// no keys.
func (c *itemCache) replace(items []store.Item, revision uint64) (added []store.Item, removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		cached, ok := c.items[item.Key]
		if item.Key == "" || ok && cached.Revision >= item.Revision || !ok && revision < c.revision && item.Revision <= c.revision {
			continue
		}
		c.items[item.Key] = item
		added = append(added, item)
	}
	for key, item := range c.items {
		if !listed[key] && item.Revision <= revision {
			delete(c.items, key)
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	c.revision = max(c.revision, revision)
	c.digest = 0
	return added, removed
}

// position returns the revision and the digest.
func (c *itemCache) position() (revision, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digest == 0 {
		c.digest = 1
		var b [8]byte
		for key, item := range c.items {
			binary.BigEndian.PutUint64(b[:], item.Revision)
			c.digest += xxhash.Sum64String(key + string(b[:])) // A sum is independent of the map's order.
		}
	}
	return c.revision, c.digest
}

// all returns the items and the revision.
func (c *itemCache) all() ([]store.Item, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := make([]store.Item, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	return items, c.revision
}
