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
	// confirmed is when the store last answered, downSince when it stopped answering;
	// downSince is zero while it answers.
	confirmed time.Time
	downSince time.Time
}

func (h *itemCache) setDown(since time.Time) {
	h.mu.Lock()
	h.downSince = since
	h.mu.Unlock()
}

func (h *itemCache) confirm(now time.Time) {
	h.mu.Lock()
	h.confirmed = now
	h.mu.Unlock()
}

// times returns when the store last answered and when it stopped answering.
func (h *itemCache) times() (confirmed, down time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed, h.downSince
}

// put applies one change and reports whether it is newer than the cached item.
func (h *itemCache) put(item store.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.items[item.Key]; ok && held.Revision >= item.Revision {
		return false
	}
	if item.Deleted {
		delete(h.items, item.Key)
	} else {
		h.items[item.Key] = item
	}
	h.revision = max(h.revision, item.Revision)
	h.digest = 0
	return true
}

// replace applies a full listing and returns the removed keys. Items newer than the
// listing stay.
func (h *itemCache) replace(items []store.Item, revision uint64) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.Key] = true
		if held, ok := h.items[item.Key]; !ok || held.Revision < item.Revision {
			h.items[item.Key] = item
		}
	}
	var removed []string
	for key, item := range h.items {
		if !listed[key] && item.Revision <= revision {
			delete(h.items, key)
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	h.revision = max(h.revision, revision)
	h.digest = 0
	return removed
}

// advance records that nothing changed up to a revision.
func (h *itemCache) advance(revision uint64) {
	h.mu.Lock()
	h.revision = max(h.revision, revision)
	h.mu.Unlock()
}

// position returns the revision and the digest.
func (h *itemCache) position() (revision, digest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.digest == 0 {
		h.digest = 1
		var b [8]byte
		for key, item := range h.items {
			binary.BigEndian.PutUint64(b[:], item.Revision)
			h.digest += xxhash.Sum64String(key + string(b[:])) // A sum is independent of the map's order.
		}
	}
	return h.revision, h.digest
}

// all returns the items and the revision.
func (h *itemCache) all() ([]store.Item, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	items := make([]store.Item, 0, len(h.items))
	for _, item := range h.items {
		items = append(items, item)
	}
	return items, h.revision
}
