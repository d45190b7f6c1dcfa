package direct

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactustide/fresh"
	"cactustide/store"
)

// itemCache holds a copy of the store items under a prefix at a revision.
type itemCache struct {
	// applying is held while changes are applied to the copy and to what depends on it,
	// so that both see them in one order.
	applying sync.Mutex
	// settling is held while an answer is applied and confirms the copy.
	settling sync.RWMutex

	mu    sync.Mutex
	items map[string]store.Item
	// size is the size of the items, bytes.
	size int
	// position is the one up to which the copy is complete. All items are of its era.
	position store.Position
	// digest is a hash of the keys and revisions. It compares copies of one era only: in two,
	// a key may have the same revision with another value.
	digest uint64
	// log holds the last changes, complete after logFrom; zero means that there are none.
	log      []store.Item
	logBytes int
	logFrom  store.Position
	// confirmation is when the store had nothing newer, as it told this or another entry.
	confirmation fresh.Confirmation
	// differsSince is since when a peer has other items at the same position.
	differsSince time.Time
	// lastResponse is when the store last responded, downSince when it stopped
	// responding; downSince is zero while it responds.
	lastResponse time.Time
	downSince    time.Time
}

// maxLog and maxLogBytes bound the changes that are kept for entries that lag behind; one
// that has fallen further behind gets all items.
const (
	maxLog      = 512
	maxLogBytes = 2 << 20
)

// emptyDigest is the digest of no items.
const emptyDigest = 1

func newItemCache() *itemCache {
	return &itemCache{items: map[string]store.Item{}, digest: emptyDigest}
}

// digestOf returns the part of an item in the digest. A sum of these is independent of
// their order.
func digestOf(item store.Item) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], item.Position.Revision)
	return xxhash.Sum64String(item.Key + string(b[:]))
}

func (c *itemCache) put(item store.Item) {
	c.remove(item.Key)
	c.items[item.Key] = item
	c.digest += digestOf(item)
	c.size += sizeOf(item)
}

func (c *itemCache) remove(key string) {
	if old, ok := c.items[key]; ok {
		c.digest -= digestOf(old)
		c.size -= sizeOf(old)
		delete(c.items, key)
	}
}

// appendLog adds a change to the log, and drops the oldest ones above its bounds.
func (c *itemCache) appendLog(item store.Item) {
	c.log = append(c.log, item)
	c.logBytes += sizeOf(item)
	dropped := 0
	for ; len(c.log)-dropped > maxLog || c.logBytes > maxLogBytes; dropped++ {
		c.logFrom = store.Later(c.logFrom, c.log[dropped].Position)
		c.logBytes -= sizeOf(c.log[dropped])
		c.log[dropped] = store.Item{} // The array may outlast it.
	}
	c.log = c.log[dropped:]
}

// sizeOf returns the bytes that an item keeps in memory.
func sizeOf(item store.Item) int { return len(item.Key) + len(item.Value) }

// historyBytes returns the size of the log.
func (c *itemCache) historyBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.logBytes)
}

// itemBytes returns the size of the items.
func (c *itemCache) itemBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.size)
}

// changesAfter returns the changes after a position and the position of the copy, or false
// if the log does not reach back so far or is of another era.
func (c *itemCache) changesAfter(after store.Position) ([]store.Item, store.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logFrom.IsZero() || after.Era != c.position.Era || after.Before(c.logFrom) {
		return nil, store.Position{}, false
	}
	var items []store.Item
	for _, item := range c.log {
		if after.Before(item.Position) {
			items = append(items, item)
		}
	}
	return items, c.position, true
}

// confirm records that the store had nothing newer at a time.
func (c *itemCache) confirm(at time.Time) {
	c.confirmation.Confirm(at)
}

// confirmedAge returns the time since the store had nothing newer, or false if that is not
// known.
func (c *itemCache) confirmedAge(now time.Time) (time.Duration, bool) {
	return c.confirmation.Age(now)
}

// advance records that the copy is complete up to a position of its era: a peer with the same
// items is.
func (c *itemCache) advance(position store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Era == c.position.Era {
		c.position = store.Later(c.position, position)
	}
}

// differs records whether a peer has other items at the same position, and reports whether
// that has lasted for a time.
func (c *itemCache) differs(now time.Time, differs bool, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !differs:
		c.differsSince = time.Time{}
	case c.differsSince.IsZero():
		c.differsSince = now
	case now.Sub(c.differsSince) > limit:
		c.differsSince = time.Time{}
		return true
	}
	return false
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

// apply applies all changes up to a position and returns those that were not known. Changes of
// another era than that of the copy do not follow it and are not applied.
// Without the key in the copy, only a change after its position is new: one before it
// was followed by the key's removal.
func (c *itemCache) apply(items []store.Item, position store.Position) []store.Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Era != c.position.Era {
		return nil
	}
	var applied []store.Item
	for _, item := range items {
		cached, ok := c.items[item.Key]
		if item.Key == "" || ok && !cached.Position.Before(item.Position) || !ok && !c.position.Before(item.Position) {
			continue
		}
		if item.Deleted {
			c.remove(item.Key)
		} else {
			c.put(item)
		}
		c.appendLog(item)
		applied = append(applied, item)
	}
	c.position = store.Later(c.position, position)
	return applied
}

// replace applies a full listing and returns the items that were not known and the
// removed keys. Items newer than the listing stay; one that is older than the copy adds
// no keys. A listing of a later era replaces the whole copy, one of an earlier era changes nothing.
func (c *itemCache) replace(items []store.Item, position store.Position) (added []store.Item, removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Era < c.position.Era {
		return nil, nil
	}
	newEra := position.Era > c.position.Era
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		cached, ok := c.items[item.Key]
		known := ok && !cached.Position.Before(item.Position) || !ok && position.Before(c.position) && !c.position.Before(item.Position)
		if item.Key == "" || known && !newEra {
			continue
		}
		c.put(item)
		added = append(added, item)
	}
	for key, item := range c.items {
		if !listed[key] && !position.Before(item.Position) {
			c.remove(key)
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	c.position = store.Later(c.position, position)
	c.log, c.logBytes, c.logFrom = nil, 0, c.position
	return added, removed
}

// state returns the position and the digest.
func (c *itemCache) state() (position store.Position, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position, c.digest
}

// holds reports whether the copy has an item as it is.
func (c *itemCache) holds(item store.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.items[item.Key]
	return ok && cached.Position == item.Position
}

// all returns the items and the position.
func (c *itemCache) all() ([]store.Item, store.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items := make([]store.Item, 0, len(c.items))
	for _, item := range c.items {
		items = append(items, item)
	}
	return items, c.position
}
