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
	mu       sync.Mutex
	items    map[string]store.Item
	revision uint64
	// digest is a hash of the keys and revisions; 0 means that it must be recomputed.
	digest uint64
	// lastResponse is when the store last responded, downSince when it stopped
	// responding; downSince is zero while it responds.
	lastResponse time.Time
	downSince    time.Time
}

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

// put applies one change and reports whether it is newer than the cached item.
func (c *itemCache) put(item store.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.items[item.Key]; ok && cached.Revision >= item.Revision {
		return false
	}
	if item.Deleted {
		delete(c.items, item.Key)
	} else {
		c.items[item.Key] = item
	}
	c.revision = max(c.revision, item.Revision)
	c.digest = 0
	return true
}

// replace applies a full listing and returns the removed keys. Items newer than the
// listing stay.
func (c *itemCache) replace(items []store.Item, revision uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		if cached, ok := c.items[item.Key]; !ok || cached.Revision < item.Revision {
			c.items[item.Key] = item
		}
	}
	var removed []string
	for key, item := range c.items {
		if !listed[key] && item.Revision <= revision {
			delete(c.items, key)
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	c.revision = max(c.revision, revision)
	c.digest = 0
	return removed
}

// advance records that nothing changed up to a revision.
func (c *itemCache) advance(revision uint64) {
	c.mu.Lock()
	c.revision = max(c.revision, revision)
	c.mu.Unlock()
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
