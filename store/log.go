package store

import "time"

// Item is a key of a store that numbers its changes by one counter.
type Item struct {
	Key   string
	Value []byte
	// Revision of the item's last change.
	Revision uint64
	// Deleted items have no value.
	Deleted bool
}

// Changes is the answer to a watch.
type Changes struct {
	Items []Item
	// Revision to go on from.
	Revision uint64
	// Compacted means that the store no longer has the changes asked for; list anew.
	Compacted bool
}

// ListWatch reads a store that keeps a history of its changes. The fields are the
// seams for platforms and tests.
type ListWatch struct {
	// List reads all items under a prefix, and a revision to watch from.
	List func(prefix string, timeout time.Duration) ([]Item, uint64, error)
	// Watch returns the changes after a revision, or none when wait is over.
	Watch func(prefix string, after uint64, wait time.Duration) (Changes, error)
}
