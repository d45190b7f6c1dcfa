package store

import "time"

// Item is a key of a store that numbers all changes by one revision counter.
type Item struct {
	Key   string
	Value []byte
	// Revision of the last change of the item.
	Revision uint64
	// Deleted items have no value.
	Deleted bool
	// Err is set if the store's text of the item could not be decoded; the fields that
	// could be are set.
	Err error
}

// Changes is the result of a watch.
type Changes struct {
	Items []Item
	// Revision from which to continue.
	Revision uint64
	// Compacted is set if the store no longer has the requested changes, so that the
	// caller has to list again.
	Compacted bool
}

// ListWatch reads a store that keeps a history of its changes. The functions are
// fields so that each platform and test can supply its own.
type ListWatch struct {
	// List returns all items under a prefix, and a revision to watch from.
	List func(prefix string, timeout time.Duration) ([]Item, uint64, error)
	// Watch returns the changes after a revision, or none after the wait.
	Watch func(prefix string, after uint64, wait time.Duration) (Changes, error)
}
